"""Logging, and checksummed records."""
