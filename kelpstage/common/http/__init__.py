"""HTTP/1.1: client, server, and the shaping of replies."""
