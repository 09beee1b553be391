"""The ports through which a daemon reaches clock, network and disk."""
