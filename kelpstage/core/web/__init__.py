"""Operators' HTTP."""
