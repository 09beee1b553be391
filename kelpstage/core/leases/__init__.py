"""Leases of edges, and the orders that wait for them."""
