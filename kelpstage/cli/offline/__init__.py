"""What can be told from files alone, without a fleet."""
