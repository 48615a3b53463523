"""Reports of this router: its loads, cache updates and versions, and what it sent of them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.peers.cold_reports import report_cold
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.limit_reports import report_limits
from marjoramspool.peers.load_sums import Loads, encode_loads
from marjoramspool.peers.messages import (
    MESSAGE_REVISION,
    CacheUpdate,
    CacheUpdateKind,
    EvacuationReport,
    IncludedReport,
    RouterReport,
    incarnation_id,
    service_id,
)
from marjoramspool.peers.poison_reports import report_ends, report_quarantines
from marjoramspool.peers.room_reports import report_rooms
from marjoramspool.peers.speed_reports import report_speeds
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.prompts import Part

__all__ = ["OwnReports", "PathState", "StateVersions", "incarnation_id_of"]

# An unchanged report is resent this often as a heartbeat.
HEARTBEAT_PERIOD_S = 0.4
MAX_UPDATES_PER_REPORT = 10
MAX_PARTS_PER_UPDATE = 100
# Own loads are kept for this many reports, to subtract them from sums that include them.
MAX_SENT_LOADS = 40


@dataclass(slots=True, frozen=True)
class StateVersions:
    """Versions of a router's route table and engine list, and whether it reaches the store.

    The few evacuations are told whole.
    """

    table_revision: int
    engines_revision: int
    engines_digest: int
    has_store: bool
    table_version: int = 0
    evacuations: EvacuationReport | None = None


@dataclass(slots=True, frozen=True)
class PathState:
    """Whether a router serves requests of others, the services it cannot reach, and its load."""

    takes_forwarded: bool = False
    cut_off: tuple[str, ...] = ()
    in_flight: int = 0


class OwnReports:
    """Reports of this router, numbered within one process.

    Its loads are kept for some reports, so that it can take them out of sums that include them.
    """

    __slots__ = (
        "boot_id",
        "directory",
        "last_content",
        "path_state",
        "queued_updates",
        "selector",
        "sent_at",
        "sent_loads",
        "sequence_number",
        "state_versions",
    )

    def __init__(
        self,
        directory: Directory,
        selector: EngineSelector,
        state_versions: Callable[[], StateVersions],
        path_state: Callable[[], PathState] = PathState,
    ):
        self.path_state = path_state
        self.directory = directory
        self.selector = selector
        self.state_versions = state_versions
        self.boot_id = random.getrandbits(32)
        self.sequence_number = 0
        self.queued_updates: list[CacheUpdate] = []
        self.sent_loads: dict[int, Loads] = {}
        self.last_content: tuple = ()
        self.sent_at = 0.0

    def queue_prefill(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Queue the parts that an engine was sent to prefill."""
        self.queued_updates.append(CacheUpdate(incarnation_id_of(engine), encode_parts(parts)))

    def queue_retraction(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Queue the retraction of an earlier prefill update."""
        self.queued_updates.append(
            CacheUpdate(incarnation_id_of(engine), encode_parts(parts), CacheUpdateKind.RETRACTED)
        )

    def queue_listing(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Queue the cached parts of an engine, split so that reports fit a datagram."""
        for start in range(0, len(parts), MAX_PARTS_PER_UPDATE):
            encoded = encode_parts(parts[start : start + MAX_PARTS_PER_UPDATE])
            self.queued_updates.append(
                CacheUpdate(incarnation_id_of(engine), encoded, CacheUpdateKind.LISTED)
            )

    def next_report(self) -> RouterReport | None:
        """Return the report to send now, None if nothing has changed and no heartbeat is due."""
        now_s = self.directory.clock()
        state_versions = self.state_versions()
        own_loads = self.own_loads()
        loads, rates = encode_loads(sorted(own_loads.items()))
        limits = tuple(report_limits(self.selector.limits))
        path_state = self.path_state()
        cut_off = tuple(map(service_id, path_state.cut_off))
        # What is out of reach behind a cut says nothing of the engines.
        unreachable = tuple(
            incarnation_id_of(engine)
            for name in sorted(self.selector.outliers.unreachable())
            if (engine := self.selector.engines.engines.get(name))
            and engine.service not in path_state.cut_off
        )
        leaving = tuple(map(incarnation_id_of, self.selector.engines.locally_announced()))
        poison = self.selector.poison
        poison.check()
        ended = report_ends(poison)
        answered = tuple(poison.reported_answers())
        quarantined = report_quarantines(poison)
        rooms = tuple(report_rooms(self.selector.room))
        bounds = tuple((room.incarnation_id, room.milli) for room in rooms)
        speeds = tuple(report_speeds(self.selector.speeds, self.directory))
        told_speeds = tuple((speed.incarnation_id, speed.percent) for speed in speeds)
        limited = tuple((limit.incarnation_id, limit.milli_per_s) for limit in limits)
        content = (
            loads,
            rates,
            limited,
            bounds,
            told_speeds,
            state_versions,
            unreachable,
            path_state.takes_forwarded,
            cut_off,
            leaving,
            ended,
            answered,
            quarantined,
        )
        has_news = bool(self.queued_updates) or self.selector.cold.has_unreported_change()
        is_unchanged = content == self.last_content and not has_news
        if is_unchanged and now_s - self.sent_at < HEARTBEAT_PERIOD_S:
            return None
        self.sent_at = now_s
        self.last_content = content
        self.sequence_number += 1
        self.sent_loads[self.sequence_number] = own_loads
        self.sent_loads.pop(self.sequence_number - MAX_SENT_LOADS, None)
        cache_updates = tuple(self.queued_updates[:MAX_UPDATES_PER_REPORT])
        del self.queued_updates[:MAX_UPDATES_PER_REPORT]
        return RouterReport(
            self.directory.local_address,
            self.directory.domain,
            self.boot_id,
            self.sequence_number,
            self.directory.link_mbps,
            state_versions.table_revision,
            state_versions.engines_revision,
            state_versions.engines_digest,
            state_versions.has_store,
            loads,
            cache_updates,
            unreachable,
            leaving,
            state_versions.table_version,
            ended,
            answered,
            quarantined,
            rates,
            limits,
            MESSAGE_REVISION,
            path_state.takes_forwarded,
            cut_off,
            path_state.in_flight,
            rooms,
            state_versions.evacuations,
            tuple(report_cold(self.selector.cold)),
            speeds,
        )

    def own_loads(self) -> Loads:
        """Return the loads of this router, and its requests where they are bounded.

        That is at engines with a rate limit, and of the accounts at contended services.
        """
        listed = self.selector.engines.engines
        loads = {
            incarnation_id_of(engine): Load(load.requests, load.prefill_tokens)
            for name, load in self.selector.loads.local.items()
            if (engine := listed.get(name))
        }
        for key, rates in self.selector.limits.own_loads():
            loads.setdefault(incarnation_id(*key), Load()).add(rates)
        for account, rates in self.selector.accounts.own_loads():
            loads.setdefault(account, Load()).add(rates)
        return loads

    def included_loads(self, included: tuple[IncludedReport, ...]) -> Loads:
        """Return the loads of this router's own report that a sum includes."""
        for report in included:
            if report.boot_id == self.boot_id:
                return self.sent_loads.get(report.sequence_number, {})
        return {}

    def last_loads(self) -> Loads:
        """Return the loads of the last report."""
        return self.sent_loads.get(self.sequence_number, {})


def incarnation_id_of(engine: Engine) -> int:
    """Return the incarnation id of an engine."""
    return incarnation_id(engine.id, engine.started_ms)


def encode_parts(parts: tuple[Part, ...]) -> tuple[tuple[int, int], ...]:
    """Return parts as pairs of id and tokens."""
    return tuple((part.id, part.tokens) for part in parts)
