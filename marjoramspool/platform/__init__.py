"""Adapters to the platform: its store, settings, requests and answers."""
