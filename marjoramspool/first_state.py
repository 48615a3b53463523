"""Letting requests wait for what a router learns first after its start.

The load pattern it answers: all routers start at once under full traffic, and clients are there
before the first answer of the store. That takes a moment; a refusal would cost each its next try.
"""

import asyncio
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["FirstState"]

# A store that takes longer than this after a start is as good as out.
LONGEST_WAIT_S = 0.8
CHECK_S = 0.01


class FirstState:
    """Know whether the first state is there, and how long it is worth waiting for.

    `is_known` tells whether it is there, `has_store` whether no call to the store has failed.
    """

    __slots__ = ("clock", "has_store", "is_known", "since")

    def __init__(
        self,
        is_known: Callable[[], bool],
        has_store: Callable[[], bool],
        clock: Callable[[], float] = now,
    ):
        self.is_known = is_known
        self.has_store = has_store
        self.clock = clock
        self.since = clock()

    def is_worth_waiting(self) -> bool:
        """Tell whether the state may be there in a moment."""
        is_early = self.clock() - self.since < LONGEST_WAIT_S
        return not self.is_known() and self.has_store() and is_early

    async def wait(self) -> None:
        """Wait until the state is known, or is not worth waiting for."""
        while self.is_worth_waiting():
            await asyncio.sleep(CHECK_S)
