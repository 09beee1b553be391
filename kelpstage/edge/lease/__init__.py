"""An edge's lease: how it is kept, and what an edge may serve without one."""
