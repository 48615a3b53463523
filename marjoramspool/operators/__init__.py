"""Operator tools: the read-only HTTP interface of a router and the command line."""
