"""Clock for deadlines."""

import time

__all__ = ["now"]


def now() -> float:
    """Return seconds on a clock that is unaffected by changes of the wall clock.

    Unlike the monotonic clock of timers, it includes time during which the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
