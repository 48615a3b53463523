"""Engines that may have started again since they registered.

Fault: an engine ends and starts again under its id and address, with other software, and the list
of engines names the earlier incarnation until it registers anew. A stream that begins there would
count as one of the earlier version, and go on at other engines of that.

Sign: a connection to the engine broke or was refused, here or at another router. Until a report of
the engine shows which incarnation it is, streams that may go on elsewhere begin only after one.
"""

from collections.abc import Callable

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.request_limits import EngineKey

__all__ = ["IncarnationDoubts"]


class IncarnationDoubts:
    """When a connection to each incarnation broke last, and when it was identified last."""

    __slots__ = ("broken_at", "clock", "identified_at")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.broken_at: dict[EngineKey, float] = {}
        self.identified_at: dict[EngineKey, float] = {}

    def record_break(self, engine: Engine) -> None:
        """Record that a connection to an engine broke or was refused, here or elsewhere."""
        self.broken_at[engine.key] = self.clock()

    def record_identified(self, engine: Engine, asked_at: float) -> None:
        """Record that a report that was asked for at `asked_at` named the listed incarnation."""
        known = self.identified_at.get(engine.key, asked_at)
        self.identified_at[engine.key] = max(known, asked_at)

    def is_doubted(self, engine: Engine) -> bool:
        """Return whether an engine may have started again since it was last identified."""
        broken_at = self.broken_at.get(engine.key)
        if broken_at is None:
            return False
        identified_at = self.identified_at.get(engine.key)
        return identified_at is None or identified_at <= broken_at

    def remove_engine(self, key: EngineKey) -> None:
        """Remove the state of an engine that is gone or has registered anew."""
        self.broken_at.pop(key, None)
        self.identified_at.pop(key, None)
