"""Forwarded client requests: headers, requests to backends and their replies."""
