"""A real deployment of processes on this machine."""
