"""Raft, plain: events in, effects out."""
