"""Estimates of load that other routers have sent but not reported yet.

Load pattern: hundreds of routers receive each other's load reports some tenths of a second late.
In a burst all of them see the same least loaded engine and send it every request, until it has
several times the mean load and the next engine appears least loaded.
"""

import math
from collections.abc import Callable, Iterable

from marjoramspool.clock import now

__all__ = ["HotParts", "WorkRate", "first_unfilled", "water_level"]

WORK_TIME_CONSTANT_S = 1.0
# All routers together send enough requests for a short window, and a part becomes hot suddenly.
HOT_PART_TIME_CONSTANT_S = 0.3
MAX_PARTS = 1024
MIN_REQUESTS = 0.05


class WorkRate:
    """Exponentially decaying rate of the work sent, in prompt tokens or requests per second."""

    __slots__ = ("clock", "time_constant_s", "updated_at", "work")

    def __init__(
        self, clock: Callable[[], float] = now, time_constant_s: float = WORK_TIME_CONSTANT_S
    ):
        self.clock = clock
        self.time_constant_s = time_constant_s
        self.updated_at = clock()
        self.work = 0.0

    def record(self, work: float, now_s: float | None = None) -> None:
        """Record the work of a request that was sent, now unless a time is given."""
        now_s = self.clock() if now_s is None else now_s
        self.work = self.decayed_work(now_s) + work
        self.updated_at = now_s

    def rate_per_s(self) -> float:
        """Return the current rate per second."""
        return self.decayed_work(self.clock()) / self.time_constant_s

    def decayed_work(self, now_s: float) -> float:
        """Return the work recorded so far, weighted down exponentially with its age."""
        return self.work * math.exp((self.updated_at - now_s) / self.time_constant_s)


class HotParts:
    """Rate of the requests of all routers for each shared prompt part."""

    __slots__ = ("clock", "parts")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.parts: dict[int, WorkRate] = {}

    def record(self, parts: Iterable[int]) -> None:
        """Record a request whose prompt has the given parts.

        This runs for each request of the whole fleet, so that it reads the clock once.
        """
        now_s = self.clock()
        for part in parts:
            if part not in self.parts:
                self.prune(now_s)
                self.parts[part] = WorkRate(self.clock, HOT_PART_TIME_CONSTANT_S)
            self.parts[part].record(1.0, now_s)

    def rate_per_s(self, part: int) -> float:
        """Return the current rate of requests with a part, per second."""
        sent = self.parts.get(part)
        return sent.rate_per_s() if sent else 0.0

    def prune(self, now_s: float) -> None:
        """Remove the parts that are no longer requested, once `MAX_PARTS` is reached."""
        if len(self.parts) >= MAX_PARTS:
            kept = {p: w for p, w in self.parts.items() if w.decayed_work(now_s) > MIN_REQUESTS}
            self.parts = kept if len(kept) < MAX_PARTS else {}


def water_level(costs: list[float], tokens: float) -> float:
    """Return the cost up to which `tokens` of work fill the cheapest engines.

    Water filling: the work goes to the engines with the lowest cost until all of them are level.
    """
    ascending = sorted(costs)
    filled = 0.0
    for count, cost in enumerate(ascending, 1):
        filled += cost
        level = (filled + tokens) / count
        if count == len(ascending) or level <= ascending[count]:
            return level
    return math.inf


def first_unfilled(headrooms: list[float], unreported: float, draw: float) -> int:
    """Return the index of the first engine not filled by unreported requests, 0 if all are.

    `headrooms` is the number of requests that each engine takes before it is full, in order of
    preference. `draw` is the position of this request among the unreported ones for the same
    prompt part, from 0 (first) to 1 (last).
    """
    before = unreported * draw
    for count, headroom in enumerate(headrooms):
        before -= headroom
        if before < 0.0:
            return count
    return 0
