"""Spreading requests that the loads known of engines do not show yet.

The load pattern it answers: hundreds of routers that hear of each other's loads some tenths of a
second late. In a burst all of them see the same least loaded engine and send it everything at once,
until it holds several times the mean and the next one gets its turn.
"""

import math
from collections.abc import Callable, Iterable

from marjoramspool.clock import now

__all__ = ["HotParts", "WorkRate", "first_unfilled", "water_level"]

WORK_TIME_CONSTANT_S = 1.0
# All routers together ask often enough to be judged by less, and a crowd comes suddenly.
HOT_PART_TIME_CONSTANT_S = 0.3
MAX_PARTS = 1024
MIN_REQUESTS = 0.05


class WorkRate:
    """Learn how much work a router sends a second, in prompt tokens or requests."""

    __slots__ = ("clock", "time_constant_s", "updated_at", "work")

    def __init__(
        self, clock: Callable[[], float] = now, time_constant_s: float = WORK_TIME_CONSTANT_S
    ):
        self.clock = clock
        self.time_constant_s = time_constant_s
        self.updated_at = clock()
        self.work = 0.0

    def record(self, work: float) -> None:
        """Take in a request that was sent."""
        self.work = self.decayed_work() + work
        self.updated_at = self.clock()

    def rate_per_s(self) -> float:
        """Return how much is sent a second now."""
        return self.decayed_work() / self.time_constant_s

    def decayed_work(self) -> float:
        """Return what was sent of late; older work counts less."""
        return self.work * math.exp((self.updated_at - self.clock()) / self.time_constant_s)


class HotParts:
    """Learn how many requests all routers send for each shared part of prompts, a second."""

    __slots__ = ("clock", "parts")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.parts: dict[int, WorkRate] = {}

    def record(self, parts: Iterable[int]) -> None:
        """Take in a request whose prompt has these parts."""
        for part in parts:
            if part not in self.parts:
                self.prune()
                self.parts[part] = WorkRate(self.clock, HOT_PART_TIME_CONSTANT_S)
            self.parts[part].record(1.0)

    def rate_per_s(self, part: int) -> float:
        """Return how many requests with a part are sent a second now."""
        sent = self.parts.get(part)
        return sent.rate_per_s() if sent else 0.0

    def prune(self) -> None:
        """Forget the parts that are asked for no longer, once there are many."""
        if len(self.parts) >= MAX_PARTS:
            kept = {p: w for p, w in self.parts.items() if w.decayed_work() > MIN_REQUESTS}
            self.parts = kept if len(kept) < MAX_PARTS else {}


def water_level(costs: list[float], tokens: float) -> float:
    """Return the cost to which the cheapest engines rise when they take `tokens` of work.

    As water fills a vessel with an uneven ground, the work fills the engines with the least first.
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
    """Return how many engines to pass over, since unseen requests for one subject fill them.

    `headrooms` says how many requests each engine takes before it is full, in the order in which they
    are chosen. A request with the draw 0 stands first among the unseen ones, with 1 last.
    """
    before = unreported * draw
    for count, headroom in enumerate(headrooms):
        before -= headroom
        if before < 0.0:
            return count
    return 0
