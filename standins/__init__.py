"""Stand-ins for the systems around marjoramspool, for tests and measurements only."""
