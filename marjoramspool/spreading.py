"""Spreading requests that the loads known of engines do not show yet.

The load pattern it answers: hundreds of routers that hear of each other's loads some tenths of a
second late. In a burst all of them see the same least loaded engine and send it everything at once,
until it holds several times the mean and the next one gets its turn.
"""

import math
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["SentWork", "water_level"]

MEMORY_S = 1.0


class SentWork:
    """Learn how much work a router sends, in prompt tokens a second."""

    __slots__ = ("at", "clock", "tokens")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.at = clock()
        self.tokens = 0.0

    def note(self, tokens: int) -> None:
        """Take in a request that was sent."""
        self.tokens = self.remembered() + tokens
        self.at = self.clock()

    def tokens_a_s(self) -> float:
        """Return how much is sent now, in prompt tokens a second."""
        return self.remembered() / MEMORY_S

    def remembered(self) -> float:
        """Return the tokens sent of late; older ones count less."""
        return self.tokens * math.exp((self.at - self.clock()) / MEMORY_S)


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
