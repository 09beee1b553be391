"""Leases of edges, and the writes of configurations that wait for them."""
