"""Calls between routers: placement sessions, probes, documents, claims and traces."""
