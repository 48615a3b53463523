"""How many repeats all routers together may send to a service."""

from collections import deque
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["SharedRetries"]

# Routers that restart forget what they have spent in the window.
SPENT_AT_MOST = 0.75


class SharedRetries:
    """Grant repeats to one service as this router's share of a budget of the fleet.

    The budget of a window is a ratio of the requests in it and a reserve. The ratio is taken of
    this router's own requests and the reserve is divided by the routers, so the sum holds without
    a word between them.
    """

    __slots__ = ("clock", "ratio", "repeats", "requests", "reserve", "routers", "window_s")

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
        self.repeats: deque[float] = deque()

    def expire(self) -> None:
        """Forget what has left the window."""
        oldest = self.clock() - self.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()

    def note_request(self) -> None:
        """Count the first sending of a request."""
        self.expire()
        self.requests.append(self.clock())

    def left(self) -> float:
        """Return how many repeats may still be sent now."""
        self.expire()
        allowed = self.ratio * len(self.requests) + self.reserve / max(1, self.routers())
        return SPENT_AT_MOST * allowed - len(self.repeats)

    def take(self) -> bool:
        """Take one repeat if the budget allows it."""
        if self.left() < 1.0:
            return False
        self.repeats.append(self.clock())
        return True
