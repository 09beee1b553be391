"""Replacements of what surrounds the product: backends, callers, the platform."""
