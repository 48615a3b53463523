"""Moves of runs off engines that leave.

Load pattern: an engine drains, or its failure domain is evacuated, while it executes long streams
that may run only once. Those that will not end before it does are moved, a few at a time, since
a move takes bandwidth and its caller waits for it.
"""

from collections.abc import Callable

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.routes import EngineCapacity

__all__ = ["MoveSchedule", "transfer_time_s"]

MAX_MOVES = 4
# Assumed until an engine of the service has been seen to drain and leave.
DEFAULT_DRAIN_PERIOD_S = 8.0
# Engines leave within this time.
MAX_LEAVING_S = 120.0
# A stream is moved if it is expected to take more than this part of the time left.
DRAIN_MARGIN = 0.8
# Part of the time that a caller waits for an event which a move may take.
GAP_SHARE = 0.5
# Moves between failure domains are slower by this.
OTHER_DOMAIN_FACTOR = 2.0


class MoveSchedule:
    """Moves at work at this router, and how long engines drain before they leave."""

    __slots__ = ("active", "clock", "drain_periods_s", "leaving_since")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.active = 0
        # When each incarnation was first seen to be leaving.
        self.leaving_since: dict[tuple[str, int], float] = {}
        # The last drain period that was seen, by service.
        self.drain_periods_s: dict[str, float] = {}

    def record_removed(self, engine: Engine) -> None:
        """Record that an engine has left or started again."""
        since = self.leaving_since.pop(engine.key, None)
        # What an evacuation does with engines says nothing of drain periods.
        if since is not None and engine.is_draining:
            self.drain_periods_s[engine.service] = self.clock() - since

    def record_staying(self, engine: Engine) -> None:
        """Record that an engine is not leaving, or no longer."""
        self.leaving_since.pop(engine.key, None)

    def drain_left_s(self, engine: Engine) -> float:
        """Return the time until an engine that is leaving is expected to end."""
        now_s = self.clock()
        if engine.key not in self.leaving_since:
            self.prune(now_s)
        since = self.leaving_since.setdefault(engine.key, now_s)
        period_s = self.drain_periods_s.get(engine.service, DEFAULT_DRAIN_PERIOD_S)
        return max(0.0, since + period_s - now_s)

    def prune(self, now_s: float) -> None:
        """Forget the engines that have surely left."""
        oldest = now_s - MAX_LEAVING_S
        self.leaving_since = {key: at for key, at in self.leaving_since.items() if at > oldest}

    def is_due(self, engine: Engine, left_s: float) -> bool:
        """Return whether to move a stream that is expected to take `left_s` seconds more."""
        is_due = left_s > DRAIN_MARGIN * self.drain_left_s(engine)
        return is_due and self.active < MAX_MOVES

    def is_fast_enough(self, time_s: float, longest_gap_s: float) -> bool:
        """Return whether a caller that waits for an event at most so long can wait for a move."""
        return time_s <= GAP_SHARE * longest_gap_s


def transfer_time_s(
    tokens: int, capacity: EngineCapacity, source: Engine, destination: Engine
) -> float:
    """Return the time in which memory is copied from one engine to another."""
    is_same_domain = source.failure_domain == destination.failure_domain
    factor = 1.0 if is_same_domain else OTHER_DOMAIN_FACTOR
    return factor * tokens * capacity.kv_token_bytes / capacity.link_bytes_per_s
