"""Stand-ins for the users' platform, operator, clients and backends, for the review's scripts."""
