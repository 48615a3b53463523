"""Log of malformed notices, bounded for sources that send them with every message."""

from collections.abc import Callable

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["MalformedNotices"]

# A source is logged at most once in this time.
LOG_PERIOD_S = 60.0
MAX_SOURCES = 4096


class MalformedNotices:
    """When each source was logged last."""

    __slots__ = ("clock", "logged_at")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.logged_at: dict[str, float] = {}

    def record(self, source: str, why: str) -> None:
        """Log a malformed notice, unless its source was logged within the last minute."""
        now_s = self.clock()
        logged_at = self.logged_at.get(source)
        if logged_at is not None and now_s - logged_at < LOG_PERIOD_S:
            return
        if len(self.logged_at) >= MAX_SOURCES:
            self.logged_at.clear()
        self.logged_at[source] = now_s
        log(Event.NOTICE_MALFORMED, target=source, why=why)
