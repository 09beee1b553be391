"""What cores and edges answer, as text."""
