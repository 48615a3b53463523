"""Which engines to pass over for a while, judged by what became of requests there."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import chain

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["EngineTrust"]

FAILURE_WEIGHT = 0.25
SUSPECT_ABOVE = 0.45
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
UNREACHABLE_PAUSE_S = 0.5
LARGEST_SHARE_PASSED_OVER = 0.5
WITNESSES = 2


@dataclass(slots=True)
class Record:
    """Hold the share of recent failures of an engine and until when it is passed over."""

    failures: float = 0.0
    pauses: int = 0
    until: float = 0.0
    is_unreachable: bool = False
    is_closed: bool = False


class EngineTrust:
    """Judge engines by the requests they failed, not by what they say of their health.

    When more than half of a service looks bad, the fault is likelier elsewhere and all are used.
    """

    __slots__ = ("clock", "records", "told")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.records: dict[str, Record] = {}
        self.told: dict[str, frozenset[str]] = {}

    def note_success(self, engine: str) -> None:
        """Record that an engine answered well."""
        record = self.records.get(engine)
        if record is None:
            return
        record.is_closed = False
        record.failures *= 1.0 - FAILURE_WEIGHT
        if record.until > self.clock():
            return
        record.pauses = 0

    def note_failure(self, engine: str) -> None:
        """Record that an engine failed a request."""
        record = self.records.setdefault(engine, Record())
        record.failures += FAILURE_WEIGHT * (1.0 - record.failures)
        if record.failures > SUSPECT_ABOVE:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**record.pauses)
            record.pauses += 1
            # The next failure after the pause starts a new one.
            record.failures = SUSPECT_ABOVE - FAILURE_WEIGHT / 2
            self.suspect(engine, record, pause_s, is_unreachable=False)

    def note_unreachable(self, engine: str, is_closed: bool) -> None:
        """Record that an engine broke a connection, or takes none if it is closed."""
        record = self.records.setdefault(engine, Record())
        record.is_closed = is_closed
        pause_s = min(LONGEST_PAUSE_S, UNREACHABLE_PAUSE_S * 2**record.pauses)
        record.pauses += 1
        self.suspect(engine, record, pause_s, is_unreachable=True)

    def tell(self, router: str, unreachable: frozenset[str]) -> None:
        """Take in which engines another router finds unreachable now."""
        if unreachable:
            self.told[router] = unreachable
        else:
            self.told.pop(router, None)

    def unreachable(self) -> frozenset[str]:
        """Return the engines that this router finds unreachable now."""
        moment = self.clock()
        return frozenset(
            name for name, r in self.records.items() if r.is_unreachable and r.until > moment
        )

    def suspect(self, engine: str, record: Record, pause_s: float, is_unreachable: bool) -> None:
        """Pass an engine over for a while."""
        record.until = self.clock() + pause_s
        record.is_unreachable = is_unreachable
        log(Event.ENGINE_SUSPECTED, engine=engine, failures=record.failures, pause_s=pause_s)

    def forget(self, engine: str) -> None:
        """Forget an engine that is gone."""
        self.records.pop(engine, None)

    def is_closed(self, engine: str) -> bool:
        """Tell whether an engine took no connection of late."""
        record = self.records.get(engine)
        return record is not None and record.is_closed and record.until > self.clock()

    def is_passed_over(self, engine: str) -> bool:
        """Tell whether this router itself passes an engine over now."""
        record = self.records.get(engine)
        return record is not None and record.until > self.clock()

    def trusted(self, engines: Iterable[str]) -> set[str]:
        """Return those of some engines that may get requests."""
        names = set(engines)
        witnesses = Counter(chain.from_iterable(self.told.values()))
        # One router alone may have its own trouble on the way there.
        suspects = {name for name, count in witnesses.items() if count >= WITNESSES} & names
        suspects |= {name for name in self.records if self.is_passed_over(name)} & names
        if len(suspects) > LARGEST_SHARE_PASSED_OVER * len(names):
            return names
        return names - suspects
