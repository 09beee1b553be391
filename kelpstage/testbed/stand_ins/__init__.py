"""Stand-ins for the systems around the product: backends, callers, the platform."""
