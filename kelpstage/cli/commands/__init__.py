"""The commands of `kelpctl`, by subject."""
