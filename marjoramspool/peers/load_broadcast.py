"""Telling the other routers of loads and placements, in datagrams."""

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

__all__ = ["StateVersions", "LoadBroadcast"]

FULL_MESH_PERIOD_S = 0.03
# On the way through relays, messages wait for company.
RELAYED_PERIOD_S = 0.12
# A fleet larger than this tells less often, so that its relays' links bear it.
MAX_ROUTERS_AT_RELAYED_PERIOD = 100
# Signs of life come more often than relays are given up.
MAX_PERIOD_S = 0.36
# How many periods old what is told of loads is on the mean when it comes, and how long it travels.
FULL_MESH_AGE_PERIODS = 0.5
RELAYED_AGE_PERIODS = 2
NETWORK_DELAY_S = 0.01
# With nothing new, a sign of life goes out this often.
HEARTBEAT_PERIOD_S = 0.4
# A router that is not heard of is told this often.
REDISCOVERY_PERIOD_S = 1.0
MAX_UPDATES_PER_REPORT = 10
MAX_PARTS_PER_UPDATE = 100
MAX_REPORTS_PER_BATCH = 12


@dataclass(slots=True, frozen=True)
class StateVersions:
    """Say how new a router's routes and engines are, and whether the store answers it."""

    table_revision: int
    engines_revision: int
    engines_digest: int
    has_store: bool


class LoadBroadcast(asyncio.DatagramProtocol):
    """Tell the other routers, and take in what they tell."""

    __slots__ = (
        "engines_by_incarnation",
        "selector",
        "directory",
        "state_versions",
        "last_content",
        "rejoin_sent_at",
        "sequence_number",
        "relay_queue",
        "queued_updates",
        "port",
        "relay_monitor",
        "sent_at",
        "rediscovery_sent_at",
        "boot_id",
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
        selector.lag_s = self.report_age_s
        selector.on_placed.append(self.queue_prefill)
        selector.on_reverted.append(self.queue_retraction)
        directory.on_dead.append(self.discard_reports)

    def report_age_s(self) -> float:
        """Return how old the loads of the others are on the mean, in seconds."""
        periods = (
            FULL_MESH_AGE_PERIODS if relays.is_full_mesh(self.directory) else RELAYED_AGE_PERIODS
        )
        return periods * self.period_s() + NETWORK_DELAY_S

    def period_s(self) -> float:
        """Return how often this router tells, in seconds."""
        if relays.is_full_mesh(self.directory):
            return FULL_MESH_PERIOD_S
        routers = len(self.directory.peers) + 1
        factor = max(1.0, routers / MAX_ROUTERS_AT_RELAYED_PERIOD)
        return min(MAX_PERIOD_S, RELAYED_PERIOD_S * factor)

    def discard_reports(self, peer: Peer) -> None:
        """Drop what a router told that is no longer heard of."""
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
        """Keep the socket."""
        self.transport = transport

    def error_received(self, exc: OSError) -> None:
        """Pass over a router that is not there; its silence is noticed by itself."""

    def queue_prefill(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Remember a placement until it is told."""
        self.queued_updates.append(CacheUpdate(incarnation_id_of(engine), encode_parts(parts)))

    def queue_retraction(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Remember to take back what was told of a placement."""
        self.queued_updates.append(
            CacheUpdate(incarnation_id_of(engine), encode_parts(parts), CacheUpdateKind.RETRACTED)
        )

    def queue_listing(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Tell what an engine holds, in messages that fit a datagram."""
        for start in range(0, len(parts), MAX_PARTS_PER_UPDATE):
            encoded = encode_parts(parts[start : start + MAX_PARTS_PER_UPDATE])
            self.queued_updates.append(
                CacheUpdate(incarnation_id_of(engine), encoded, CacheUpdateKind.LISTED)
            )

    async def run(self) -> None:
        """Tell the other routers whenever there is something new."""
        while True:
            await asyncio.sleep(self.period_s())
            self.directory.expire()
            self.send_report()

    def send_report(self) -> None:
        """Tell what is new, or give a sign of life when it is due."""
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
            # Another passes these on.
            self.relay_queue.clear()
            if report:
                self.send(encode(report), self.recipients(relay))
            return
        self.forward_reports(report)

    def next_report(self) -> RouterReport | None:
        """Return what to tell now, None if nothing is due."""
        moment = self.directory.clock()
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
        content = (loads, state_versions, unreachable)
        is_unchanged = content == self.last_content and not self.queued_updates
        if is_unchanged and moment - self.sent_at < HEARTBEAT_PERIOD_S:
            return None
        self.sent_at = moment
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
        )

    def forward_reports(self, report: RouterReport | None) -> None:
        """Pass on what this failure domain and the others told, as its relay."""
        reports = [*self.relay_queue, report] if report else self.relay_queue
        self.relay_queue = []
        domain = self.directory.domain
        outward = [report for report in reports if report.domain == domain]
        self.send_batches(outward, relays.other_domain_relays(self.directory))
        self.send_batches(
            reports, [peer.address for peer in relays.own_domain_peers(self.directory)]
        )

    def send_batches(self, reports: list[RouterReport], addresses: list[str]) -> None:
        """Send messages in bundles that fit a datagram."""
        for start in range(0, len(reports), MAX_REPORTS_PER_BATCH):
            self.send(
                encode(ReportBatch(tuple(reports[start : start + MAX_REPORTS_PER_BATCH]))),
                addresses,
            )

    def send(self, message: bytes, addresses: list[str]) -> None:
        """Send a datagram to some routers."""
        for address in addresses:
            with suppress(OSError):
                self.transport.sendto(message, (address, self.port))

    def rejoin_addresses(self) -> list[str]:
        """Return the routers of this failure domain if none of them is heard, now and then.

        A host that stood still for longer than silence is borne is told of by nobody, and takes
        itself for the only one.
        """
        moment = self.directory.clock()
        if moment - self.rejoin_sent_at < REDISCOVERY_PERIOD_S or relays.own_domain_peers(
            self.directory
        ):
            return []
        self.rejoin_sent_at = moment
        domain = self.directory.domain
        return [peer.address for peer in self.directory.peers.values() if peer.domain == domain]

    def recipients(self, relay: str | None = None) -> list[str]:
        """Return whom to tell: those heard of or the relay, and now and then the others."""
        moment = self.directory.clock()
        if moment - self.rediscovery_sent_at >= REDISCOVERY_PERIOD_S:
            self.rediscovery_sent_at = moment
            if relay is None:
                return list(self.directory.peers)
            return list({relay, *relays.other_domain_relays(self.directory)})
        return [relay] if relay else [peer.address for peer in self.directory.live_peers()]

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in what other routers tell."""
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
        """Take in what one router tells, and pass it on if this one is its relay."""
        if report.address == self.directory.local_address:
            return
        known = self.directory.peers.get(report.address)
        # Datagrams may overtake each other, and come twice where relays change.
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
        if not relays.is_full_mesh(self.directory):
            self.relay_queue.append(report)

    def record_versions(self, peer: Peer, report: RouterReport) -> None:
        """Take in how new a router's knowledge is."""
        peer.boot_id = report.boot_id
        peer.sequence_number = report.sequence_number
        peer.domain = report.domain
        peer.link_mbps = report.link_mbps
        peer.table_revision = report.table_revision
        peer.engines_revision = report.engines_revision
        peer.engines_digest = report.engines_digest
        peer.has_store = report.has_store

    def apply_update(self, update: CacheUpdate) -> None:
        """Take in what an engine reads or holds."""
        engine = self.find_engine(update.incarnation_id)
        if engine is None:
            return
        parts = tuple(Part(*part) for part in update.parts)
        apply_cache_update(self.selector, engine, parts, update.kind)

    def decode_loads(self, report: RouterReport):
        """Yield the engines and loads that a router tells of."""
        for load in report.loads:
            engine = self.find_engine(load.incarnation_id)
            if engine:
                yield engine.id, Load(load.requests, load.prefill_tokens)

    def find_engine(self, incarnation: int) -> Engine | None:
        """Return the engine that a number names, None if this router does not know it."""
        engine = self.engines_by_incarnation.get(incarnation)
        if engine is None or engine.id not in self.selector.engines.engines:
            engines = self.selector.engines.engines.values()
            self.engines_by_incarnation = {incarnation_id_of(engine): engine for engine in engines}
            engine = self.engines_by_incarnation.get(incarnation)
        return engine


def incarnation_id_of(engine: Engine) -> int:
    """Return the number that names an engine between routers."""
    return incarnation_id(engine.id, engine.started_ms)


def encode_parts(parts: tuple[Part, ...]) -> tuple[tuple[int, int], ...]:
    """Return parts as a message holds them."""
    return tuple((part.id, part.tokens) for part in parts)
