"""Code shared by edges, cores and tools."""
