"""The ports through which a daemon uses the clock, the network and the disk."""
