"""What is known of each target: leaving, incarnation, load and failures."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from reactivex import Subject

from marjoramspool.document import Document, Target
from marjoramspool.events import Event, log

__all__ = ["Decision", "LoadReport", "TargetState", "Targets"]

EVIDENCE_LIFE_S = 6.0
EJECT_AFTER_FAILURES = 3
EJECT_FIRST_S = 1.0
EJECT_LONGEST_S = 10.0
EJECT_LARGEST_SHARE = 0.5


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Hold what a target says of itself; counts are requests."""

    incarnation: int
    in_flight: int
    queued: int
    leaving: bool


@dataclass(slots=True)
class TargetState:
    """Hold the evidence about one target address."""

    report: LoadReport | None = None
    leaving_seen: dict[str, float] = field(default_factory=dict)
    failures: int = 0
    ejected_until: float = 0.0


@dataclass(slots=True, frozen=True)
class Decision:
    """Record what was decided about a target, for the audit trail."""

    what: str
    details: dict[str, str | int | float]


class Targets:
    """Judge which targets may get new work.

    Any one piece of evidence that a target leaves is enough; each piece expires unless renewed.
    """

    __slots__ = ("clock", "decisions", "states")

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.states: dict[str, TargetState] = {}
        self.decisions: Subject = Subject()

    def decide(self, event: Event, what: str, **details: str | int | float) -> None:
        """Log a decision and hand it to the audit trail."""
        log(event, **details)
        self.decisions.on_next(Decision(what, details))

    def stays(self, target: Target) -> bool:
        """Tell whether a target does not leave."""
        return not target.drain and not self.is_leaving(target.address)

    def state(self, address: str) -> TargetState:
        """Return the state of an address."""
        return self.states.setdefault(address, TargetState())

    def note_leaving(self, address: str, source: str, age_s: float = 0.0) -> None:
        """Record evidence that a target leaves."""
        state = self.state(address)
        if not self.is_leaving(address):
            self.decide(Event.TARGET_LEAVING, "target leaves", target=address, source=source)
        seen = self.clock() - age_s
        state.leaving_seen[source] = max(state.leaving_seen.get(source, 0.0), seen)

    def clear_leaving(self, address: str, source: str) -> None:
        """Withdraw the evidence of one source."""
        state = self.states.get(address)
        if state is None or state.leaving_seen.pop(source, None) is None:
            return
        if not self.is_leaving(address):
            self.decide(Event.TARGET_RETURNED, "target returned", target=address, source=source)

    def is_leaving(self, address: str) -> bool:
        """Tell whether fresh evidence says that a target leaves."""
        state = self.states.get(address)
        if state is None:
            return False
        oldest = self.clock() - EVIDENCE_LIFE_S
        return any(seen >= oldest for seen in state.leaving_seen.values())

    def fresh_evidence(self, life_s: float = EVIDENCE_LIFE_S) -> dict[str, float]:
        """Return the age in seconds of the newest leaving evidence of each address."""
        now = self.clock()
        ages = {}
        for address, state in self.states.items():
            if state.leaving_seen:
                age = now - max(state.leaving_seen.values())
                if age < life_s:
                    ages[address] = age
        return ages

    def note_report(self, address: str, report: LoadReport) -> None:
        """Record a target's own report."""
        state = self.state(address)
        if state.report and state.report.incarnation != report.incarnation:
            log(Event.TARGET_RESTARTED, target=address, incarnation=report.incarnation)
        state.report = report
        self.note_answer(address)
        if report.leaving:
            self.note_leaving(address, "report")
        else:
            self.clear_leaving(address, "report")

    def note_answer(self, address: str) -> None:
        """Record that a new connection to a target was answered."""
        state = self.state(address)
        state.failures = 0
        state.ejected_until = 0.0

    def note_failure(self, address: str) -> None:
        """Record that a new connection to a target failed."""
        state = self.state(address)
        state.failures += 1
        if state.failures < EJECT_AFTER_FAILURES:
            return
        doublings = min(state.failures - EJECT_AFTER_FAILURES, 8)
        pause_s = min(EJECT_LONGEST_S, EJECT_FIRST_S * 2**doublings)
        state.ejected_until = self.clock() + pause_s
        details = {"target": address, "failures": state.failures, "pause_s": pause_s}
        self.decide(Event.TARGET_EJECTED, "target ejected", **details)

    def incarnation(self, address: str) -> int:
        """Return the last reported incarnation of a target, 0 if none is known."""
        state = self.states.get(address)
        return state.report.incarnation if state and state.report else 0

    def usable(self, document: Document, names: Iterable[str]) -> set[str]:
        """Return those of some targets of a service that may get new work."""
        staying = {name for name in names if self.stays(document.targets[name])}
        now = self.clock()
        ejected = {
            name
            for name in staying
            if self.state(document.targets[name].address).ejected_until > now
        }
        # When most targets look dead, the fault is more likely on this side.
        if len(ejected) > EJECT_LARGEST_SHARE * len(staying):
            return staying
        return staying - ejected
