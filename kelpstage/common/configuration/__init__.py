"""Configurations: types, parsing and validation."""
