"""Typed errors, grouped in modules by their source."""
