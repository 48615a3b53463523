"""Letting requests wait for what a router learns first after its start.

The load pattern it answers: all routers start at once under full traffic, and clients are there
before the first answer of the store, which may itself be out for some seconds. Many of them were
cut off by the end of the routers and are at their last try; a refusal at once would lose them.
"""

import asyncio
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["StartupWait"]

# A store that does not answer for longer than this after a start is held to be out for long.
STARTUP_TIMEOUT_S = 5.0
# A request that is refused after its wait has most of its time left to come back.
MAX_WAIT_FRACTION = 0.2
POLL_PERIOD_S = 0.01


class StartupWait:
    """Know whether the first state is there, and how long it is worth waiting for."""

    __slots__ = ("clock", "has_state", "started_at")

    def __init__(self, has_state: Callable[[], bool], clock: Callable[[], float] = now):
        self.has_state = has_state
        self.clock = clock
        self.started_at = clock()

    def is_pending(self) -> bool:
        """Tell whether the state is missing and may be there soon."""
        return not self.has_state() and self.clock() - self.started_at < STARTUP_TIMEOUT_S

    async def wait(self, client_timeout_s: float) -> None:
        """Wait until the state is known, or is not worth waiting for.

        `client_timeout_s` is the time that the client gives; a fifth of it is waited at most.
        """
        deadline = self.clock() + MAX_WAIT_FRACTION * client_timeout_s
        while self.is_pending() and self.clock() < deadline:
            await asyncio.sleep(POLL_PERIOD_S)
