"""An edge's lease: renewing it, and when the edge may serve without one."""
