"""Discrete-event model of the fleet: the product's own decisions on simulated engines."""
