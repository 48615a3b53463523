"""Callers: the HTTP interface, accounts and problem details."""
