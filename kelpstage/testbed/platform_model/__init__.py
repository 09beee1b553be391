"""A model of the users' platform, checked by its rules."""
