"""The test bed: simulated and real deployments, checkers, model, measurements."""
