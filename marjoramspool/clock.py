"""The clock that deadlines are kept on."""

import time

__all__ = ["now"]


def now() -> float:
    """Return seconds on a clock that no step of the time of day moves.

    It counts the time that a host spends suspended, which the clock of timers does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
