"""Delay of requests until a router has its initial state after a start.

When all routers restart simultaneously under full traffic, requests arrive before the first answer
of the store, which may itself be unavailable for some seconds. Many of these clients were
disconnected by the restart and are on their last attempt, which an immediate refusal would waste.
"""

import asyncio
from collections.abc import Callable

from marjoramspool.clock import now

__all__ = ["StartupWait"]

# Later than this after a start, the store outage is assumed to be long and requests do not wait.
STARTUP_TIMEOUT_S = 5.0
# Leaves the client most of its timeout for a retry if the request is refused after the wait.
MAX_WAIT_FRACTION = 0.2
POLL_PERIOD_S = 0.01


class StartupWait:
    """Bounded wait for the initial state; `has_state` returns whether it is known."""

    __slots__ = ("clock", "has_state", "started_at")

    def __init__(self, has_state: Callable[[], bool], clock: Callable[[], float] = now):
        self.has_state = has_state
        self.clock = clock
        self.started_at = clock()

    def is_pending(self) -> bool:
        """Return whether the state is missing and the startup timeout has not passed."""
        return not self.has_state() and self.clock() - self.started_at < STARTUP_TIMEOUT_S

    async def wait(self, client_timeout_s: float) -> None:
        """Wait while the state is pending, for at most a fifth of the client's timeout."""
        deadline = self.clock() + MAX_WAIT_FRACTION * client_timeout_s
        while self.is_pending() and self.clock() < deadline:
            await asyncio.sleep(POLL_PERIOD_S)
