"""Fault injection soak of router processes, with invariants checked throughout."""
