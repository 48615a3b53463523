"""Pauses that engines ask for when they refuse requests.

Load pattern: an engine beyond its capacity refuses requests and names a time. Requests that reach
it before are refused again, and each refusal costs a caller time that another engine could use.
"""

from collections.abc import Callable, Iterable

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log

__all__ = ["AllPaused", "EnginePauses"]

# Retries return within this fraction of the pause after its end, not all at the same moment.
MAX_SPREAD_FRACTION = 0.5


class AllPaused:
    """All engines of a service have asked for a pause; `retry_after_s` is the shortest, spread."""

    __slots__ = ("retry_after_s",)

    def __init__(self, remaining_s: float, draw: float):
        self.retry_after_s = remaining_s * (1.0 + MAX_SPREAD_FRACTION * draw)


class EnginePauses:
    """Time until which each engine takes no requests from this router, by incarnation."""

    __slots__ = ("clock", "until")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.until: dict[tuple[str, int], float] = {}

    def record(self, engine: Engine, pause_s: float) -> None:
        """Record that an engine wants no requests for `pause_s` seconds; it never shortens one."""
        now_s = self.clock()
        self.until = {key: until for key, until in self.until.items() if until > now_s}
        key = (engine.id, engine.started_ms)
        self.until[key] = max(self.until.get(key, 0.0), self.clock() + pause_s)
        log(Event.ENGINE_PAUSED, engine=engine.id, pause_s=round(pause_s, 3))

    def is_paused(self, engine: Engine) -> bool:
        """Return whether an engine is to be left alone now."""
        return self.remaining_s(engine) > 0.0

    def remaining_s(self, engine: Engine) -> float:
        """Return the seconds until an engine takes requests again, 0 if it does now."""
        until = self.until.get((engine.id, engine.started_ms), 0.0)
        return max(0.0, until - self.clock())

    def all_paused(self, engines: Iterable[Engine], draw: float) -> AllPaused | None:
        """Return the pause of a service, None unless all its engines are paused.

        `draw`, 0 to 1, spreads the return of the callers.
        """
        if not self.until:
            return None
        remaining = [self.remaining_s(engine) for engine in engines]
        if not remaining or min(remaining) <= 0.0:
            return None
        return AllPaused(min(remaining), draw)

    def remove_engine(self, engine: Engine) -> None:
        """Remove the pause of an engine that is gone or has restarted."""
        self.until.pop((engine.id, engine.started_ms), None)
