"""Replays recordings of a fleet's traffic and compares the results."""
