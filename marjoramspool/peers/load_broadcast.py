"""Broadcast of loads and cache updates to the other routers by UDP datagrams."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

import msgspec

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.events import Event, log
from marjoramspool.peers import relays
from marjoramspool.peers.cold_reports import apply_cold_report
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.limit_reports import apply_limit_report
from marjoramspool.peers.load_sums import Loads, read_loads, subtract_loads
from marjoramspool.peers.messages import (
    CacheUpdate,
    DomainLoads,
    FleetLoads,
    OriginQuery,
    OriginReport,
    ReportBatch,
    RouterReport,
    SpeedReport,
    decode_datagram,
    encode,
)
from marjoramspool.peers.origin_exchange import OriginExchange
from marjoramspool.peers.own_reports import (
    OwnReports,
    PathState,
    StateVersions,
    incarnation_id_of,
)
from marjoramspool.peers.poison_reports import apply_poison_reports
from marjoramspool.peers.report_relay import OwnReport, ReportRelay, take_updates
from marjoramspool.peers.room_reports import apply_room_report
from marjoramspool.peers.speed_reports import apply_speed_report
from marjoramspool.peers.state_transfer import apply_cache_update
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.prompts import Part

__all__ = ["LoadBroadcast", "PathState", "StateVersions"]

FULL_MESH_PERIOD_S = 0.03
# Reports through relays are sent less often, so that relays can batch them.
RELAYED_PERIOD_S = 0.12
# Sums of loads grow with the engines, datagrams with the routers: large fleets report less often.
MAX_ENGINES_AT_RELAYED_PERIOD = 250
MAX_ROUTERS_AT_RELAYED_PERIOD = 120
# Reports stay more frequent than `RELAY_TIMEOUT_S`, after which a relay is excluded.
MAX_PERIOD_S = 0.36
# Sums that are not renewed for this long are dropped, so that a lost relay leaves no loads behind.
SUM_TIMEOUT_S = 2.0
# Mean age of a load report on arrival: a number of periods plus the network delay.
FULL_MESH_AGE_PERIODS = 0.5
RELAYED_AGE_PERIODS = 2
NETWORK_DELAY_S = 0.01
# Reports go this often to routers from which no heartbeats arrive.
REDISCOVERY_PERIOD_S = 1.0
# An unanswered attempt or a quarantine in a report may take as many bytes as a short report.
MAX_REPORTS_PER_BATCH = 100
# As many cold engines take as many bytes as a short report.
COLD_REPORTS_PER_REPORT = 8


class LoadBroadcast(asyncio.DatagramProtocol):
    """Sends the reports of this router, applies those of its peers and relays reports."""

    __slots__ = (
        "directory",
        "engines_by_incarnation",
        "known_digest",
        "live_count",
        "origins",
        "own",
        "port",
        "rediscovery_sent_at",
        "rejoin_sent_at",
        "relay_monitor",
        "relay",
        "selector",
        "sum_sequence_number",
        "summed_at",
        "summed_by",
        "transport",
    )

    def __init__(
        self,
        port: int,
        directory: Directory,
        selector: EngineSelector,
        state_versions: Callable[[], StateVersions],
        path_state: Callable[[], PathState] = PathState,
    ):
        self.port = port
        self.directory = directory
        self.relay_monitor = relays.RelayMonitor(directory)
        self.selector = selector
        self.own = OwnReports(directory, selector, state_versions, path_state)
        self.origins = OriginExchange(directory, self.send)
        self.relay = ReportRelay(directory.domain, directory.clock)
        # Number of live peers at the last report.
        self.live_count = 0
        # The relay whose sums replace the reports of single routers, and its message format.
        self.summed_by: tuple | None = None
        self.summed_at = 0.0
        self.sum_sequence_number = 0
        self.engines_by_incarnation: dict[int, Engine] = {}
        self.known_digest: int | None = None
        self.rediscovery_sent_at = 0.0
        self.rejoin_sent_at = 0.0
        self.transport: asyncio.DatagramTransport | None = None
        selector.report_age_s = self.report_age_s
        selector.other_routers = lambda: self.live_count
        selector.limits.report_age_s = self.report_age_s
        selector.on_placed.append(self.own.queue_prefill)
        selector.on_reverted.append(self.own.queue_retraction)
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
        engines = len(self.selector.engines.engines)
        routers = len(self.directory.peers) + 1
        factor = max(
            1.0, engines / MAX_ENGINES_AT_RELAYED_PERIOD, routers / MAX_ROUTERS_AT_RELAYED_PERIOD
        )
        return min(MAX_PERIOD_S, RELAYED_PERIOD_S * factor)

    def heard_share(self, known_routers: int) -> float:
        """Return the part of the known routers whose requests this router knows of, itself too."""
        is_summed = relays.is_full_mesh(self.directory) or self.summed_by is not None
        heard = 1 + (len(self.directory.live_peers()) if is_summed else 0)
        return heard / max(1, known_routers)

    def discard_reports(self, peer: Peer) -> None:
        """Discard the reports of a dead router."""
        self.selector.loads.remove_router(peer.address)
        self.selector.accounts.reported.remove_router(peer.address)
        self.relay.sums.remove_member(peer.address)
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

    async def run(self) -> None:
        """Report periodically to the other routers, and expire dead ones."""
        while True:
            await asyncio.sleep(self.period_s())
            self.directory.expire()
            self.send_report()

    def send_report(self) -> None:
        """Send changes, or a heartbeat when it is due; as a relay, forward queued reports."""
        report = self.own.next_report()
        self.live_count = len(self.directory.live_peers())
        self.drop_old_sums()
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
            self.relay.clear()
            if report:
                self.send(encode(report), self.recipients(relay))
            return
        self.relay.store_watchers = relays.select_store_watchers(
            self.directory, self.own.state_versions().has_store
        )
        self.forward_heartbeats(report)
        self.forward_sums(report)

    def forward_heartbeats(self, report: RouterReport | None) -> None:
        """Forward heartbeats of this failure domain to the other relays, all to the domain."""
        reports = self.relay.take_heartbeats()
        if report:
            reports.append(
                msgspec.structs.replace(report, loads=(), cache_updates=(), rates=(), speeds=())
            )
        domain = self.directory.domain
        outward = [report for report in reports if report.domain == domain]
        self.send_batches(outward, relays.other_domain_relays(self.directory))
        self.send_batches(
            reports, [peer.address for peer in relays.own_domain_peers(self.directory)]
        )

    def forward_sums(self, report: RouterReport | None) -> None:
        """Send the sum over this domain to the other relays, that over the fleet to the domain.

        The updates and figures of the relay's own report go with them.
        """
        own_updates = report.cache_updates if report else ()
        own_speeds = report.speeds if report else ()
        self.relay.sums.expire()
        self.sum_sequence_number += 1
        own = OwnReport(
            self.directory.local_address,
            self.directory.domain,
            self.own.boot_id,
            self.sum_sequence_number,
            self.own.last_loads(),
        )
        member_updates = own_updates + take_updates(self.relay.member_updates)
        member_speeds = own_speeds + self.relay.member_speeds.take()
        for message in self.relay.domain_messages(own, member_updates, member_speeds):
            self.send(encode(message), relays.other_domain_relays(self.directory))
        updates = member_updates + take_updates(self.relay.fleet_updates)
        members = [peer.address for peer in relays.own_domain_peers(self.directory)]
        speeds = member_speeds + self.relay.fleet_speeds.take()
        for message in self.relay.fleet_messages(own, updates, speeds):
            self.send(encode(message), members)
        self.use_sums((own.address, 0), 0, self.relay.other_loads())

    def use_sums(self, source: tuple, part: int, loads: Loads) -> None:
        """Replace what is known of the other routers' loads by one part of their sum."""
        if self.summed_by != source:
            self.clear_loads()
            self.summed_by = source
        self.summed_at = self.directory.clock()
        self.replace_loads(f"sum {part}", loads)

    def replace_loads(self, source: str, loads: Loads) -> None:
        """Replace what one router or sum tells of the loads at engines and of accounts."""
        engines = self.by_engine(loads)
        self.selector.loads.replace_report(source, engines)
        accounts = self.selector.accounts.reported
        if len(engines) < len(loads) or source in accounts.reported:
            others = {key: load for key, load in loads.items() if self.find_engine(key) is None}
            accounts.replace_report(source, others)

    def clear_loads(self) -> None:
        """Drop the loads that were told."""
        self.selector.loads.clear_reports()
        self.selector.accounts.reported.clear_reports()

    def drop_old_sums(self) -> None:
        """Drop the sums of a relay that has fallen silent."""
        if self.summed_by and self.directory.clock() - self.summed_at > SUM_TIMEOUT_S:
            self.clear_loads()
            self.summed_by = None

    def send_batches(self, reports: list[RouterReport], addresses: list[str]) -> None:
        """Send reports in batches that fit a datagram."""
        batch: list[RouterReport] = []
        size = 0
        for report in reports:
            added = 1 + len(report.quarantined) + sum(len(end.attempts) for end in report.ended)
            added += len(report.cold) // COLD_REPORTS_PER_REPORT
            if batch and size + added > MAX_REPORTS_PER_BATCH:
                self.send(encode(ReportBatch(tuple(batch))), addresses)
                batch, size = [], 0
            batch.append(report)
            size += added
        if batch:
            self.send(encode(ReportBatch(tuple(batch))), addresses)

    def send(self, message: bytes, addresses: Iterable[str]) -> None:
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
        """Return where to send a report: to the relay, or in a full mesh to the peers.

        These include peers presumed live. Routers that start together have not heard from each
        other yet, and each would list again what is not sent to it. Once per
        `REDISCOVERY_PERIOD_S`, the relays of the other domains are included, or peers not live.
        """
        now_s = self.directory.clock()
        if now_s - self.rediscovery_sent_at >= REDISCOVERY_PERIOD_S:
            self.rediscovery_sent_at = now_s
            if relay is None:
                return list(self.directory.peers)
            return list({relay, *relays.other_domain_relays(self.directory)})
        if relay:
            return [relay]
        return [peer.address for peer in self.directory.presumed_live_peers()]

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
            case DomainLoads():
                self.apply_domain_loads(message)
            case FleetLoads():
                self.apply_fleet_loads(message)
            case OriginReport() | OriginQuery():
                self.origins.handle(message, addr[0])

    def apply_unreachable(self, report: RouterReport) -> None:
        """Apply which engines another router finds unreachable; they may have started again."""
        found = filter(None, map(self.find_engine, report.unreachable))
        engines = {engine.id: engine for engine in found}
        added = self.selector.outliers.record_report(report.address, frozenset(engines))
        for name in added:
            self.selector.doubts.record_break(engines[name])

    def apply_domain_loads(self, message: DomainLoads) -> None:
        """Keep the loads of another domain, in case this router is a relay."""
        if message.domain == self.directory.domain or not self.relay.record_domain(message):
            return
        self.apply_speeds(message.speeds)
        for update in message.cache_updates:
            self.apply_update(update)

    def apply_fleet_loads(self, message: FleetLoads) -> None:
        """Use the sum over the fleet without the loads of this router that it includes."""
        if message.address == self.directory.local_address:
            return
        for update in message.cache_updates:
            self.apply_update(update)
        self.apply_speeds(message.speeds)
        loads = read_loads(message)
        subtract_loads(loads, self.own.included_loads(message.included))
        source = (message.address, message.boot_id, message.parts)
        self.use_sums(source, message.part, loads)

    def apply_report(self, report: RouterReport, is_relayed: bool) -> None:
        """Apply the report of a router, and keep it for forwarding in a fleet with relays."""
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
        if self.summed_by is None:
            self.replace_loads(report.address, read_loads(report))
        self.apply_unreachable(report)
        apply_poison_reports(self.selector.poison, report)
        for limit in report.limits:
            if engine := self.find_engine(limit.incarnation_id):
                apply_limit_report(self.selector.limits, engine.key, limit)
        for room in report.rooms:
            if engine := self.find_engine(room.incarnation_id):
                apply_room_report(self.selector.room, engine, room)
        for cold in report.cold:
            if engine := self.find_engine(cold.incarnation_id):
                apply_cold_report(self.selector.cold, engine, cold)
        self.apply_speeds(report.speeds)
        if news := report.evacuations:
            evacuations = self.selector.engines.evacuations
            evacuations.replace(news.domains, news.version, report.address)
        for engine in filter(None, map(self.find_engine, report.leaving)):
            self.selector.engines.record_announcement(engine, report.address)
        if not relays.is_full_mesh(self.directory):
            self.relay.record_report(report, is_relayed)

    def apply_speeds(self, speeds: tuple[SpeedReport, ...]) -> None:
        """Apply the figures of targets that other routers have heard."""
        for speed in speeds:
            if engine := self.find_engine(speed.incarnation_id):
                apply_speed_report(self.selector.speeds, engine, speed)

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
        peer.message_revision = report.message_revision
        peer.takes_forwarded = report.takes_forwarded
        peer.cut_off = report.cut_off
        peer.in_flight = report.in_flight

    def apply_update(self, update: CacheUpdate) -> None:
        """Apply a cache update, unless its engine is unknown."""
        engine = self.find_engine(update.incarnation_id)
        if engine is None:
            return
        parts = tuple(Part(*part) for part in update.parts)
        apply_cache_update(self.selector, engine, parts, update.kind)

    def by_engine(self, loads: Loads) -> dict[str, Load]:
        """Return loads by the id of the engine; those of unknown engines are left out."""
        return {
            engine.id: load
            for incarnation, load in loads.items()
            if (engine := self.find_engine(incarnation))
        }

    def find_engine(self, incarnation: int) -> Engine | None:
        """Return the engine with an incarnation id, None if it is unknown."""
        digest = self.selector.engines.digest()
        if digest != self.known_digest:
            self.known_digest = digest
            engines = self.selector.engines.engines.values()
            self.engines_by_incarnation = {incarnation_id_of(engine): engine for engine in engines}
        return self.engines_by_incarnation.get(incarnation)
