"""Many nodes in one process, on virtual time, without traffic of their own."""
