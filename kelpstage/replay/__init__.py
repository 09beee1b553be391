"""Replaying recordings of a fleet's traffic, and comparing what came of them."""
