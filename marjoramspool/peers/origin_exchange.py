"""Exchange of the versions at which streams began, by datagrams to and from their replicas."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

from marjoramspool.peers.directory import Directory
from marjoramspool.peers.messages import OriginQuery, OriginReport, StreamOriginEntry, encode
from marjoramspool.streams.stream_origins import AMBIGUOUS, REPLICAS, StreamOrigins, select_replicas

__all__ = ["ORIGINS_REVISION", "OriginExchange"]

# Routers whose messages are of an earlier revision neither keep origins nor answer queries.
ORIGINS_REVISION = 1
# Besides the replicas, those are asked first that other views of the live routers would select.
ASKED_FIRST = REPLICAS + 2
# Datagrams may be lost, so those who do not reply are asked twice.
REPLICA_REPLY_WAITS_S = (0.04, 0.06)
WIDE_REPLY_WAITS_S = (0.08, 0.15)
# Load pattern: a router ends, and the callers of all its streams ask for origins that few know of.
MAX_WIDE_DATAGRAMS_PER_S = 4000.0
MAX_ENTRIES_PER_MESSAGE = 100


class Search:
    """Search for the origin of one stream; `unanswered` are the routers that have yet to reply.

    The first reply that names a version ends it, unless it waits for all, since an equal stream may
    have begun at another version.
    """

    __slots__ = ("answered", "is_over", "unanswered", "version", "waits_for_all")

    def __init__(self, waits_for_all: bool):
        self.waits_for_all = waits_for_all
        self.answered: set[str] = set()
        self.unanswered: set[str] = set()
        self.version: str | None = None
        self.is_over = asyncio.Event()

    def record_reply(self, address: str, version: str | None) -> None:
        """Record a reply, and end the search if it is the last one that is needed."""
        self.answered.add(address)
        self.unanswered.discard(address)
        if version is not None and self.version != AMBIGUOUS:
            self.version = version
        if self.is_found or not self.unanswered:
            self.is_over.set()

    @property
    def is_found(self) -> bool:
        """Return whether further replies can say nothing new."""
        return self.version == AMBIGUOUS or (self.version is not None and not self.waits_for_all)

    async def wait(self, addresses: Iterable[str], wait_s: float) -> None:
        """Wait until the search is over or all of `addresses` have replied, at most `wait_s`."""
        self.unanswered = set(addresses) - self.answered
        if self.is_found or not self.unanswered:
            return
        self.is_over.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.is_over.wait()


class OriginExchange:
    """What this router knows of the origins of streams, and what it asks the others.

    `send` sends an encoded message to addresses.
    """

    __slots__ = ("directory", "known", "searches", "send", "tasks", "wide_queries")

    def __init__(self, directory: Directory, send: Callable[[bytes, Iterable[str]], None]):
        self.directory = directory
        self.send = send
        self.known = StreamOrigins(directory.clock)
        self.searches: dict[int, Search] = {}
        self.tasks: dict[int, asyncio.Task] = {}
        # Streams that all routers are asked for in the next messages.
        self.wide_queries: list[int] = []

    def domains(self) -> dict[str, str]:
        """Return the failure domains of the live routers that exchange origins, by address."""
        return {
            peer.address: peer.domain
            for peer in self.directory.live_peers()
            if peer.message_revision >= ORIGINS_REVISION
        }

    def announce(self, content: int, streams: Iterable[int], version: str) -> None:
        """Record the version at which a stream began by each of its keys, here and at replicas."""
        streams = tuple(streams)
        for stream in streams:
            self.known.record(stream, version)
        message = OriginReport(tuple(StreamOriginEntry(stream, version) for stream in streams))
        self.send(encode(message), select_replicas(content, self.domains(), REPLICAS))

    async def find(self, content: int, stream: int) -> str | None:
        """Return the version at which a stream began, None if no router that replies knows it.

        A stream that is known by its content only is looked for elsewhere also if it is known here:
        an equal one may have begun at another version.
        """
        version = self.known.find(stream)
        if version is not None and stream != content:
            return version
        task = self.tasks.get(stream)
        if task is None:
            task = self.tasks[stream] = asyncio.create_task(self.search(content, stream))
            task.add_done_callback(lambda _: self.tasks.pop(stream))
        return await asyncio.shield(task)

    async def search(self, content: int, stream: int) -> str | None:
        """Ask the replicas of a stream, then all routers, for its origin."""
        domains = self.domains()
        search = self.searches[stream] = Search(stream == content)
        try:
            replicas = select_replicas(content, domains, ASKED_FIRST)
            for wait_s in REPLICA_REPLY_WAITS_S:
                if not search.is_found and (silent := set(replicas) - search.answered):
                    self.query((stream,), silent)
                    await search.wait(replicas, wait_s)
            for wait_s in WIDE_REPLY_WAITS_S:
                if search.version is not None or not domains.keys() - search.answered:
                    break
                await search.wait(domains, self.query_widely(stream) + wait_s)
            if search.waits_for_all and self.directory.peers and not search.answered:
                return None
            # What the replies named and what was known here may differ.
            return AMBIGUOUS if search.version == AMBIGUOUS else self.known.find(stream)
        finally:
            del self.searches[stream]

    def query(self, streams: tuple[int, ...], addresses: Iterable[str]) -> None:
        """Ask routers for the origins of streams."""
        self.send(encode(OriginQuery(streams)), addresses)

    def query_widely(self, stream: int) -> float:
        """Ask all routers for an origin, together with others; return the delay in seconds."""
        delay_s = len(self.directory.peers) / MAX_WIDE_DATAGRAMS_PER_S
        if not self.wide_queries:
            asyncio.get_running_loop().call_later(delay_s, self.send_wide_queries)
        if stream not in self.wide_queries:
            self.wide_queries.append(stream)
        return delay_s

    def send_wide_queries(self) -> None:
        """Ask all routers for the origins that were queued."""
        streams = tuple(self.wide_queries)
        self.wide_queries.clear()
        addresses = list(self.domains())
        for start in range(0, len(streams), MAX_ENTRIES_PER_MESSAGE):
            self.query(streams[start : start + MAX_ENTRIES_PER_MESSAGE], addresses)

    def handle(self, message: OriginReport | OriginQuery, address: str) -> None:
        """Handle a message of the router at `address`."""
        match message:
            case OriginQuery(streams):
                entries = (StreamOriginEntry(s, self.known.find(s)) for s in streams)
                self.send(encode(OriginReport(tuple(entries))), (address,))
            case OriginReport(entries):
                for entry in entries:
                    self.apply(entry, address)

    def apply(self, entry: StreamOriginEntry, address: str) -> None:
        """Apply what another router knows of a stream's origin."""
        if entry.version:
            self.known.record(entry.stream, entry.version)
        if search := self.searches.get(entry.stream):
            search.record_reply(address, entry.version and self.known.find(entry.stream))
