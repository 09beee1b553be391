"""Logs of a process, and checksummed records."""
