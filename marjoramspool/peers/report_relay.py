"""What a relay keeps of the reports it receives, and what it passes on."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from marjoramspool.peers.load_sums import Loads, LoadSums, add_loads, split_loads
from marjoramspool.peers.messages import (
    CacheUpdate,
    DomainLoads,
    FleetLoads,
    RouterReport,
    SpeedReport,
)
from marjoramspool.peers.speed_reports import SpeedQueue

__all__ = ["ReportRelay", "take_updates"]

# Heartbeats of one router pass a relay this often, unless they tell something new.
HEARTBEAT_PERIOD_S = 1.5
# Those of the store watchers pass it as often as they come: their silence must show soon.
WATCHER_HEARTBEAT_PERIOD_S = 0.3
MAX_PARTS_PER_MESSAGE = 1500


@dataclass(slots=True, frozen=True)
class Forwarded:
    """The last heartbeat of a router that was passed on: when, and what others act on."""

    at: float
    facts: tuple


@dataclass(slots=True, frozen=True)
class OwnReport:
    """Identity and loads of the relay itself at the time of a message."""

    address: str
    domain: str
    boot_id: int
    sequence_number: int
    loads: Loads


class ReportRelay:
    """Sums, heartbeats and cache updates that a relay passes on.

    Every router keeps one, so that it can take over; a router that is no relay clears it.
    """

    __slots__ = (
        "clock",
        "domain",
        "fleet_speeds",
        "fleet_updates",
        "forwarded",
        "heartbeats",
        "member_speeds",
        "member_updates",
        "newest_engines",
        "newest_table",
        "store_watchers",
        "sums",
    )

    def __init__(self, domain: str, clock: Callable[[], float]):
        self.domain = domain
        self.clock = clock
        self.sums = LoadSums(clock)
        self.heartbeats: dict[str, RouterReport] = {}
        self.forwarded: dict[str, Forwarded] = {}
        self.member_updates: list[CacheUpdate] = []
        self.fleet_updates: list[CacheUpdate] = []
        self.member_speeds = SpeedQueue(clock)
        self.fleet_speeds = SpeedQueue(clock)
        self.newest_table = 0
        self.newest_engines = 0
        # Addresses of the routers that watch the store for the fleet.
        self.store_watchers: set[str] = set()

    def clear(self) -> None:
        """Drop what is queued, since another router is the relay."""
        self.heartbeats.clear()
        self.member_updates.clear()
        self.fleet_updates.clear()
        self.member_speeds.entries.clear()
        self.fleet_speeds.entries.clear()

    def record_report(self, report: RouterReport, is_relayed: bool) -> None:
        """Keep the report of a router; a relay receives those of its domain directly."""
        if report.domain == self.domain and not is_relayed:
            self.sums.record_member(report)
            self.member_updates += report.cache_updates
            self.member_speeds.add(report.speeds)
        if is_relayed or self.is_due(report):
            self.heartbeats[report.address] = msgspec.structs.replace(
                report, loads=(), cache_updates=(), rates=(), speeds=()
            )

    def record_domain(self, message: DomainLoads) -> bool:
        """Keep the loads of another domain; return whether they were news."""
        if not self.sums.record_domain(message):
            return False
        self.fleet_updates += message.cache_updates
        self.fleet_speeds.add(message.speeds)
        return True

    def is_due(self, report: RouterReport) -> bool:
        """Return whether a heartbeat is passed on: in time, or because it tells something new.

        Of a new version of the state it is enough to pass on the first router that has it.
        """
        facts = (
            report.boot_id,
            report.has_store,
            report.unreachable,
            report.takes_forwarded,
            report.cut_off,
            report.leaving,
            report.ended,
            report.answered,
            report.quarantined,
            tuple((limit.incarnation_id, limit.milli_per_s) for limit in report.limits),
            tuple((room.incarnation_id, room.milli) for room in report.rooms),
            report.evacuations,
        )
        last = self.forwarded.get(report.address)
        has_news = (
            report.table_version > self.newest_table
            or report.engines_revision > self.newest_engines
            # It is told when an engine becomes cold or warm, and seldom again.
            or bool(report.cold)
        )
        now_s = self.clock()
        is_watcher = report.address in self.store_watchers
        period_s = WATCHER_HEARTBEAT_PERIOD_S if is_watcher else HEARTBEAT_PERIOD_S
        if last and last.facts == facts and not has_news and now_s - last.at < period_s:
            return False
        self.newest_table = max(self.newest_table, report.table_version)
        self.newest_engines = max(self.newest_engines, report.engines_revision)
        self.forwarded[report.address] = Forwarded(now_s, facts)
        return True

    def take_heartbeats(self) -> list[RouterReport]:
        """Return the queued heartbeats, the latest of each router, and clear the queue."""
        heartbeats = list(self.heartbeats.values())
        self.heartbeats.clear()
        return heartbeats

    def domain_messages(
        self,
        own: OwnReport,
        updates: tuple[CacheUpdate, ...],
        speeds: tuple[SpeedReport, ...] = (),
    ):
        """Yield the messages for the other relays: the sum over this domain, and its updates."""
        loads = self.sums.member_loads()
        add_loads(loads, own.loads)
        parts = list(split_loads(loads))
        for part, (part_loads, rates) in enumerate(parts):
            yield DomainLoads(
                own.address,
                own.domain,
                own.boot_id,
                own.sequence_number,
                part,
                len(parts),
                part_loads,
                () if part else updates,
                rates,
                () if part else speeds,
            )

    def fleet_messages(
        self,
        own: OwnReport,
        updates: tuple[CacheUpdate, ...],
        speeds: tuple[SpeedReport, ...] = (),
    ):
        """Yield the messages for this domain: the sum over the fleet, and all updates."""
        loads = self.other_loads()
        add_loads(loads, own.loads)
        parts = list(split_loads(loads))
        for part, (part_loads, rates) in enumerate(parts):
            yield FleetLoads(
                own.address,
                own.boot_id,
                own.sequence_number,
                part,
                len(parts),
                part_loads,
                self.sums.included(),
                () if part else updates,
                rates,
                () if part else speeds,
            )

    def other_loads(self) -> Loads:
        """Return the sum over all routers but the relay itself."""
        loads = self.sums.member_loads()
        add_loads(loads, self.sums.other_domain_loads())
        return loads


def take_updates(queue: list[CacheUpdate]) -> tuple[CacheUpdate, ...]:
    """Return and remove the first updates of a queue that fit a datagram."""
    parts = 0
    count = 0
    for update in queue:
        parts += len(update.parts)
        if count and parts > MAX_PARTS_PER_MESSAGE:
            break
        count += 1
    taken = tuple(queue[:count])
    del queue[:count]
    return taken
