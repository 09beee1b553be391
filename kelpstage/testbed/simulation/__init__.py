"""Simulated deployments in virtual time: the same seed gives the same history."""
