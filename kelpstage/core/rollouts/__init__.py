"""Rollouts on the leader: orders, the edges' reports, steps and reverts."""
