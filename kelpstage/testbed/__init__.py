"""The testbed: simulated and real deployments, checkers, model checker, measurements."""
