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
from marjoramspool.peers.state_sync import CACHES, StateSync
from marjoramspool.prompts import Part

__all__ = ["CacheLister", "CacheBootstrap"]

PEERS_ASKED = 3
# Time for the others to be introduced, and for the first of them to answer.
INTRODUCTION_S = 0.4
CHECK_S = 0.02
# Time for the router whose turn it is to tell an engine's list.
OTHERS_LIST_S = 0.8
TURNS = 3


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

    async def learn(self) -> None:
        """Learn the caches from the other routers, else from the engines."""
        self.selector.unknown_caches = {
            (engine.id, engine.started_ms) for engine in self.selector.model_engines()
        }
        if not self.selector.unknown_caches:
            return
        await self.ask_peers()
        for turn in range(TURNS):
            if not self.selector.unknown_caches:
                return
            await self.ask_engines(turn)
            await asyncio.sleep(OTHERS_LIST_S)

    async def ask_peers(self) -> None:
        """Take over the state of a router that has been there for longer."""
        waited_s = 0.0
        while not self.directory.peers and waited_s < INTRODUCTION_S:
            await asyncio.sleep(CHECK_S)
            waited_s += CHECK_S
        known = sorted(self.directory.peers.values(), key=lambda peer: peer.last_seen is None)
        for peer in known[:PEERS_ASKED]:
            if not self.selector.unknown_caches:
                return
            await self.state_sync.fetch(peer, CACHES)

    async def ask_engines(self, turn: int) -> None:
        """Ask the engines whose caches are unknown and for which it is this router's turn."""
        routers = [self.directory.local_address, *self.directory.peers]
        asked = [
            engine
            for engine in self.selector.model_engines()
            if (engine.id, engine.started_ms) in self.selector.unknown_caches
            and self.directory.local_address == in_turn(engine, routers, turn)
        ]
        await asyncio.gather(*[self.ask(engine) for engine in asked])

    async def ask(self, engine: Engine) -> None:
        """Ask one engine, and tell the other routers what it holds."""
        parts = await self.lister.list_cache(engine)
        log(Event.CACHE_LISTED, engine=engine.id, parts=None if parts is None else len(parts))
        if parts is not None:
            self.selector.record_listed(engine, parts)
            self.on_listed(engine, parts)


def in_turn(engine: Engine, routers: list[str], turn: int) -> str:
    """Return which router asks an engine in a turn."""
    return hashing.rank(hashing.digest(engine.id), routers)[turn % len(routers)]
