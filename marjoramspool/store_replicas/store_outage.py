"""Outage of the store as one router sees it, and whether other routers have it too.

Fault: the store turns this router away and serves the others. A registration that was removed just
before the router's next answer did not lapse in an outage, and its engine leaves.

Sign: other routers told newer state during the outage, long after what was written before it had
arrived, and the router was still turned away for longer than the pause between two calls.
"""

from collections import deque
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["StoreOutage"]

# What was written before an outage has reached every router by then.
NEWS_TRANSIT_S = 4.0
# The store is asked again within this time of its return.
MAX_RETRY_PERIOD_S = 1.5
# Older news may be from before an outage of all that followed one of this router alone.
MAX_NEWS_AGE_S = 5.0
MAX_NEWS = 64


class StoreOutage:
    """Time of the present outage, and of the newer state that other routers told during it."""

    __slots__ = ("began_at", "clock", "news_at")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.began_at: float | None = None
        self.news_at: deque[float] = deque(maxlen=MAX_NEWS)

    @property
    def is_ongoing(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.began_at is not None

    def record_failure(self) -> None:
        """Record a call that failed."""
        if self.began_at is None:
            self.began_at = self.clock()
            self.news_at.clear()

    def record_news(self) -> None:
        """Record that another router told of newer state in the store."""
        if self.is_ongoing:
            self.news_at.append(self.clock())

    def end(self) -> bool:
        """End the outage; return whether it may have been one of all routers."""
        now_s = self.clock()
        after = max(self.began_at + NEWS_TRANSIT_S, now_s - MAX_NEWS_AGE_S)
        before = now_s - MAX_RETRY_PERIOD_S
        self.began_at = None
        return not any(after < at < before for at in self.news_at)
