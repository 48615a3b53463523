"""Sums of loads, which a relay passes on in place of the reports of single routers.

Load pattern: hundreds of routers report several times a second. Passed on one by one, the reports
cost every router processor time, and every relay bytes, that grow with the number of routers; sums
grow only with the number of engines in use.
"""

from collections.abc import Callable, Iterable, Iterator

from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.peers.messages import (
    DomainLoads,
    EngineLoadReport,
    EngineRateReport,
    FleetLoads,
    IncludedReport,
    RouterReport,
)

__all__ = [
    "LoadSums",
    "Loads",
    "add_loads",
    "encode_loads",
    "read_loads",
    "split_loads",
    "subtract_loads",
]

# Loads of a router or domain that is not heard from for this long no longer count.
MEMBER_TIMEOUT_S = 1.6
DOMAIN_TIMEOUT_S = 2.0
MAX_LOADS_PER_MESSAGE = 1000

# Loads by incarnation of the engine.
Loads = dict[int, Load]
LoadReports = tuple[tuple[EngineLoadReport, ...], tuple[EngineRateReport, ...]]


def read_loads(message: RouterReport | DomainLoads | FleetLoads) -> Loads:
    """Return the loads in a message."""
    loads = {
        report.incarnation_id: Load(report.requests, report.prefill_tokens)
        for report in message.loads
    }
    for report in message.rates:
        load = loads.setdefault(report.incarnation_id, Load())
        load.sent_milli = report.sent_milli
        load.wanted_milli = report.wanted_milli
    return loads


def add_loads(total: Loads, loads: Loads) -> None:
    """Add loads to a total."""
    for incarnation, load in loads.items():
        total.setdefault(incarnation, Load()).add(load)


def subtract_loads(total: Loads, loads: Loads) -> None:
    """Subtract loads from a total that includes them, or did so a moment ago."""
    for incarnation, load in loads.items():
        if incarnation in total:
            total[incarnation] = total[incarnation].remaining(load)


def encode_loads(loads: Iterable[tuple[int, Load]]) -> LoadReports:
    """Return the reports of some loads; what is zero is left out."""
    loads = list(loads)
    return (
        tuple(
            EngineLoadReport(incarnation, load.requests, load.prefill_tokens)
            for incarnation, load in loads
            if load.requests or load.prefill_tokens
        ),
        tuple(
            EngineRateReport(incarnation, load.sent_milli, load.wanted_milli)
            for incarnation, load in loads
            if load.sent_milli or load.wanted_milli
        ),
    )


def split_loads(loads: Loads) -> Iterator[LoadReports]:
    """Yield the loads in parts that fit a datagram, at least one; each engine keeps its part."""
    parts = 1 + len(loads) // MAX_LOADS_PER_MESSAGE
    for part in range(parts):
        yield encode_loads(
            (incarnation, load)
            for incarnation, load in sorted(loads.items())
            if incarnation % parts == part
        )


class LoadSums:
    """Loads known to a relay: of each router of its failure domain, and of each other domain."""

    __slots__ = ("clock", "domains", "members")

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.members: dict[str, tuple[RouterReport, float]] = {}
        self.domains: dict[str, dict[int, tuple[DomainLoads, float]]] = {}

    def record_member(self, report: RouterReport) -> None:
        """Replace the loads of a router of this relay's domain."""
        self.members[report.address] = (report, self.clock())

    def record_domain(self, message: DomainLoads) -> bool:
        """Replace one part of the loads of another domain; return whether it was news.

        Of two routers that take themselves for a domain's relay, the one that is heard goes on.
        """
        now_s = self.clock()
        parts = self.domains.setdefault(message.domain, {})
        known = parts.get(message.part)
        if known:
            previous, received_at = known
            is_same = (message.address, message.boot_id) == (previous.address, previous.boot_id)
            if is_same and message.sequence_number <= previous.sequence_number:
                return False
            if previous.parts != message.parts:
                parts.clear()
        parts[message.part] = (message, now_s)
        return True

    def remove_member(self, address: str) -> None:
        """Remove the loads of a router that is gone."""
        self.members.pop(address, None)

    def expire(self) -> None:
        """Remove the loads that are too old."""
        now_s = self.clock()
        self.members = {
            address: (report, at)
            for address, (report, at) in self.members.items()
            if now_s - at <= MEMBER_TIMEOUT_S
        }
        for parts in self.domains.values():
            for part in [p for p, (_, at) in parts.items() if now_s - at > DOMAIN_TIMEOUT_S]:
                del parts[part]

    def included(self) -> tuple[IncludedReport, ...]:
        """Return which reports of this relay's domain the sums include."""
        reports = (report for report, _ in self.members.values())
        return tuple(IncludedReport(r.boot_id, r.sequence_number) for r in reports)

    def member_loads(self) -> Loads:
        """Return the sum over the other routers of this relay's domain."""
        total: Loads = {}
        for report, _ in self.members.values():
            add_loads(total, read_loads(report))
        return total

    def other_domain_loads(self) -> Loads:
        """Return the sum over the other domains."""
        total: Loads = {}
        for parts in self.domains.values():
            for message, _ in parts.values():
                add_loads(total, read_loads(message))
        return total
