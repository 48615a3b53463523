"""Letting requests wait for what a router learns first after its start.

The load pattern it answers: all routers start at once under full traffic, and clients are there
before the first answer of the store, which may itself be out for some seconds. Many of them were
cut off by the end of the routers and are at their last try; a refusal at once would lose them.
"""

import asyncio
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["FirstState"]

# A store that does not answer for longer than this after a start is held to be out for long.
LONGEST_OUTAGE_S = 5.0
# A request that is refused after its wait has most of its time left to come back.
WAIT_SHARE = 0.2
CHECK_S = 0.01


class FirstState:
    """Know whether the first state is there, and how long it is worth waiting for."""

    __slots__ = ("clock", "is_known", "since")

    def __init__(self, is_known: Callable[[], bool], clock: Callable[[], float] = now):
        self.is_known = is_known
        self.clock = clock
        self.since = clock()

    def is_worth_waiting(self) -> bool:
        """Tell whether the state is missing and may be there soon."""
        return not self.is_known() and self.clock() - self.since < LONGEST_OUTAGE_S

    async def wait(self, left_s: float) -> None:
        """Wait until the state is known, or is not worth waiting for.

        `left_s` is the time that the client gives, in seconds; a fifth of it is waited at most.
        """
        until = self.clock() + WAIT_SHARE * left_s
        while self.is_worth_waiting() and self.clock() < until:
            await asyncio.sleep(CHECK_S)
