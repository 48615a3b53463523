"""Plain services: targets that are not model engines."""
