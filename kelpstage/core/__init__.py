"""The core daemon: replicated log, leases of edges, operators' HTTP."""
