"""Telling the other routers of loads and placements, in datagrams."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_choice import EngineChoice
from marjoramspool.engine_list import Engine
from marjoramspool.engine_loads import Load
from marjoramspool.events import Event, log
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.messages import Placed, Told, ToldLoad, decode_told, encode
from marjoramspool.prompts import Part

__all__ = ["Telling"]

PERIOD_S = 0.03
# With nothing new, a sign of life goes out this often.
QUIET_PERIOD_S = 0.4
# A router that is not heard of is told this often.
SEEK_PERIOD_S = 1.0
PLACED_IN_ONE = 10
PARTS_IN_ONE = 100


class Telling(asyncio.DatagramProtocol):
    """Tell the other routers, and take in what they tell."""

    __slots__ = (
        "address",
        "choice",
        "directory",
        "last_loads",
        "name",
        "number",
        "on_told",
        "placed",
        "port",
        "revisions",
        "sent_at",
        "sought_at",
        "transport",
        "is_leaving",
    )

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        directory: Directory,
        choice: EngineChoice,
        revisions: Callable[[], tuple[int, int, int]],
    ):
        self.name = name
        self.address = address
        self.port = port
        self.directory = directory
        self.choice = choice
        self.revisions = revisions
        self.number = int(now() * 1000)
        self.placed: list[Placed] = []
        self.last_loads: tuple[ToldLoad, ...] = ()
        self.sent_at = 0.0
        self.sought_at = 0.0
        self.is_leaving = False
        self.on_told: list[Callable[[Peer], None]] = []
        self.transport: asyncio.DatagramTransport | None = None
        choice.on_placed.append(self.note_placed)
        directory.on_silent.append(lambda peer: choice.loads.forget_router(peer.address))

    async def start(self) -> None:
        """Open the datagram socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, self.port))

    def close(self) -> None:
        """Tell the others that this router leaves, and close the socket."""
        if self.transport:
            self.transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self.transport = transport

    def error_received(self, exc: OSError) -> None:
        """Pass over a router that is not there; its silence is noticed by itself."""

    def note_placed(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Remember a placement until it is told."""
        self.placed.append(Placed(engine.id, tuple((part.id, part.tokens) for part in parts)))

    def note_listed(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Tell what an engine holds, in messages that fit a datagram."""
        for start in range(0, len(parts), PARTS_IN_ONE):
            some = tuple((part.id, part.tokens) for part in parts[start : start + PARTS_IN_ONE])
            self.placed.append(Placed(engine.id, some, is_listed=True))

    async def tell_for_ever(self) -> None:
        """Tell the other routers whenever there is something new."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.directory.expire()
            self.tell()

    def tell(self) -> None:
        """Tell what is new, or give a sign of life when it is due."""
        moment = now()
        loads = tuple(
            ToldLoad(engine, load.requests, load.unread_tokens)
            for engine, load in sorted(self.choice.loads.own.items())
        )
        is_quiet = loads == self.last_loads and not self.placed
        if is_quiet and moment - self.sent_at < QUIET_PERIOD_S:
            return
        self.sent_at = moment
        self.last_loads = loads
        self.number += 1
        message = encode(
            Told(
                self.name,
                self.address,
                self.number,
                *self.revisions(),
                loads,
                tuple(self.placed[:PLACED_IN_ONE]),
                self.is_leaving,
            )
        )
        del self.placed[:PLACED_IN_ONE]
        for address in self.listeners(moment):
            with suppress(OSError):
                self.transport.sendto(message, (address, self.port))

    def listeners(self, moment: float) -> list[str]:
        """Return whom to tell: those heard of, and now and then the others."""
        if moment - self.sought_at >= SEEK_PERIOD_S:
            self.sought_at = moment
            return list(self.directory.peers)
        return [peer.address for peer in self.directory.heard()]

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in what another router tells."""
        try:
            told = decode_told(data)
        except msgspec.MsgspecError as error:
            log(Event.PEER_UNREADABLE, address=addr[0], fault=str(error))
            return
        if told.address == self.address:
            return
        peer = self.directory.hear(told.router, told.address)
        for placed in told.placed:
            engine = self.choice.engines.engines.get(placed.engine)
            if engine:
                self.take_placed(engine, placed)
        self.take_loads(peer, told)

    def take_placed(self, engine: Engine, placed: Placed) -> None:
        """Take in what an engine reads or holds."""
        parts = tuple(Part(*part) for part in placed.parts)
        if placed.is_listed:
            self.choice.note_listed(engine, parts)
        else:
            self.choice.note_read(engine, parts)

    def take_loads(self, peer: Peer, told: Told) -> None:
        """Take in how new a router's knowledge is and what it has under way."""
        # Datagrams may overtake each other; loads are only taken from the newest.
        if told.number <= peer.number:
            return
        peer.number = told.number
        peer.table_revision = told.table_revision
        peer.engines_revision = told.engines_revision
        peer.engines_digest = told.engines_digest
        peer.is_leaving = told.is_leaving
        self.choice.loads.tell(
            told.address,
            {load.engine: Load(load.requests, load.unread_tokens) for load in told.loads},
        )
        for call in self.on_told:
            call(peer)
