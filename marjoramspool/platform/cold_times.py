"""Cold times that engines name in registrations and answers."""

import math
from collections.abc import Callable

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["FaultLog", "parse_cold_ms", "read_cold_time"]

MS = 1000.0
# No engine takes longer to get warm.
MAX_COLD_S = 3600.0
LOG_PERIOD_S = 60.0
MAX_SOURCES = 1024


class FaultLog:
    """Log of malformed figures, which names each source at most once in a minute."""

    __slots__ = ("clock", "logged_at")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.logged_at: dict[str, float] = {}

    def record(self, source: str, fault: str) -> None:
        """Log a malformed figure unless its source was named just now."""
        now_s = self.clock()
        if now_s - self.logged_at.get(source, -math.inf) < LOG_PERIOD_S:
            return
        if len(self.logged_at) >= MAX_SOURCES:
            self.logged_at.clear()
        self.logged_at[source] = now_s
        log(Event.FIGURE_UNREADABLE, source=source, fault=fault)


faults = FaultLog()


def read_cold_time(engine: str, value: object) -> float | None:
    """Return the seconds for which an engine is still cold; None if it is not said or malformed."""
    if value is None:
        return None
    try:
        return parse_cold_ms(value)
    except ValueError as error:
        faults.record(engine, str(error))
        return None


def parse_cold_ms(value: object) -> float:
    """Return the seconds of a number or text in milliseconds; raise ValueError if malformed."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"{value!r} is no cold time")
    try:
        remaining_s = float(value) / MS
    except OverflowError:
        remaining_s = math.inf
    if not 0.0 <= remaining_s <= MAX_COLD_S:
        raise ValueError(f"{value!r} is no cold time in milliseconds")
    return remaining_s
