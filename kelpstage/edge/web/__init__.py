"""The HTTP interfaces of an edge: callers, forwarded requests, explanations."""
