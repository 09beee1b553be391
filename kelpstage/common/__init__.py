"""What edges, cores and tools share."""
