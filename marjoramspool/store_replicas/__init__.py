"""Replicas of what the store holds: consistent listings, then watches from their revision."""
