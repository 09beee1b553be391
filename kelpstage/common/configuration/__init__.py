"""Configurations: their types, reading and validation."""
