"""Requests of clients as they are forwarded, and the answers to them."""
