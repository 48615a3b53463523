"""The platform: object API, host list and weight store."""
