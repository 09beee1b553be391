"""Backends: registry, endpoint discovery, health, gossip of their states, and selection."""
