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

PERIOD_S = 0.03
# On the way through relays, messages wait for company.
RELAYED_PERIOD_S = 0.12
# A fleet larger than this tells less often, so that its relays' links bear it.
ROUTERS_AT_RELAYED_PERIOD = 100
# Signs of life come more often than relays are given up.
LONGEST_PERIOD_S = 0.36
# How many periods old what is told of loads is on the mean when it comes, and how long it travels.
DIRECT_PERIODS = 0.5
RELAYED_PERIODS = 2
TRAVEL_S = 0.01
# With nothing new, a sign of life goes out this often.
QUIET_PERIOD_S = 0.4
# A router that is not heard of is told this often.
SEEK_PERIOD_S = 1.0
PLACED_IN_ONE = 10
PARTS_IN_ONE = 100
TOLD_IN_ONE = 12


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
        "last_told",
        "lost_at",
        "sequence_number",
        "passing",
        "placed",
        "port",
        "relay_monitor",
        "sent_at",
        "sought_at",
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
        self.placed: list[CacheUpdate] = []
        self.passing: list[RouterReport] = []
        self.last_told: tuple = ()
        self.engines_by_incarnation: dict[int, Engine] = {}
        self.sent_at = 0.0
        self.sought_at = 0.0
        self.lost_at = 0.0
        self.transport: asyncio.DatagramTransport | None = None
        selector.lag_s = self.lag_s
        selector.on_placed.append(self.note_placed)
        selector.on_reverted.append(self.note_unread)
        directory.on_dead.append(self.forget)

    def lag_s(self) -> float:
        """Return how old the loads of the others are on the mean, in seconds."""
        periods = DIRECT_PERIODS if relays.is_full_mesh(self.directory) else RELAYED_PERIODS
        return periods * self.period_s() + TRAVEL_S

    def period_s(self) -> float:
        """Return how often this router tells, in seconds."""
        if relays.is_full_mesh(self.directory):
            return PERIOD_S
        routers = len(self.directory.peers) + 1
        longer = max(1.0, routers / ROUTERS_AT_RELAYED_PERIOD)
        return min(LONGEST_PERIOD_S, RELAYED_PERIOD_S * longer)

    def forget(self, peer: Peer) -> None:
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

    def note_placed(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Remember a placement until it is told."""
        self.placed.append(CacheUpdate(incarnation_id_of(engine), encode_parts(parts)))

    def note_unread(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Remember to take back what was told of a placement."""
        self.placed.append(
            CacheUpdate(incarnation_id_of(engine), encode_parts(parts), CacheUpdateKind.RETRACTED)
        )

    def note_listed(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Tell what an engine holds, in messages that fit a datagram."""
        for start in range(0, len(parts), PARTS_IN_ONE):
            some = encode_parts(parts[start : start + PARTS_IN_ONE])
            self.placed.append(CacheUpdate(incarnation_id_of(engine), some, CacheUpdateKind.LISTED))

    async def tell_for_ever(self) -> None:
        """Tell the other routers whenever there is something new."""
        while True:
            await asyncio.sleep(self.period_s())
            self.directory.expire()
            self.tell()

    def tell(self) -> None:
        """Tell what is new, or give a sign of life when it is due."""
        told = self.news()
        if relays.is_full_mesh(self.directory):
            if told:
                self.send(encode(told), self.listeners())
            return
        relay = relays.select_relay(self.directory, self.directory.domain)
        is_relay = relay == self.directory.local_address
        self.relay_monitor.check(
            relays.other_domain_relays(self.directory) if is_relay else [relay]
        )
        if told and (lost := self.lost()):
            self.send(encode(told), lost)
        if not is_relay:
            # Another passes these on.
            self.passing.clear()
            if told:
                self.send(encode(told), self.listeners(relay))
            return
        self.pass_on(told)

    def news(self) -> RouterReport | None:
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
        news = (loads, state_versions, unreachable)
        is_quiet = news == self.last_told and not self.placed
        if is_quiet and moment - self.sent_at < QUIET_PERIOD_S:
            return None
        self.sent_at = moment
        self.last_told = news
        self.sequence_number += 1
        placed = tuple(self.placed[:PLACED_IN_ONE])
        del self.placed[:PLACED_IN_ONE]
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
            placed,
            unreachable,
        )

    def pass_on(self, told: RouterReport | None) -> None:
        """Pass on what this failure domain and the others told, as its relay."""
        passing = [*self.passing, told] if told else self.passing
        self.passing = []
        domain = self.directory.domain
        outward = [one for one in passing if one.domain == domain]
        self.send_bundles(outward, relays.other_domain_relays(self.directory))
        self.send_bundles(
            passing, [peer.address for peer in relays.own_domain_peers(self.directory)]
        )

    def send_bundles(self, told: list[RouterReport], addresses: list[str]) -> None:
        """Send messages in bundles that fit a datagram."""
        for start in range(0, len(told), TOLD_IN_ONE):
            self.send(encode(ReportBatch(tuple(told[start : start + TOLD_IN_ONE]))), addresses)

    def send(self, message: bytes, addresses: list[str]) -> None:
        """Send a datagram to some routers."""
        for address in addresses:
            with suppress(OSError):
                self.transport.sendto(message, (address, self.port))

    def lost(self) -> list[str]:
        """Return the routers of this failure domain if none of them is heard, now and then.

        A host that stood still for longer than silence is borne is told of by nobody, and takes
        itself for the only one.
        """
        moment = self.directory.clock()
        if moment - self.lost_at < SEEK_PERIOD_S or relays.own_domain_peers(self.directory):
            return []
        self.lost_at = moment
        domain = self.directory.domain
        return [peer.address for peer in self.directory.peers.values() if peer.domain == domain]

    def listeners(self, relay: str | None = None) -> list[str]:
        """Return whom to tell: those heard of or the relay, and now and then the others."""
        moment = self.directory.clock()
        if moment - self.sought_at >= SEEK_PERIOD_S:
            self.sought_at = moment
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
                self.take(message, is_relayed=False)
            case ReportBatch(told):
                for one in told:
                    self.take(one, is_relayed=one.address != addr[0])

    def take(self, told: RouterReport, is_relayed: bool) -> None:
        """Take in what one router tells, and pass it on if this one is its relay."""
        if told.address == self.directory.local_address:
            return
        known = self.directory.peers.get(told.address)
        # Datagrams may overtake each other, and come twice where relays change.
        if (
            known
            and told.boot_id == known.boot_id
            and told.sequence_number <= known.sequence_number
        ):
            return
        peer = self.directory.record_heartbeat(told.address, told.domain, is_relayed)
        self.take_knowledge(peer, told)
        for placed in told.cache_updates:
            self.take_placed(placed)
        self.selector.loads.replace_report(told.address, dict(self.loads(told)))
        unreachable = filter(None, map(self.engine, told.unreachable))
        self.selector.outliers.record_report(told.address, frozenset(engine.id for engine in unreachable))
        if not relays.is_full_mesh(self.directory):
            self.passing.append(told)

    def take_knowledge(self, peer: Peer, told: RouterReport) -> None:
        """Take in how new a router's knowledge is."""
        peer.boot_id = told.boot_id
        peer.sequence_number = told.sequence_number
        peer.domain = told.domain
        peer.link_mbps = told.link_mbps
        peer.table_revision = told.table_revision
        peer.engines_revision = told.engines_revision
        peer.engines_digest = told.engines_digest
        peer.has_store = told.has_store

    def take_placed(self, placed: CacheUpdate) -> None:
        """Take in what an engine reads or holds."""
        engine = self.engine(placed.incarnation_id)
        if engine is None:
            return
        parts = tuple(Part(*part) for part in placed.parts)
        apply_cache_update(self.selector, engine, parts, placed.kind)

    def loads(self, told: RouterReport):
        """Yield the engines and loads that a router tells of."""
        for load in told.loads:
            engine = self.engine(load.incarnation_id)
            if engine:
                yield engine.id, Load(load.requests, load.prefill_tokens)

    def engine(self, number: int) -> Engine | None:
        """Return the engine that a number names, None if this router does not know it."""
        engine = self.engines_by_incarnation.get(number)
        if engine is None or engine.id not in self.selector.engines.engines:
            engines = self.selector.engines.engines.values()
            self.engines_by_incarnation = {incarnation_id_of(engine): engine for engine in engines}
            engine = self.engines_by_incarnation.get(number)
        return engine


def incarnation_id_of(engine: Engine) -> int:
    """Return the number that names an engine between routers."""
    return incarnation_id(engine.id, engine.started_ms)


def encode_parts(parts: tuple[Part, ...]) -> tuple[tuple[int, int], ...]:
    """Return parts as a message holds them."""
    return tuple((part.id, part.tokens) for part in parts)
