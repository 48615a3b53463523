"""Which engines to pass over for a while, judged by what became of requests there."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["OutlierDetector"]

FAILURE_WEIGHT = 0.25
EJECT_ABOVE_FAILURE_RATE = 0.45
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
UNREACHABLE_EJECTION_S = 0.5
MAX_EJECTED_FRACTION = 0.5
MIN_REPORTS = 2


@dataclass(slots=True)
class EngineHealth:
    """Hold the share of recent failures of an engine and until when it is passed over."""

    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    is_unreachable: bool = False
    is_refusing_connections: bool = False


class OutlierDetector:
    """Judge engines by the requests they failed, not by what they say of their health.

    When more than half of a service looks bad, the fault is likelier elsewhere and all are used.
    """

    __slots__ = ("clock", "health", "reports")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.health: dict[str, EngineHealth] = {}
        self.reports: dict[str, frozenset[str]] = {}

    def record_success(self, engine: str) -> None:
        """Record that an engine answered well."""
        health = self.health.get(engine)
        if health is None:
            return
        health.is_refusing_connections = False
        health.failure_rate *= 1.0 - FAILURE_WEIGHT
        if health.ejected_until > self.clock():
            return
        health.ejections = 0

    def record_failure(self, engine: str) -> None:
        """Record that an engine failed a request."""
        health = self.health.setdefault(engine, EngineHealth())
        health.failure_rate += FAILURE_WEIGHT * (1.0 - health.failure_rate)
        if health.failure_rate > EJECT_ABOVE_FAILURE_RATE:
            ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
            health.ejections += 1
            # The next failure after the pause starts a new one.
            health.failure_rate = EJECT_ABOVE_FAILURE_RATE - FAILURE_WEIGHT / 2
            self.eject(engine, health, ejection_s, is_unreachable=False)

    def record_unreachable(self, engine: str, is_refusing_connections: bool) -> None:
        """Record that an engine broke a connection, or takes none if it is closed."""
        health = self.health.setdefault(engine, EngineHealth())
        health.is_refusing_connections = is_refusing_connections
        ejection_s = min(MAX_EJECTION_S, UNREACHABLE_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        self.eject(engine, health, ejection_s, is_unreachable=True)

    def record_report(self, router: str, unreachable: frozenset[str]) -> None:
        """Take in which engines another router finds unreachable now."""
        if unreachable:
            self.reports[router] = unreachable
        else:
            self.reports.pop(router, None)

    def unreachable(self) -> frozenset[str]:
        """Return the engines that this router finds unreachable now."""
        now_s = self.clock()
        return frozenset(
            name for name, r in self.health.items() if r.is_unreachable and r.ejected_until > now_s
        )

    def eject(
        self, engine: str, health: EngineHealth, ejection_s: float, is_unreachable: bool
    ) -> None:
        """Pass an engine over for a while."""
        health.ejected_until = self.clock() + ejection_s
        health.is_unreachable = is_unreachable
        log(Event.ENGINE_SUSPECTED, engine=engine, failures=health.failure_rate, pause_s=ejection_s)

    def remove_engine(self, engine: str) -> None:
        """Forget an engine that is gone."""
        self.health.pop(engine, None)

    def is_refusing_connections(self, engine: str) -> bool:
        """Tell whether an engine took no connection of late."""
        health = self.health.get(engine)
        return (
            health is not None
            and health.is_refusing_connections
            and health.ejected_until > self.clock()
        )

    def is_ejected(self, engine: str) -> bool:
        """Tell whether this router itself passes an engine over now."""
        health = self.health.get(engine)
        return health is not None and health.ejected_until > self.clock()

    def exclude_ejected(self, engines: Iterable[str]) -> set[str]:
        """Return those of some engines that may get requests."""
        names = set(engines)
        report_counts = Counter(chain.from_iterable(self.reports.values()))
        # One router alone may have its own trouble on the way there.
        ejected = {name for name, count in report_counts.items() if count >= MIN_REPORTS} & names
        ejected |= {name for name in self.health if self.is_ejected(name)} & names
        if len(ejected) > MAX_EJECTED_FRACTION * len(names):
            return names
        return names - ejected
