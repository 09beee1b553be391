"""The transport between edges and cores: messages, frames, connections, chunked transfers."""
