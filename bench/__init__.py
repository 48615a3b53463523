"""Demonstration, load generator, measurements and the fleets that tests run on."""
