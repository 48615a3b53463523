"""Bound on the delay that refused callers are told before their retry."""

__all__ = ["longest_retry_delay_s"]

# Clients wait before a retry for at most this fraction of their remaining time.
MAX_DELAY_FRACTION = 1 / 3


def longest_retry_delay_s(remaining_s: float) -> float:
    """Return the longest delay that a client with some time left waits for."""
    return max(0.0, remaining_s) * MAX_DELAY_FRACTION
