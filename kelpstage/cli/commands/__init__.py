"""The commands, by subject."""
