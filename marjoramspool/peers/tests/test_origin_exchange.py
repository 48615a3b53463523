"""Search for the version at which a stream began, over a network that loses datagrams."""

import asyncio
import random

import pytest

from marjoramspool.peers.directory import Directory
from marjoramspool.peers.messages import MESSAGE_REVISION, decode_datagram
from marjoramspool.peers.origin_exchange import OriginExchange
from marjoramspool.streams.stream_origins import AMBIGUOUS

DOMAINS = 6
STREAMS = 200


class FakeNetwork:
    """Routers whose datagrams arrive later, or are lost."""

    def __init__(self, count, loss=0.0, seed=1):
        self.random = random.Random(seed)
        self.loss = loss
        self.sent = 0
        self.routers = {}
        for number in range(count):
            # All heartbeats are as of now.
            directory = Directory(f"r{number}", f"zone-{number % DOMAINS}", 100, lambda: 0.0)
            for other in range(count):
                if other != number:
                    peer = directory.record_heartbeat(f"r{other}", f"zone-{other % DOMAINS}")
                    peer.message_revision = MESSAGE_REVISION
            exchange = OriginExchange(directory, None)
            exchange.send = self.sender(f"r{number}")
            self.routers[f"r{number}"] = exchange

    def sender(self, source):
        def send(data, addresses):
            for address in addresses:
                self.sent += 1
                if self.random.random() >= self.loss:
                    delay_s = self.random.uniform(0.001, 0.01)
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay_s, self.deliver, data, source, address)

        return send

    def deliver(self, data, source, address):
        if source in self.routers and address in self.routers:
            self.routers[address].handle(decode_datagram(data), source)

    def end(self, addresses):
        """End routers, of which the others have not noticed it yet."""
        for address in addresses:
            del self.routers[address]

    async def begin_streams(self):
        """Begin streams at all routers in turn; return their ids and versions."""
        streams = {self.random.getrandbits(64): f"v{n % 2}" for n in range(STREAMS)}
        for number, (stream, version) in enumerate(streams.items()):
            self.routers[f"r{number % len(self.routers)}"].announce(stream, [stream], version)
        await asyncio.sleep(0.05)
        return streams

    async def find_all(self, streams):
        """Search for all streams, some at a time, since one process plays all routers."""
        routers = list(self.routers.values())
        found = []
        ids = list(streams)
        for start in range(0, len(ids), 10):
            searches = [self.random.choice(routers).find(s, s) for s in ids[start : start + 10]]
            found += await asyncio.gather(*searches)
        return found


@pytest.mark.parametrize("count", [2, 8, 195])
async def test_any_router_finds_the_version_while_datagrams_are_lost(count):
    network = FakeNetwork(count, loss=0.05)
    streams = await network.begin_streams()
    sent = network.sent
    assert sent <= 3 * STREAMS
    assert await network.find_all(streams) == list(streams.values())
    # Nearly all are found at their replicas, without asking everyone.
    assert network.sent - sent <= 20 * STREAMS


@pytest.mark.parametrize("count", [8, 195])
async def test_versions_are_found_after_a_domain_and_a_third_of_the_rest_ended(count):
    network = FakeNetwork(count)
    streams = await network.begin_streams()
    ended = {name for name in network.routers if int(name[1:]) % DOMAINS == 0}
    ended |= {name for name in network.routers if int(name[1:]) % 3 == 1}
    network.end(ended)
    found = await network.find_all(streams)
    assert set(zip(streams, found, strict=True)) - set(streams.items()) == {
        (stream, None) for stream, version in zip(streams, found, strict=True) if version is None
    }
    assert sum(version is not None for version in found) >= 0.8 * STREAMS


async def test_what_nobody_knows_is_unknown_within_a_bounded_time():
    network = FakeNetwork(8)
    async with asyncio.timeout(0.5):
        assert await network.routers["r1"].find(1, 12345) is None
    network.end([f"r{n}" for n in range(8) if n != 1])
    async with asyncio.timeout(0.5):
        assert await network.routers["r1"].find(1, 12345) is None


async def test_routers_of_an_earlier_release_are_not_asked():
    network = FakeNetwork(3)
    exchange = network.routers["r0"]
    for peer in exchange.directory.peers.values():
        peer.message_revision = 0
    exchange.announce(1, [1], "v1")
    assert await exchange.find(1, 2) is None
    assert network.sent == 0


async def test_a_router_does_not_guess_from_its_own_stream_of_equal_content():
    """Two routers began equal streams at two versions, and a caller names neither."""
    network = FakeNetwork(8)
    content = 4711
    network.routers["r1"].announce(content, [content, 1], "v1")
    network.routers["r2"].announce(content, [content, 2], "v2")
    await asyncio.sleep(0.05)
    for router in network.routers.values():
        assert await router.find(content, content) == AMBIGUOUS
        assert [await router.find(content, stream) for stream in (1, 2)] == ["v1", "v2"]


async def test_a_router_that_hears_no_other_knows_its_own_streams_by_their_ids_only():
    network = FakeNetwork(3)
    content = 4711
    network.routers["r1"].announce(content, [content, 1], "v1")
    network.end(["r0", "r2"])
    assert await network.routers["r1"].find(content, 1) == "v1"
    assert await network.routers["r1"].find(content, content) is None
