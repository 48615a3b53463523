"""State of each target: drain reports, incarnation, load and ejection after failures."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from reactivex import Subject

from marjoramspool.document import Document, Target
from marjoramspool.engine_state.request_limits import EngineKey, RequestLimits
from marjoramspool.events import Event, log

__all__ = ["Decision", "LoadReport", "TargetState", "Targets", "limit_key"]

DRAIN_REPORT_LIFETIME_S = 6.0
EJECTION_FAILURE_THRESHOLD = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 10.0
MAX_EJECTED_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load report of a target; `in_flight` and `queued` count requests."""

    incarnation: int
    in_flight: int
    queued: int
    is_draining: bool


@dataclass(slots=True)
class TargetState:
    """State of one target address; `drain_reported_at` maps a source to its newest report."""

    report: LoadReport | None = None
    drain_reported_at: dict[str, float] = field(default_factory=dict)
    failures: int = 0
    ejected_until: float = 0.0
    # Out of reach of this router only.
    unreachable_until: float = 0.0


@dataclass(slots=True, frozen=True)
class Decision:
    """Decision about a target, for the audit trail."""

    what: str
    details: dict[str, str | int | float]


def limit_key(address: str) -> EngineKey:
    """Return the key of a target's rate limit; a restarted one says that it has none."""
    return address, 0


class Targets:
    """Availability of targets for new requests.

    A drain report from any one source is enough to stop new requests to a target; each report
    expires unless it is renewed.
    """

    __slots__ = ("clock", "decisions", "limits", "states")

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.limits = RequestLimits()
        self.states: dict[str, TargetState] = {}
        self.decisions: Subject = Subject()

    def publish_decision(self, event: Event, what: str, **details: str | int | float) -> None:
        """Log a decision and publish it to the subscribers."""
        log(event, **details)
        self.decisions.on_next(Decision(what, details))

    def is_accepting(self, target: Target) -> bool:
        """Return whether a target is drained neither by its document nor by a report."""
        return not target.drain and not self.is_draining(target.address)

    def state(self, address: str) -> TargetState:
        """Return the state of an address, created at first use."""
        return self.states.setdefault(address, TargetState())

    def record_drain_report(self, address: str, source: str, age_s: float = 0.0) -> None:
        """Record a report of some age that a target drains."""
        state = self.state(address)
        if not self.is_draining(address):
            self.publish_decision(
                Event.TARGET_LEAVING, "target leaves", target=address, source=source
            )
        reported_at = self.clock() - age_s
        state.drain_reported_at[source] = max(state.drain_reported_at.get(source, 0.0), reported_at)

    def remove_drain_report(self, address: str, source: str) -> None:
        """Remove the drain report of one source."""
        state = self.states.get(address)
        if state is None or state.drain_reported_at.pop(source, None) is None:
            return
        if not self.is_draining(address):
            self.publish_decision(
                Event.TARGET_RETURNED, "target returned", target=address, source=source
            )

    def is_draining(self, address: str) -> bool:
        """Return whether an unexpired report says that a target drains."""
        state = self.states.get(address)
        if state is None:
            return False
        oldest_valid = self.clock() - DRAIN_REPORT_LIFETIME_S
        return any(reported_at >= oldest_valid for reported_at in state.drain_reported_at.values())

    def drain_report_ages(self, lifetime_s: float = DRAIN_REPORT_LIFETIME_S) -> dict[str, float]:
        """Return the age in seconds of the newest drain report of each address."""
        now = self.clock()
        ages = {}
        for address, state in self.states.items():
            if state.drain_reported_at:
                newest_age_s = now - max(state.drain_reported_at.values())
                if newest_age_s < lifetime_s:
                    ages[address] = newest_age_s
        return ages

    def record_report(self, address: str, report: LoadReport) -> None:
        """Record the load report of a target."""
        state = self.state(address)
        if state.report and state.report.incarnation != report.incarnation:
            log(Event.TARGET_RESTARTED, target=address, incarnation=report.incarnation)
        state.report = report
        self.record_success(address)
        if report.is_draining:
            self.record_drain_report(address, "report")
        else:
            self.remove_drain_report(address, "report")

    def record_success(self, address: str) -> None:
        """Record that a target answered, which ends its ejection."""
        state = self.state(address)
        state.failures = 0
        state.ejected_until = 0.0
        state.unreachable_until = 0.0

    def is_last_failure(self, address: str) -> bool:
        """Return whether one more failed connection ejects a target."""
        return self.state(address).failures + 1 >= EJECTION_FAILURE_THRESHOLD

    def record_failure(self, address: str, is_reached_by_others: bool = False) -> None:
        """Record a failed connection; consecutive failures eject the target for doubling times.

        A target that other routers reach is passed over by this router's own requests only.
        """
        state = self.state(address)
        state.failures += 1
        if state.failures < EJECTION_FAILURE_THRESHOLD:
            return
        doublings = min(state.failures - EJECTION_FAILURE_THRESHOLD, 8)
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**doublings)
        details = {"target": address, "failures": state.failures, "pause_s": ejection_s}
        if is_reached_by_others:
            state.unreachable_until = self.clock() + ejection_s
            log(Event.TARGET_OUT_OF_REACH, **details)
            return
        state.ejected_until = self.clock() + ejection_s
        self.publish_decision(Event.TARGET_EJECTED, "target ejected", **details)

    def incarnation(self, address: str) -> int:
        """Return the last reported incarnation of a target, 0 if none is known."""
        state = self.states.get(address)
        return state.report.incarnation if state and state.report else 0

    def out_of_reach(self, document: Document) -> set[str]:
        """Return the targets of a service that only this router cannot connect to, unless all."""
        now = self.clock()
        names = {
            name
            for name, target in document.targets.items()
            if target.address in self.states and self.states[target.address].unreachable_until > now
        }
        return names if len(names) < len(document.targets) else set()

    def usable(self, document: Document, names: Iterable[str]) -> set[str]:
        """Return the subset of a service's targets `names` that may get new requests."""
        accepting = {name for name in names if self.is_accepting(document.targets[name])}
        now = self.clock()
        ejected = {
            name
            for name in accepting
            if self.state(document.targets[name].address).ejected_until > now
        }
        # If most targets are ejected, the fault is more likely at this router or its network.
        if len(ejected) > MAX_EJECTED_FRACTION * len(accepting):
            return accepting
        return accepting - ejected
