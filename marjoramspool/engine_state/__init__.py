"""What is known of engines: who serves, with what load, limits, pauses, caches and faults."""
