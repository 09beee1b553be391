"""`kelpctl`, the command line of the operators."""
