"""Replies of cores and edges, formatted as text."""
