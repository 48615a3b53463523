"""Outlier detection: engines are ejected for a limited time according to request outcomes."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["MAX_EJECTION_S", "OutlierDetector"]

FAILURE_WEIGHT = 0.25
EJECT_ABOVE_FAILURE_RATE = 0.45
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
MAX_DOUBLINGS = 8
FIRST_UNREACHABLE_EJECTION_S = 0.5
MAX_EJECTED_FRACTION = 0.5
MIN_REPORTS = 2
# An answer of this age or less counts more than what other routers report.
OWN_EVIDENCE_S = 1.0


@dataclass(slots=True)
class EngineHealth:
    """Recent failure rate of an engine and the state of its ejection."""

    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    is_unreachable: bool = False
    is_refusing_connections: bool = False


class OutlierDetector:
    """Ejection of engines by the outcome of their requests, not by the health that they report.

    If more than half of the engines of a service are ejected, the fault probably lies elsewhere
    and all of them are used.
    """

    __slots__ = ("clock", "health", "reports", "succeeded_at")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.health: dict[str, EngineHealth] = {}
        self.reports: dict[str, frozenset[str]] = {}
        # When each engine answered this router last.
        self.succeeded_at: dict[str, float] = {}

    def record_success(self, engine: str) -> None:
        """Record that an engine answered without an error."""
        self.succeeded_at[engine] = self.clock()
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
        health.is_refusing_connections = False
        health.failure_rate += FAILURE_WEIGHT * (1.0 - health.failure_rate)
        if health.failure_rate > EJECT_ABOVE_FAILURE_RATE:
            ejection_s = ejection_time_s(FIRST_EJECTION_S, health.ejections)
            health.ejections += 1
            # One more failure after the ejection exceeds the threshold again.
            health.failure_rate = EJECT_ABOVE_FAILURE_RATE - FAILURE_WEIGHT / 2
            self.eject(engine, health, ejection_s, is_unreachable=False)

    def record_unreachable(self, engine: str, is_refusing_connections: bool) -> None:
        """Record that an engine reset a connection or refuses connections, and eject it."""
        health = self.health.setdefault(engine, EngineHealth())
        health.is_refusing_connections = is_refusing_connections
        self.succeeded_at.pop(engine, None)
        ejection_s = ejection_time_s(FIRST_UNREACHABLE_EJECTION_S, health.ejections)
        health.ejections += 1
        self.eject(engine, health, ejection_s, is_unreachable=True)

    def record_report(self, router: str, unreachable: frozenset[str]) -> frozenset[str]:
        """Replace the set of engines that another router reports unreachable; return the new."""
        added = unreachable - self.reports.get(router, frozenset())
        if unreachable:
            self.reports[router] = unreachable
        else:
            self.reports.pop(router, None)
        return added

    def unreachable(self) -> frozenset[str]:
        """Return the engines that this router itself currently finds unreachable."""
        now_s = self.clock()
        return frozenset(
            name for name, r in self.health.items() if r.is_unreachable and r.ejected_until > now_s
        )

    def eject(
        self, engine: str, health: EngineHealth, ejection_s: float, is_unreachable: bool
    ) -> None:
        """Eject an engine for `ejection_s` seconds; never shorten or weaken a running ejection."""
        now_s = self.clock()
        is_running = health.ejected_until > now_s
        health.is_unreachable = is_unreachable or (is_running and health.is_unreachable)
        health.ejected_until = max(health.ejected_until, now_s + ejection_s)
        log(Event.ENGINE_SUSPECTED, engine=engine, failures=health.failure_rate, pause_s=ejection_s)

    def remove_engine(self, engine: str) -> None:
        """Remove the state of an engine that is gone."""
        self.health.pop(engine, None)
        self.succeeded_at.pop(engine, None)

    def is_refusing_connections(self, engine: str) -> bool:
        """Return whether an ejected engine refused connections and has not succeeded since."""
        health = self.health.get(engine)
        return (
            health is not None
            and health.is_refusing_connections
            and health.ejected_until > self.clock()
        )

    def is_ejected(self, engine: str) -> bool:
        """Return whether this router has ejected an engine by its own observations."""
        health = self.health.get(engine)
        return health is not None and health.ejected_until > self.clock()

    def exclude_ejected(self, engines: Iterable[str]) -> set[str]:
        """Return the engines that may get requests: those not ejected, or all if most are."""
        names = set(engines)
        report_counts = Counter(chain.from_iterable(self.reports.values()))
        # A report of one router alone may come from a fault on its own network path.
        ejected = {name for name, count in report_counts.items() if count >= MIN_REPORTS} & names
        # Nor does one of many that are cut off together say more than an answer here.
        latest_old = self.clock() - OWN_EVIDENCE_S
        ejected -= {name for name, at in self.succeeded_at.items() if at > latest_old}
        ejected |= {name for name in self.health if self.is_ejected(name)} & names
        if len(ejected) > MAX_EJECTED_FRACTION * len(names):
            return names
        return names - ejected


def ejection_time_s(first_s: float, earlier: int) -> float:
    """Return the length of an ejection in seconds, twice as long after each earlier one."""
    return min(MAX_EJECTION_S, first_s * 2 ** min(earlier, MAX_DOUBLINGS))
