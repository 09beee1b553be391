"""The retry budget and load shedding."""
