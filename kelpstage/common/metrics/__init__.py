"""Metrics of a process: kept as plain numbers and formatted only on request."""
