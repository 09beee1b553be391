"""The transport between own processes: messages, frames, connections, large values."""
