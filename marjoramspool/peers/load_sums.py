"""Sums of loads, which a relay passes on in place of the reports of single routers.

Load pattern: hundreds of routers report several times a second. Passed on one by one, the reports
cost every router processor time, and every relay bytes, that grow with the number of routers; sums
grow only with the number of engines in use.
"""

from collections.abc import Callable, Iterable, Iterator

from marjoramspool.engine_loads import Load
from marjoramspool.peers.messages import DomainLoads, EngineLoadReport, IncludedReport, RouterReport

__all__ = ["LoadSums", "add_loads", "split_loads", "subtract_loads"]

# Loads of a router or domain that is not heard from for this long no longer count.
MEMBER_TIMEOUT_S = 1.6
DOMAIN_TIMEOUT_S = 2.0
MAX_LOADS_PER_MESSAGE = 1000

Loads = dict[int, Load]


def add_loads(total: Loads, reports: Iterable[EngineLoadReport]) -> None:
    """Add reported loads, by incarnation of the engine, to a total."""
    for report in reports:
        load = total.setdefault(report.incarnation_id, Load())
        load.requests += report.requests
        load.prefill_tokens += report.prefill_tokens


def subtract_loads(total: Loads, reports: Iterable[EngineLoadReport]) -> None:
    """Subtract reported loads from a total that includes them."""
    for report in reports:
        load = total.get(report.incarnation_id)
        if load:
            load.requests = max(0, load.requests - report.requests)
            load.prefill_tokens = max(0, load.prefill_tokens - report.prefill_tokens)


def split_loads(loads: Loads) -> Iterator[tuple[EngineLoadReport, ...]]:
    """Yield the loads in parts that fit a datagram, at least one; each engine keeps its part."""
    parts = 1 + len(loads) // MAX_LOADS_PER_MESSAGE
    for part in range(parts):
        yield tuple(
            EngineLoadReport(incarnation, load.requests, load.prefill_tokens)
            for incarnation, load in sorted(loads.items())
            if incarnation % parts == part and (load.requests or load.prefill_tokens)
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
            add_loads(total, report.loads)
        return total

    def other_domain_loads(self) -> Loads:
        """Return the sum over the other domains."""
        total: Loads = {}
        for parts in self.domains.values():
            for message, _ in parts.values():
                add_loads(total, message.loads)
        return total
