"""Recordings of the events at a node: the file format and its writer."""
