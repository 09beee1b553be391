"""The edge: the process that answers searches and forwards requests."""
