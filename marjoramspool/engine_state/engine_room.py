"""Room in brittle engines, which fall over when they turn too many requests away in a second.

Load pattern: demand exceeds the room of all engines of a service, and many routers see the same
place free before they hear of each other's requests. Each turns up, most are turned away, and the
engine falls over; the others then get its share. So all routers bound what is in one together:
at its slots, less what may be on its way unreported; lower, at once, when it turns one away
anywhere; back up slowly. An engine that has just come back gets little at first.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log

__all__ = ["AllFull", "Bound", "EngineRoom"]

# Part of an engine's slots that is used while it is brittle.
FILL = 1.0
# What an engine has in it when it turns one away is too much by this.
TIGHTEN_FACTOR = 0.7
MIN_BOUND = 1.0
# A bound returns by this part of the slots in a second.
GROWTH_PER_S = 0.1
# What an engine gets that was listed just now, as a part of its slots.
FIRST_FILL = 0.25
# A service counts as brittle for this long after an answer that said so.
BRITTLE_S = 3.0
# Bounds are told for this long after they were tightened.
TOLD_S = 2.0
RETRY_AFTER_S = 0.5
# Callers arrive in bursts, above the mean rate by this much.
SURGE_FACTOR = 4.0


@dataclass(slots=True, frozen=True)
class Bound:
    """Bound on the requests in an engine when it was set, in seconds of the local clock."""

    requests: float
    set_at: float


@dataclass(slots=True, frozen=True)
class AllFull:
    """No brittle engine of a service has room; `retry_after_s` is when to come back."""

    retry_after_s: float


class EngineRoom:
    """Bounds on the requests in brittle engines, by incarnation."""

    __slots__ = ("bounds", "brittle_until", "clock", "told")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        # Until when the engines of a service count as brittle.
        self.brittle_until: dict[str, float] = {}
        self.bounds: dict[tuple[str, int], Bound] = {}
        # Bounds that this router has set itself.
        self.told: dict[tuple[str, int], Bound] = {}

    def record_answer(self, engine: Engine, is_brittle: bool) -> None:
        """Record whether an answer says that its engine is brittle."""
        if is_brittle:
            if not self.is_brittle(engine.service):
                log(Event.ENGINES_BRITTLE, service=engine.service, engine=engine.id)
            self.brittle_until[engine.service] = self.clock() + BRITTLE_S

    def is_brittle(self, service: str) -> bool:
        """Return whether the engines of a service are brittle."""
        return self.brittle_until.get(service, -math.inf) > self.clock()

    def record_listed(self, engine: Engine) -> None:
        """Let an engine that comes back while its service is brittle begin with little."""
        if self.is_brittle(engine.service):
            bound = max(MIN_BOUND, FIRST_FILL * engine.slots)
            self.bounds.setdefault(engine.key, Bound(bound, self.clock()))

    def record_refusal(self, engine: Engine, requests: int) -> None:
        """Tighten the bound of an engine that turned one away, of `requests` that it had."""
        if not self.is_brittle(engine.service):
            return
        tightened = max(MIN_BOUND, TIGHTEN_FACTOR * min(requests, self.bound(engine)))
        bound = Bound(tightened, self.clock())
        self.bounds[engine.key] = self.told[engine.key] = bound
        log(Event.ENGINE_FULL, engine=engine.id, requests=requests, bound=round(tightened, 2))

    def record_report(self, engine: Engine, bound: Bound) -> None:
        """Adopt the bound of another router if it is lower than the one here."""
        self.brittle_until[engine.service] = max(
            self.brittle_until.get(engine.service, -math.inf), bound.set_at + BRITTLE_S
        )
        known = self.bounds.get(engine.key)
        if known is None or bound.set_at > known.set_at or bound.requests < known.requests:
            requests = min(bound.requests, self.bound(engine))
            self.bounds[engine.key] = Bound(requests, bound.set_at)

    def reported(self) -> Iterator[tuple[tuple[str, int], Bound]]:
        """Yield the bounds to tell the other routers."""
        oldest_told = self.clock() - TOLD_S
        self.told = {key: bound for key, bound in self.told.items() if bound.set_at >= oldest_told}
        yield from self.told.items()

    def bound(self, engine: Engine) -> float:
        """Return how many requests may be in an engine; infinite unless it is brittle."""
        if not self.is_brittle(engine.service):
            return math.inf
        full = max(MIN_BOUND, FILL * engine.slots)
        known = self.bounds.get(engine.key)
        if known is None:
            return full
        grown = known.requests + GROWTH_PER_S * engine.slots * (self.clock() - known.set_at)
        return min(full, grown)

    def has_room(self, engine: Engine, requests: int, unreported: float, draw: float) -> bool:
        """Return whether one more request may go to an engine that has some, by a draw of 0 to 1.

        Where the routers send more than `unreported` before they hear of each other, as many of
        them pass as there are places.
        """
        room = self.bound(engine) - requests
        if room == math.inf:
            return True
        if room < 1.0:
            return False
        return draw * (1.0 + SURGE_FACTOR * unreported) <= room

    def all_full(self, engines: Iterable[Engine], draw: float) -> AllFull | None:
        """Return the refusal of a request that no engine has room for, None if none is brittle."""
        if not any(self.is_brittle(engine.service) for engine in engines):
            return None
        return AllFull(RETRY_AFTER_S * (1.0 + draw))

    def remove_engine(self, engine: Engine) -> None:
        """Remove the bound of an engine that is gone or has restarted."""
        self.bounds.pop(engine.key, None)
        self.told.pop(engine.key, None)
