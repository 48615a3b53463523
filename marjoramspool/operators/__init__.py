"""Operators: the read-only interface of a router and the command line."""
