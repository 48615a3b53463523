"""A model of the fleet in virtual time: the product's own decisions before modelled engines."""
