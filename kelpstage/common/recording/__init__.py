"""Recordings of what a node did: the file format and its writer."""
