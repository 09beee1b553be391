"""Checkers of the platform's rules."""
