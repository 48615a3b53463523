"""Router to router: placement sessions, probes, documents, claims and traces."""
