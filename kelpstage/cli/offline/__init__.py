"""Analyses of configuration files that need no running fleet."""
