"""HTTP interface for callers: request parsing, authorization and problem details."""
