"""What routers tell each other, directly and through relays."""

import asyncio

import pytest

from bench.local import until
from bench.platform_fleet import route
from marjoramspool import hashing
from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.engine_loads import Load
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.load_broadcast import LoadBroadcast, StateVersions
from marjoramspool.peers.messages import decode_datagram
from marjoramspool.prompts import Part

# What a fleet of this size has for a change to be in force, and how often its routers tell.
IN_FORCE_S = 3.0
STEP_S = 0.12
ENGINE = Engine("i-1", "model", "1.1.1.1:1", "zone", 8, False, 1)


class Wire:
    """Carry datagrams between routers of a test, and count them."""

    def __init__(self):
        self.ends = {}
        self.queue = []
        self.sent = {}

    def transport(self, address):
        wire = self

        class Transport:
            def sendto(self, data, to):
                wire.sent[address] = wire.sent.get(address, 0) + 1
                wire.queue.append((to[0], data, address))

        return Transport()

    def deliver(self):
        queue, self.queue = self.queue, []
        for to, data, source in queue:
            if to in self.ends:
                self.ends[to].datagram_received(data, (source, 1))


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_router(wire, address, domain, clock, link=100):
    engines = EngineList(clock)
    engines.register(ENGINE)
    selector = EngineSelector(domain, engines, lambda: None)
    directory = Directory(address, domain, link, clock)
    load_broadcast = LoadBroadcast(1, directory, selector, lambda: StateVersions(1, 1, 1, True))
    load_broadcast.transport = wire.transport(address)
    wire.ends[address] = load_broadcast
    return load_broadcast


def make_fleet(count, domains=4):
    wire, clock = Wire(), Clock()
    routers = [
        make_router(wire, f"10.0.0.{n}", f"zone-{n % domains}", clock, 5 + n % 3)
        for n in range(count)
    ]
    for one in routers:
        for other in routers:
            directory = other.directory
            one.directory.add_peer(directory.local_address, directory.domain, directory.link_mbps)
    return wire, clock, routers


def rounds(wire, clock, routers, count=3, step_s=0.5):
    for _ in range(count):
        clock.now += step_s
        for router in routers:
            router.sent_at = 0.0
            router.send_report()
        wire.deliver()


@pytest.mark.parametrize("count", [2, 7, 40, 87])
def test_every_router_learns_every_load(count):
    wire, clock, routers = make_fleet(count)
    for router in routers:
        router.selector.loads.begin(ENGINE.id, 10)
    rounds(wire, clock, routers, 5)
    for router in routers:
        assert router.selector.loads.total(ENGINE.id) == Load(count, 10 * count)


def test_a_plain_router_of_a_large_fleet_sends_little():
    wire, clock, routers = make_fleet(87)
    rounds(wire, clock, routers, 5)
    wire.sent.clear()
    rounds(wire, clock, routers, 10)
    domains = {router.directory.domain for router in routers}
    relaying = {relays.select_relay(routers[0].directory, domain) for domain in domains}
    assert max(wire.sent[address] for address in wire.sent if address not in relaying) <= 5 * 10


def test_relays_have_the_best_links_and_all_agree_on_them():
    _, _, routers = make_fleet(40)
    chosen = {relays.select_relay(router.directory, "zone-1") for router in routers}
    assert len(chosen) == 1
    links = {r.directory.local_address: r.directory.link_mbps for r in routers}
    best = max(r.directory.link_mbps for r in routers if r.directory.domain == "zone-1")
    assert links[chosen.pop()] == best


def test_a_relay_that_falls_silent_is_replaced():
    wire, clock, routers = make_fleet(40)
    rounds(wire, clock, routers, 5)
    lost = relays.select_relay(routers[0].directory, "zone-1")
    del wire.ends[lost]
    rest = [router for router in routers if router.directory.local_address != lost]
    rounds(wire, clock, rest, 12)
    for router in rest:
        assert relays.select_relay(router.directory, "zone-1") != lost
        assert len(router.directory.live_peers()) == len(rest) - 1


def test_few_watch_for_a_large_fleet_and_those_without_store_give_way():
    wire, clock, routers = make_fleet(40)
    rounds(wire, clock, routers, 5)
    first = relays.select_store_watchers(routers[0].directory, True)
    assert len(first) == relays.MAX_STORE_WATCHERS
    for router in routers:
        assert relays.select_store_watchers(router.directory, True) == first
    for router in routers:
        if router.directory.local_address in first:
            router.state_versions = lambda: StateVersions(1, 1, 1, False)
    rounds(wire, clock, routers, 5)
    others = relays.select_store_watchers(
        routers[0].directory, routers[0].directory.local_address not in first
    )
    assert not others & first


def test_all_of_a_small_fleet_watch():
    _, _, routers = make_fleet(7)
    assert len(relays.select_store_watchers(routers[0].directory, True)) == 7


def test_an_old_datagram_does_not_bring_an_old_load_back():
    wire, clock, (one, two) = make_fleet(2)
    one.selector.loads.begin(ENGINE.id, 0)
    one.send_report()
    late = list(wire.queue)
    one.selector.loads.end(ENGINE.id)
    rounds(wire, clock, [one])
    wire.queue = late
    wire.deliver()
    assert two.selector.loads.total(ENGINE.id) == Load(0, 0)


def test_a_router_that_started_anew_is_believed_though_it_counts_from_one():
    wire, clock, (one, two) = make_fleet(2)
    rounds(wire, clock, [one, two], 5)
    again = make_router(wire, one.directory.local_address, "zone-0", clock)
    again.directory.add_peer(two.directory.local_address, "zone-1", 5)
    again.selector.loads.begin(ENGINE.id, 0)
    rounds(wire, clock, [again], 2)
    assert two.selector.loads.total(ENGINE.id) == Load(1, 0)


def test_junk_is_passed_over():
    wire, clock, (one, two) = make_fleet(2)
    for junk in (b"", b"\x00", b"\x91\x07", b"\xff" * 100):
        two.datagram_received(junk, ("9.9.9.9", 1))
    rounds(wire, clock, [one, two])
    assert len(two.directory.live_peers()) == 1


def test_messages_fit_a_datagram():
    wire, clock, (one, _) = make_fleet(2)
    one.queue_listing(ENGINE, tuple(Part(2**32 - n, 30_000) for n in range(1500)))
    sizes = []
    while one.queued_updates:
        clock.now += 0.5
        one.send_report()
        sizes += [len(data) for _, data, _ in wire.queue]
        assert all(decode_datagram(data) for _, data, _ in wire.queue)
        wire.deliver()
    assert max(sizes) < 60_000


async def test_routers_place_by_what_the_others_placed(site):
    for _ in range(4):
        await site.add_engine("model", is_stream=True)
    await site.configure(route("/chat/", "streaming", "model"))
    for _ in range(3):
        await site.add_router()
    await site.meet()
    for number in range(9):
        prefix = f"aa:500,bb:4000,{number:x}:50"
        headers = {"X-Model": "m", "X-Token-Count": "4550,5", "X-Prompt-Prefix": prefix}
        await site.ask("/chat/x", f"r{number}", number % 3, headers=headers)
        await asyncio.sleep(0.08)
    assert sum(bool(engine.arrivals) for engine in site.engines) == 1


async def test_a_router_that_starts_learns_the_caches_from_another(site):
    for _ in range(2):
        await site.add_engine("model", is_stream=True)
    await site.configure(route("/chat/", "streaming", "model"))
    await site.add_router()
    headers = {"X-Model": "m", "X-Token-Count": "4550,5", "X-Prompt-Prefix": "aa:500,bb:4000,c:50"}
    await site.ask("/chat/x", "r", headers=headers)
    second = await site.add_router()
    parts = (Part(0xAA, 500), Part(0xBB, 4000))
    await until(
        lambda: any(c.cached_tokens(parts) for c in second.selector.caches.caches.values()),
        "the second router knows what is held",
    )


async def test_routers_that_all_start_ask_each_engine_once(site):
    for number in range(3):
        engine = await site.add_engine("model", is_stream=True)
        engine.held = [("", f"{number + 1:x}", 700, "m")]
    await site.configure(route("/chat/", "streaming", "model"))
    await asyncio.gather(*[site.add_router() for _ in range(3)])
    await asyncio.gather(*[router.__aexit__(None, None, None) for router in site.routers])
    site.routers.clear()
    for engine in site.engines:
        engine.lists = 0
    site.started = 0
    routers = await asyncio.gather(*[site.add_router(wait=False) for _ in range(3)])
    await until(lambda: all(not r.selector.unknown_caches for r in routers), "all caches are known")
    await until(
        lambda: all(len(r.selector.caches.caches) == 3 for r in routers), "all know all caches"
    )
    assert sum(engine.lists for engine in site.engines) <= 2 * 3


def test_what_is_heard_does_not_pile_up():
    wire, clock, routers = make_fleet(40)
    rounds(wire, clock, routers, 20)
    assert max(len(router.relay_queue) for router in routers) <= 2 * len(routers)


def test_news_reaches_all_in_time_though_a_relay_and_its_successor_stand_still():
    wire, clock, routers = make_fleet(71)
    rounds(wire, clock, routers, 20)
    zone = [router for router in routers if router.directory.domain == "zone-1"]
    best = max(router.directory.link_mbps for router in zone)
    names = [r.directory.local_address for r in zone if r.directory.link_mbps == best]
    frozen = hashing.rank(hashing.digest("zone-1"), names)[:2]
    for name in frozen:
        del wire.ends[name]
    rest = [router for router in routers if router.directory.local_address not in frozen]
    teller = next(router for router in rest if router.directory.domain == "zone-2")
    teller.selector.loads.begin(ENGINE.id, 700)
    rounds(wire, clock, rest, round(IN_FORCE_S / STEP_S), STEP_S)
    near = [router for router in rest if router.directory.domain == "zone-1"]
    assert all(router.selector.loads.total(ENGINE.id).requests for router in near)


def test_a_relay_that_is_passed_over_is_taken_again_once_it_is_heard():
    wire, clock, routers = make_fleet(40)
    rounds(wire, clock, routers, 5)
    relay = relays.select_relay(routers[0].directory, "zone-1")
    end = wire.ends.pop(relay)
    rest = [router for router in routers if router.directory.local_address != relay]
    rounds(wire, clock, rest, 12, STEP_S)
    near = [router for router in rest if router.directory.domain == "zone-1"]
    assert all(relays.select_relay(router.directory, "zone-1") != relay for router in near)
    wire.ends[relay] = end
    rounds(wire, clock, routers, 40, STEP_S)
    assert all(relays.select_relay(router.directory, "zone-1") == relay for router in routers)


def test_a_host_that_stood_still_for_long_is_told_again():
    wire, clock, routers = make_fleet(40)
    rounds(wire, clock, routers, 5)
    still = next(
        r
        for r in routers
        if relays.select_relay(r.directory, "zone-1") != r.directory.local_address
    )
    end = wire.ends.pop(still.directory.local_address)
    rounds(wire, clock, [router for router in routers if router is not still], 12)
    wire.ends[still.directory.local_address] = end
    teller = next(r for r in routers if r.directory.domain != still.directory.domain)
    teller.selector.loads.begin(ENGINE.id, 700)
    rounds(wire, clock, routers, round(IN_FORCE_S / STEP_S), STEP_S)
    assert still.selector.loads.total(ENGINE.id).requests
