"""The disk of a core; see docs/notes/control/disk.md."""
