"""Typed errors, in modules by who raises them."""
