"""Retry budget of a service, shared by all routers of the fleet."""

from collections import deque
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["SharedRetryBudget"]

# Margin for routers that restart and lose their count of retries in the window.
MAX_SPENT_FRACTION = 0.75


class SharedRetryBudget:
    """Share of one router in the fleet's retry budget for a service.

    The budget of a sliding window is a ratio of the requests in it plus a reserve. Each router
    applies the ratio to its own requests and divides the reserve by the number of routers, so the
    fleet stays within the budget without coordination.
    """

    __slots__ = ("clock", "ratio", "requests", "reserve", "retries", "router_count", "window_s")

    def __init__(
        self,
        ratio: float,
        reserve: float,
        window_s: float,
        router_count: Callable[[], int],
        clock: Callable[[], float] = now,
    ):
        self.ratio = ratio
        self.reserve = reserve
        self.window_s = window_s
        self.router_count = router_count
        self.clock = clock
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def expire(self) -> None:
        """Remove requests and retries that are older than the window."""
        window_start = self.clock() - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < window_start:
                times.popleft()

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self.expire()
        self.requests.append(self.clock())

    def remaining(self) -> float:
        """Return the number of retries that may still be sent now."""
        self.expire()
        allowed = self.ratio * len(self.requests) + self.reserve / max(1, self.router_count())
        return MAX_SPENT_FRACTION * allowed - len(self.retries)

    def is_half_spent(self) -> bool:
        """Return whether no more retries remain than were sent in the window."""
        return self.remaining() <= len(self.retries)

    def try_acquire(self) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.remaining() < 1.0:
            return False
        self.retries.append(self.clock())
        return True
