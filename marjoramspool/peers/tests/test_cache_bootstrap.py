"""Listing of engine caches when all routers start at the same time.

An engine must not be listed by every router of a fleet, since a listing delays its requests.
"""

from collections import Counter

import pytest

from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.peers import cache_bootstrap
from marjoramspool.peers.cache_bootstrap import LISTING_ROUNDS, CacheBootstrap
from marjoramspool.peers.directory import Directory
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.routes import EngineCapacity, RouteTable, Service

ENGINES = [Engine(f"i-{n}", "s", f"1.1.2.{n}:1", "z", 64, False, 1) for n in range(30)]


class UnresponsiveEngines:
    """Counts the requests for cache listings and answers none of them."""

    def __init__(self):
        self.asked = Counter()

    async def list_cache(self, engine):
        self.asked[engine.id] += 1


class UnreachablePeers:
    async def fetch(self, peer, path):
        return False


@pytest.mark.parametrize("count", [1, 7, 71])
async def test_each_engine_is_listed_once_per_round(count, monkeypatch):
    monkeypatch.setattr(cache_bootstrap, "ROUND_WAIT_S", 0.0)
    monkeypatch.setattr(cache_bootstrap, "DISCOVERY_WAIT_S", 0.0)
    addresses = [f"1.1.1.{n}" for n in range(count)]
    engines = EngineList()
    engines.replace_all(ENGINES)
    table = RouteTable(1, services={"s": Service("s", EngineCapacity(64, 600_000))})
    lister = UnresponsiveEngines()
    for address in addresses:
        directory = Directory(address, "z", 100)
        for other in addresses:
            directory.add_peer(other, "z", 100)
        selector = EngineSelector("z", engines, lambda: table)
        await CacheBootstrap(
            directory, selector, UnreachablePeers(), lister, lambda *_: None, lambda: True
        ).run()
    assert all(lister.asked[engine.id] == LISTING_ROUNDS for engine in ENGINES)
