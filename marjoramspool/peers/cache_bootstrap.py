"""Discovery of the cache contents of the engines after a start.

A router that starts alone fetches them from its peers. If all routers have just started, no peer
has them, so each engine is listed by one assigned router, which broadcasts the result. If it does
not arrive in time, a second router lists the engine, then a third. The number of routers is
limited because a listing delays the engine's requests.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from marjoramspool import hashing
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.state_sync import CACHES_PATH, StateSync
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.prompts import Part

__all__ = ["CacheBootstrap", "CacheLister"]

MAX_PEERS_QUERIED = 3
# Time for the discovery to find the routers that start together, if the store answers slowly.
DISCOVERY_WAIT_S = 3.0
CHECK_PERIOD_S = 0.02
# Time for the assigned router to list an engine and broadcast the result.
ROUND_WAIT_S = 0.8
LISTING_ROUNDS = 3


class CacheLister(Protocol):
    """Client that lists the cache of an engine."""

    async def list_cache(self, engine: Engine) -> tuple[Part, ...] | None:
        """Return the cached parts of an engine, None if it does not answer."""


class CacheBootstrap:
    """Collects the cache contents of engines that were registered before this router started."""

    __slots__ = (
        "directory",
        "is_discovery_settled",
        "lister",
        "on_listed",
        "selector",
        "state_sync",
    )

    def __init__(
        self,
        directory: Directory,
        selector: EngineSelector,
        state_sync: StateSync,
        lister: CacheLister,
        on_listed: Callable[[Engine, tuple[Part, ...]], None],
        is_discovery_settled: Callable[[], bool],
    ):
        self.directory = directory
        self.selector = selector
        self.state_sync = state_sync
        self.lister = lister
        self.on_listed = on_listed
        self.is_discovery_settled = is_discovery_settled

    async def run(self) -> None:
        """Fetch cache contents from peers; list engines that remain unknown."""
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
        """Fetch cache contents from a few peers; those without a heartbeat come last.

        Load pattern: all routers start while the store answers slowly. One that does not know the
        others yet would list every engine itself.
        """
        waited_s = 0.0
        while not self.is_discovery_settled() and waited_s < DISCOVERY_WAIT_S:
            await asyncio.sleep(CHECK_PERIOD_S)
            waited_s += CHECK_PERIOD_S
        candidates = sorted(self.directory.peers.values(), key=lambda peer: peer.last_seen is None)
        for peer in candidates[:MAX_PEERS_QUERIED]:
            if not self.selector.unknown_caches:
                return
            await self.state_sync.fetch(peer, CACHES_PATH)

    async def list_assigned_engines(self, round_number: int) -> None:
        """List the engines with unknown caches that this router is assigned in this round."""
        routers = [self.directory.local_address, *self.directory.peers]
        assigned = [
            engine
            for engine in self.selector.model_engines()
            if (engine.id, engine.started_ms) in self.selector.unknown_caches
            and self.directory.local_address == assigned_router(engine, routers, round_number)
        ]
        await asyncio.gather(*[self.list_engine(engine) for engine in assigned])

    async def list_engine(self, engine: Engine) -> None:
        """List the cache of one engine and pass the result to `on_listed`."""
        parts = await self.lister.list_cache(engine)
        log(Event.CACHE_LISTED, engine=engine.id, parts=None if parts is None else len(parts))
        if parts is not None:
            self.selector.record_listed(engine, parts)
            self.on_listed(engine, parts)


def assigned_router(engine: Engine, routers: list[str], round_number: int) -> str:
    """Return the router that lists an engine in a round."""
    return hashing.rank(hashing.digest(engine.id), routers)[round_number % len(routers)]
