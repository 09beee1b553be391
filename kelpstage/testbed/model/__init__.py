"""A model checker that runs the real code of the control plane."""
