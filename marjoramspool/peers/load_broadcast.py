"""Broadcast of loads and cache updates to the other routers by UDP datagrams."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from marjoramspool.engine_list import Engine
from marjoramspool.engine_loads import Load
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.events import Event, log
from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.messages import (
    CacheUpdate,
    CacheUpdateKind,
    EngineLoadReport,
    ReportBatch,
    RouterReport,
    decode_datagram,
    encode,
    incarnation_id,
)
from marjoramspool.peers.state_transfer import apply_cache_update
from marjoramspool.prompts import Part

__all__ = ["LoadBroadcast", "StateVersions"]

FULL_MESH_PERIOD_S = 0.03
# Reports through relays are sent less often, so that relays can batch them.
RELAYED_PERIOD_S = 0.12
# Larger fleets report less often, so that the links of their relays can bear the load.
MAX_ROUTERS_AT_RELAYED_PERIOD = 100
# Reports stay more frequent than `RELAY_TIMEOUT_S`, after which a relay is excluded.
MAX_PERIOD_S = 0.36
# Mean age of a load report on arrival: a number of periods plus the network delay.
FULL_MESH_AGE_PERIODS = 0.5
RELAYED_AGE_PERIODS = 2
NETWORK_DELAY_S = 0.01
# An unchanged report is resent this often as a heartbeat.
HEARTBEAT_PERIOD_S = 0.4
# Reports go this often to routers from which no heartbeats arrive.
REDISCOVERY_PERIOD_S = 1.0
MAX_UPDATES_PER_REPORT = 10
MAX_PARTS_PER_UPDATE = 100
MAX_REPORTS_PER_BATCH = 12


@dataclass(slots=True, frozen=True)
class StateVersions:
    """Versions of a router's route table and engine list, and whether it reaches the store."""

    table_revision: int
    engines_revision: int
    engines_digest: int
    has_store: bool
    table_version: int = 0


class LoadBroadcast(asyncio.DatagramProtocol):
    """Sends the reports of this router, applies those of its peers and relays reports."""

    __slots__ = (
        "boot_id",
        "directory",
        "engines_by_incarnation",
        "last_content",
        "port",
        "queued_updates",
        "rediscovery_sent_at",
        "rejoin_sent_at",
        "relay_monitor",
        "relay_queue",
        "selector",
        "sent_at",
        "sequence_number",
        "state_versions",
        "transport",
    )

    def __init__(
        self,
        port: int,
        directory: Directory,
        selector: EngineSelector,
        state_versions: Callable[[], StateVersions],
    ):
        self.port = port
        self.directory = directory
        self.relay_monitor = relays.RelayMonitor(directory)
        self.selector = selector
        self.state_versions = state_versions
        self.boot_id = random.getrandbits(32)
        self.sequence_number = 0
        self.queued_updates: list[CacheUpdate] = []
        self.relay_queue: list[RouterReport] = []
        self.last_content: tuple = ()
        self.engines_by_incarnation: dict[int, Engine] = {}
        self.sent_at = 0.0
        self.rediscovery_sent_at = 0.0
        self.rejoin_sent_at = 0.0
        self.transport: asyncio.DatagramTransport | None = None
        selector.report_age_s = self.report_age_s
        selector.on_placed.append(self.queue_prefill)
        selector.on_reverted.append(self.queue_retraction)
        directory.on_dead.append(self.discard_reports)

    def report_age_s(self) -> float:
        """Return the mean age of the loads reported by peers, in seconds."""
        periods = (
            FULL_MESH_AGE_PERIODS if relays.is_full_mesh(self.directory) else RELAYED_AGE_PERIODS
        )
        return periods * self.period_s() + NETWORK_DELAY_S

    def period_s(self) -> float:
        """Return the period of the reports, in seconds."""
        if relays.is_full_mesh(self.directory):
            return FULL_MESH_PERIOD_S
        routers = len(self.directory.peers) + 1
        factor = max(1.0, routers / MAX_ROUTERS_AT_RELAYED_PERIOD)
        return min(MAX_PERIOD_S, RELAYED_PERIOD_S * factor)

    def discard_reports(self, peer: Peer) -> None:
        """Discard the reports of a dead router."""
        self.selector.loads.remove_router(peer.address)
        self.selector.outliers.record_report(peer.address, frozenset())

    async def start(self) -> None:
        """Open the datagram socket."""
        loop = asyncio.get_running_loop()
        address = (self.directory.local_address, self.port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the socket."""
        self.transport = transport

    def error_received(self, exc: OSError) -> None:
        """Ignore an unreachable router; its missing heartbeats are detected."""

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

    async def run(self) -> None:
        """Report periodically to the other routers, and expire dead ones."""
        while True:
            await asyncio.sleep(self.period_s())
            self.directory.expire()
            self.send_report()

    def send_report(self) -> None:
        """Send changes, or a heartbeat when it is due; as a relay, forward queued reports."""
        report = self.next_report()
        if relays.is_full_mesh(self.directory):
            if report:
                self.send(encode(report), self.recipients())
            return
        relay = relays.select_relay(self.directory, self.directory.domain)
        is_relay = relay == self.directory.local_address
        self.relay_monitor.check(
            relays.other_domain_relays(self.directory) if is_relay else [relay]
        )
        if report and (addresses := self.rejoin_addresses()):
            self.send(encode(report), addresses)
        if not is_relay:
            # The current relay forwards these.
            self.relay_queue.clear()
            if report:
                self.send(encode(report), self.recipients(relay))
            return
        self.forward_reports(report)

    def next_report(self) -> RouterReport | None:
        """Return the report to send now, None if nothing has changed and no heartbeat is due."""
        now_s = self.directory.clock()
        state_versions = self.state_versions()
        loads = tuple(
            EngineLoadReport(incarnation_id_of(engine), load.requests, load.prefill_tokens)
            for name, load in sorted(self.selector.loads.local.items())
            if (engine := self.selector.engines.engines.get(name))
        )
        unreachable = tuple(
            incarnation_id_of(engine)
            for name in sorted(self.selector.outliers.unreachable())
            if (engine := self.selector.engines.engines.get(name))
        )
        leaving = tuple(map(incarnation_id_of, self.selector.engines.locally_announced()))
        content = (loads, state_versions, unreachable, leaving)
        is_unchanged = content == self.last_content and not self.queued_updates
        if is_unchanged and now_s - self.sent_at < HEARTBEAT_PERIOD_S:
            return None
        self.sent_at = now_s
        self.last_content = content
        self.sequence_number += 1
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
        )

    def forward_reports(self, report: RouterReport | None) -> None:
        """Forward reports of this failure domain to the other relays, all reports to the domain."""
        reports = [*self.relay_queue, report] if report else self.relay_queue
        self.relay_queue = []
        domain = self.directory.domain
        outward = [report for report in reports if report.domain == domain]
        self.send_batches(outward, relays.other_domain_relays(self.directory))
        self.send_batches(
            reports, [peer.address for peer in relays.own_domain_peers(self.directory)]
        )

    def send_batches(self, reports: list[RouterReport], addresses: list[str]) -> None:
        """Send reports in batches that fit a datagram."""
        for start in range(0, len(reports), MAX_REPORTS_PER_BATCH):
            self.send(
                encode(ReportBatch(tuple(reports[start : start + MAX_REPORTS_PER_BATCH]))),
                addresses,
            )

    def send(self, message: bytes, addresses: list[str]) -> None:
        """Send a datagram to each address, ignoring socket errors."""
        for address in addresses:
            with suppress(OSError):
                self.transport.sendto(message, (address, self.port))

    def rejoin_addresses(self) -> list[str]:
        """Return the routers of this failure domain if none of them is live, once per period.

        A host that was suspended for longer than the heartbeat timeout receives no reports, since
        it is considered dead, and takes itself for the only router of its domain.
        """
        now_s = self.directory.clock()
        if now_s - self.rejoin_sent_at < REDISCOVERY_PERIOD_S or relays.own_domain_peers(
            self.directory
        ):
            return []
        self.rejoin_sent_at = now_s
        domain = self.directory.domain
        return [peer.address for peer in self.directory.peers.values() if peer.domain == domain]

    def recipients(self, relay: str | None = None) -> list[str]:
        """Return where to send a report: to the relay, or to all live peers in a full mesh.

        Once per `REDISCOVERY_PERIOD_S`, this includes the relays of the other domains, or peers
        that are not live.
        """
        now_s = self.directory.clock()
        if now_s - self.rediscovery_sent_at >= REDISCOVERY_PERIOD_S:
            self.rediscovery_sent_at = now_s
            if relay is None:
                return list(self.directory.peers)
            return list({relay, *relays.other_domain_relays(self.directory)})
        return [relay] if relay else [peer.address for peer in self.directory.live_peers()]

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Apply the reports in a datagram."""
        try:
            message = decode_datagram(data)
        except msgspec.MsgspecError as error:
            log(Event.PEER_UNREADABLE, address=addr[0], fault=str(error))
            return
        match message:
            case RouterReport():
                self.apply_report(message, is_relayed=False)
            case ReportBatch(reports):
                for report in reports:
                    self.apply_report(report, is_relayed=report.address != addr[0])

    def apply_report(self, report: RouterReport, is_relayed: bool) -> None:
        """Apply the report of a router, and queue it for forwarding in a fleet with relays."""
        if report.address == self.directory.local_address:
            return
        known = self.directory.peers.get(report.address)
        # Datagrams may be reordered, and are duplicated when the relay changes.
        if (
            known
            and report.boot_id == known.boot_id
            and report.sequence_number <= known.sequence_number
        ):
            return
        peer = self.directory.record_heartbeat(report.address, report.domain, is_relayed)
        self.record_versions(peer, report)
        for update in report.cache_updates:
            self.apply_update(update)
        self.selector.loads.replace_report(report.address, dict(self.decode_loads(report)))
        unreachable = filter(None, map(self.find_engine, report.unreachable))
        self.selector.outliers.record_report(
            report.address, frozenset(engine.id for engine in unreachable)
        )
        for engine in filter(None, map(self.find_engine, report.leaving)):
            self.selector.engines.record_announcement(engine, report.address)
        if not relays.is_full_mesh(self.directory):
            self.relay_queue.append(report)

    def record_versions(self, peer: Peer, report: RouterReport) -> None:
        """Record the identity and the state versions of a peer from its report."""
        peer.boot_id = report.boot_id
        peer.sequence_number = report.sequence_number
        peer.domain = report.domain
        peer.link_mbps = report.link_mbps
        peer.table_revision = report.table_revision
        peer.table_version = report.table_version
        peer.engines_revision = report.engines_revision
        peer.engines_digest = report.engines_digest
        peer.has_store = report.has_store

    def apply_update(self, update: CacheUpdate) -> None:
        """Apply a cache update, unless its engine is unknown."""
        engine = self.find_engine(update.incarnation_id)
        if engine is None:
            return
        parts = tuple(Part(*part) for part in update.parts)
        apply_cache_update(self.selector, engine, parts, update.kind)

    def decode_loads(self, report: RouterReport):
        """Yield the id and load of each known engine in a report."""
        for load in report.loads:
            engine = self.find_engine(load.incarnation_id)
            if engine:
                yield engine.id, Load(load.requests, load.prefill_tokens)

    def find_engine(self, incarnation: int) -> Engine | None:
        """Return the engine with an incarnation id, None if it is unknown."""
        engine = self.engines_by_incarnation.get(incarnation)
        if engine is None or engine.id not in self.selector.engines.engines:
            engines = self.selector.engines.engines.values()
            self.engines_by_incarnation = {incarnation_id_of(engine): engine for engine in engines}
            engine = self.engines_by_incarnation.get(incarnation)
        return engine


def incarnation_id_of(engine: Engine) -> int:
    """Return the incarnation id of an engine."""
    return incarnation_id(engine.id, engine.started_ms)


def encode_parts(parts: tuple[Part, ...]) -> tuple[tuple[int, int], ...]:
    """Return parts as pairs of id and tokens."""
    return tuple((part.id, part.tokens) for part in parts)
