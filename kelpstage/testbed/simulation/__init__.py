"""A simulated deployment: one seed, one history."""
