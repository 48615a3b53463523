"""Learning what the engines' caches hold after a start.

A router that starts alone asks the others. When all have started at once nobody knows, so each
engine is asked for its list by one router, which tells the others; if they do not hear of it in
time, a second one asks, then a third. No more may ask: a list delays the engine's work.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from marjoramspool import hashing
from marjoramspool.engine_list import Engine
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.events import Event, log
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.state_sync import CACHES_PATH, StateSync
from marjoramspool.prompts import Part

__all__ = ["CacheLister", "CacheBootstrap"]

MAX_PEERS_QUERIED = 3
# Time for the others to be introduced, and for the first of them to answer.
DISCOVERY_WAIT_S = 0.4
CHECK_PERIOD_S = 0.02
# Time for the router whose turn it is to tell an engine's list.
ROUND_WAIT_S = 0.8
LISTING_ROUNDS = 3


class CacheLister(Protocol):
    """Ask an engine what its cache holds."""

    async def list_cache(self, engine: Engine) -> tuple[Part, ...] | None:
        """Return the parts that an engine holds; None if it does not answer."""


class CacheBootstrap:
    """Learn the caches of the engines that were there before this router."""

    __slots__ = ("selector", "directory", "lister", "on_listed", "state_sync")

    def __init__(
        self,
        directory: Directory,
        selector: EngineSelector,
        state_sync: StateSync,
        lister: CacheLister,
        on_listed: Callable[[Engine, tuple[Part, ...]], None],
    ):
        self.directory = directory
        self.selector = selector
        self.state_sync = state_sync
        self.lister = lister
        self.on_listed = on_listed

    async def run(self) -> None:
        """Learn the caches from the other routers, else from the engines."""
        self.selector.unknown_caches = {
            (engine.id, engine.started_ms) for engine in self.selector.model_engines()
        }
        if not self.selector.unknown_caches:
            return
        await self.fetch_from_peers()
        for round_number in range(LISTING_ROUNDS):
            if not self.selector.unknown_caches:
                return
            await self.list_assigned_engines(round_number)
            await asyncio.sleep(ROUND_WAIT_S)

    async def fetch_from_peers(self) -> None:
        """Take over the state of a router that has been there for longer."""
        waited_s = 0.0
        while not self.directory.peers and waited_s < DISCOVERY_WAIT_S:
            await asyncio.sleep(CHECK_PERIOD_S)
            waited_s += CHECK_PERIOD_S
        candidates = sorted(self.directory.peers.values(), key=lambda peer: peer.last_seen is None)
        for peer in candidates[:MAX_PEERS_QUERIED]:
            if not self.selector.unknown_caches:
                return
            await self.state_sync.fetch(peer, CACHES_PATH)

    async def list_assigned_engines(self, round_number: int) -> None:
        """Ask the engines whose caches are unknown and for which it is this router's turn."""
        routers = [self.directory.local_address, *self.directory.peers]
        assigned = [
            engine
            for engine in self.selector.model_engines()
            if (engine.id, engine.started_ms) in self.selector.unknown_caches
            and self.directory.local_address == assigned_router(engine, routers, round_number)
        ]
        await asyncio.gather(*[self.list_engine(engine) for engine in assigned])

    async def list_engine(self, engine: Engine) -> None:
        """Ask one engine, and tell the other routers what it holds."""
        parts = await self.lister.list_cache(engine)
        log(Event.CACHE_LISTED, engine=engine.id, parts=None if parts is None else len(parts))
        if parts is not None:
            self.selector.record_listed(engine, parts)
            self.on_listed(engine, parts)


def assigned_router(engine: Engine, routers: list[str], round_number: int) -> str:
    """Return which router asks an engine in a turn."""
    return hashing.rank(hashing.digest(engine.id), routers)[round_number % len(routers)]
