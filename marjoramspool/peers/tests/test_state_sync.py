"""State that routers fetch from each other, while some transfers are slow."""

import asyncio
from contextlib import asynccontextmanager

import pytest_asyncio

from bench.local import wait_until
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.messages import EnginesState
from marjoramspool.peers.state_sync import ENGINES_PATH, TABLE_PATH, StateSync

PEERS = ("10.0.0.2", "10.0.0.3")
# By the requirements an engine that leaves gets nothing after 3 s. Of these, the store and the
# reports of the routers take up to one, and a router that still waits then asks the store itself.
KNOWN_S = 1.0


class PacedSync(StateSync):
    """State sync whose transfers last as long as `transfers` says for a peer and a kind."""

    def __init__(self, directory, is_behind):
        super().__init__(
            directory, 0, lambda _: None, self.record, is_behind, lambda: 0.0, None, None
        )
        self.transfers = {}
        self.fetched = []
        self.imported = []

    def record(self, state, address):
        self.imported.append((type(state), address))

    async def fetch(self, peer, path):
        self.fetched.append((peer.address, path))
        await asyncio.sleep(self.transfers.get((peer.address, path), 0.0))
        self.imported.append((path, peer.address))
        return True


def is_behind_until_imported(sync):
    """Return whether a peer is ahead in a kind of state until it has been imported once."""

    def is_behind(state_type, _):
        path = ENGINES_PATH if state_type is EnginesState else TABLE_PATH
        return all(imported != path for imported, _ in sync.imported)

    return is_behind


@asynccontextmanager
async def following(sync):
    task = asyncio.create_task(sync.run())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest_asyncio.fixture
async def sync():
    directory = Directory("10.0.0.1", "a", 1000)
    for address in PEERS:
        directory.record_heartbeat(address, "a")
    sync = PacedSync(directory, None)
    sync.is_behind = is_behind_until_imported(sync)
    return sync


async def test_the_engine_list_does_not_wait_for_a_route_table(sync):
    """Guards against requests to an engine that has left, while a long table is on its way."""
    sync.transfers = {(address, TABLE_PATH): 60.0 for address in PEERS}
    async with following(sync):
        await wait_until(
            lambda: any(path == ENGINES_PATH for path, _ in sync.imported),
            "the engine list is known",
            KNOWN_S,
        )


async def test_a_router_knows_for_how_long_its_engine_list_is_behind(sync):
    """Guards against a router that counts the wait for a table out, and asks the store too late."""
    sync.transfers = {(address, TABLE_PATH): 60.0 for address in PEERS}
    sync.transfers |= {(address, ENGINES_PATH): 60.0 for address in PEERS}
    async with following(sync):
        await wait_until(lambda: ENGINES_PATH in sync.behind_since, "it knows", KNOWN_S)
