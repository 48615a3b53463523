"""The platform: its store, its settings, its requests and answers, in its own names."""
