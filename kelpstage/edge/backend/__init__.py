"""The registry of backends: discovery, health, gossip of states, and selection."""
