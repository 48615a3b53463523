"""Streams of events: where they began, how they go on and how they are read."""
