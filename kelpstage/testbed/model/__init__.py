"""A model checker of the control side's own plain code."""
