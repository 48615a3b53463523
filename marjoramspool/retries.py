"""How many repeats all routers together may send to a service."""

from collections import deque
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["SharedRetryBudget"]

# Routers that restart forget what they have spent in the window.
MAX_SPENT_FRACTION = 0.75


class SharedRetryBudget:
    """Grant repeats to one service as this router's share of a budget of the fleet.

    The budget of a window is a ratio of the requests in it and a reserve. The ratio is taken of
    this router's own requests and the reserve is divided by the routers, so the sum holds without
    a word between them.
    """

    __slots__ = ("clock", "ratio", "retries", "requests", "reserve", "routers", "window_s")

    def __init__(
        self,
        ratio: float,
        reserve: float,
        window_s: float,
        routers: Callable[[], int],
        clock: Callable[[], float] = now,
    ):
        self.ratio = ratio
        self.reserve = reserve
        self.window_s = window_s
        self.routers = routers
        self.clock = clock
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def expire(self) -> None:
        """Forget what has left the window."""
        window_start = self.clock() - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < window_start:
                times.popleft()

    def record_request(self) -> None:
        """Count the first sending of a request."""
        self.expire()
        self.requests.append(self.clock())

    def remaining(self) -> float:
        """Return how many repeats may still be sent now."""
        self.expire()
        allowed = self.ratio * len(self.requests) + self.reserve / max(1, self.routers())
        return MAX_SPENT_FRACTION * allowed - len(self.retries)

    def try_acquire(self) -> bool:
        """Take one repeat if the budget allows it."""
        if self.remaining() < 1.0:
            return False
        self.retries.append(self.clock())
        return True
