"""The HTTP interfaces of an edge: searches, forwarded requests, plan and status."""
