"""HTTP/1.1 client and server, and helpers that build replies."""
