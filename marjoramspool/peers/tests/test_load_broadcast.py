"""Reports between routers, in a full mesh and through relays."""

import asyncio
from dataclasses import replace

import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from marjoramspool import hashing
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.load_broadcast import LoadBroadcast, StateVersions
from marjoramspool.peers.messages import decode_datagram
from marjoramspool.peers.state_transfer import export_engines, import_engines
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.prompts import Part
from marjoramspool.routes import ColdStart

# Time limit for a change to reach all routers, and the report period of a fleet with relays.
MAX_PROPAGATION_S = 3.0
MAX_COLD_PROPAGATION_S = 0.5
RELAYED_PERIOD_S = 0.12
ENGINE = Engine("i-1", "model", "1.1.1.1:1", "zone", 8, False, 1)


class FakeNetwork:
    """Delivers datagrams between the routers of a test, and counts them by sender."""

    def __init__(self):
        self.endpoints = {}
        self.queue = []
        self.sent = {}

    def transport(self, address):
        network = self

        class Transport:
            def sendto(self, data, to):
                network.sent[address] = network.sent.get(address, 0) + 1
                network.queue.append((to[0], data, address))

        return Transport()

    def deliver(self):
        queue, self.queue = self.queue, []
        for to, data, source in queue:
            if to in self.endpoints:
                self.endpoints[to].datagram_received(data, (source, 1))


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_router(network, address, domain, clock, link=100):
    engines = EngineList(clock)
    engines.register(ENGINE)
    selector = EngineSelector(domain, engines, lambda: None)
    directory = Directory(address, domain, link, clock)
    load_broadcast = LoadBroadcast(1, directory, selector, lambda: StateVersions(1, 1, 1, True))
    load_broadcast.transport = network.transport(address)
    network.endpoints[address] = load_broadcast
    return load_broadcast


def make_fleet(count, domains=4):
    network, clock = FakeNetwork(), FakeClock()
    routers = [
        make_router(network, f"10.0.0.{n}", f"zone-{n % domains}", clock, 5 + n % 3)
        for n in range(count)
    ]
    for one in routers:
        for other in routers:
            directory = other.directory
            one.directory.add_peer(directory.local_address, directory.domain, directory.link_mbps)
    return network, clock, routers


def run_rounds(network, clock, routers, count=3, step_s=0.5):
    for _ in range(count):
        clock.now += step_s
        for router in routers:
            router.own.sent_at = 0.0
            router.send_report()
        network.deliver()


@pytest.mark.parametrize("count", [2, 7, 40, 87])
def test_load_of_every_router_reaches_all(count):
    network, clock, routers = make_fleet(count)
    for router in routers:
        router.selector.loads.begin(ENGINE.id, 10)
    run_rounds(network, clock, routers, 5)
    for router in routers:
        assert router.selector.loads.total(ENGINE.id) == Load(count, 10 * count)


def test_router_that_is_no_relay_sends_few_datagrams_in_a_large_fleet():
    network, clock, routers = make_fleet(87)
    run_rounds(network, clock, routers, 5)
    network.sent.clear()
    run_rounds(network, clock, routers, 10)
    domains = {router.directory.domain for router in routers}
    relay_addresses = {relays.select_relay(routers[0].directory, domain) for domain in domains}
    assert (
        max(network.sent[address] for address in network.sent if address not in relay_addresses)
        <= 5 * 10
    )


def test_all_routers_select_the_same_relay_with_the_fastest_link():
    _, _, routers = make_fleet(40)
    chosen = {relays.select_relay(router.directory, "zone-1") for router in routers}
    assert len(chosen) == 1
    links = {r.directory.local_address: r.directory.link_mbps for r in routers}
    best = max(r.directory.link_mbps for r in routers if r.directory.domain == "zone-1")
    assert links[chosen.pop()] == best


def test_dead_relay_is_replaced():
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 5)
    old_relay = relays.select_relay(routers[0].directory, "zone-1")
    del network.endpoints[old_relay]
    running = [router for router in routers if router.directory.local_address != old_relay]
    run_rounds(network, clock, running, 12)
    for router in running:
        assert relays.select_relay(router.directory, "zone-1") != old_relay
        assert len(router.directory.live_peers()) == len(running) - 1


def test_large_fleet_has_few_store_watchers_and_replaces_those_without_store():
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 5)
    first = relays.select_store_watchers(routers[0].directory, True)
    assert len(first) == relays.MAX_STORE_WATCHERS
    for router in routers:
        assert relays.select_store_watchers(router.directory, True) == first
    for router in routers:
        if router.directory.local_address in first:
            router.own.state_versions = lambda: StateVersions(1, 1, 1, False)
    run_rounds(network, clock, routers, 5)
    others = relays.select_store_watchers(
        routers[0].directory, routers[0].directory.local_address not in first
    )
    assert not others & first


def test_all_routers_of_a_small_fleet_watch_the_store():
    _, _, routers = make_fleet(7)
    assert len(relays.select_store_watchers(routers[0].directory, True)) == 7


def test_late_datagram_does_not_restore_an_old_load():
    network, clock, (one, other_router) = make_fleet(2)
    one.selector.loads.begin(ENGINE.id, 0)
    one.send_report()
    delayed = list(network.queue)
    one.selector.loads.end(ENGINE.id)
    run_rounds(network, clock, [one])
    network.queue = delayed
    network.deliver()
    assert other_router.selector.loads.total(ENGINE.id) == Load(0, 0)


def test_restarted_router_is_accepted_with_lower_sequence_numbers():
    network, clock, (one, other_router) = make_fleet(2)
    run_rounds(network, clock, [one, other_router], 5)
    restarted = make_router(network, one.directory.local_address, "zone-0", clock)
    restarted.directory.add_peer(other_router.directory.local_address, "zone-1", 5)
    restarted.selector.loads.begin(ENGINE.id, 0)
    run_rounds(network, clock, [restarted], 2)
    assert other_router.selector.loads.total(ENGINE.id) == Load(1, 0)


def test_invalid_datagrams_are_ignored():
    network, clock, (one, other_router) = make_fleet(2)
    for datagram in (b"", b"\x00", b"\x91\x07", b"\xff" * 100):
        other_router.datagram_received(datagram, ("9.9.9.9", 1))
    run_rounds(network, clock, [one, other_router])
    assert len(other_router.directory.live_peers()) == 1


def test_reports_fit_a_datagram():
    network, clock, (one, _) = make_fleet(2)
    one.own.queue_listing(ENGINE, tuple(Part(2**32 - n, 30_000) for n in range(1500)))
    sizes = []
    while one.own.queued_updates:
        clock.now += 0.5
        one.send_report()
        sizes += [len(data) for _, data, _ in network.queue]
        assert all(decode_datagram(data) for _, data, _ in network.queue)
        network.deliver()
    assert max(sizes) < 60_000


async def test_routers_use_prefixes_cached_for_requests_of_other_routers(site):
    for _ in range(4):
        await site.add_engine("model", is_stream=True)
    await site.configure(route("/chat/", "streaming", "model"))
    for _ in range(3):
        await site.add_router()
    await site.wait_for_peers()
    for number in range(9):
        prefix = f"aa:500,bb:4000,{number:x}:50"
        headers = {"X-Model": "m", "X-Token-Count": "4550,5", "X-Prompt-Prefix": prefix}
        await site.send("/chat/x", f"r{number}", number % 3, headers=headers)
        await asyncio.sleep(0.08)
    assert sum(bool(engine.arrivals) for engine in site.engines) == 1


async def test_starting_router_fetches_caches_from_a_peer(site):
    for _ in range(2):
        await site.add_engine("model", is_stream=True)
    await site.configure(route("/chat/", "streaming", "model"))
    await site.add_router()
    headers = {"X-Model": "m", "X-Token-Count": "4550,5", "X-Prompt-Prefix": "aa:500,bb:4000,c:50"}
    await site.send("/chat/x", "r", headers=headers)
    second = await site.add_router()
    parts = (Part(0xAA, 500), Part(0xBB, 4000))
    await wait_until(
        lambda: any(c.cached_tokens(parts) for c in second.selector.caches.caches.values()),
        "the second router knows the cached parts",
    )


@pytest.mark.parametrize("store_delay_s", [0.0, 0.5])
async def test_routers_starting_together_list_each_engine_at_most_twice(site, store_delay_s):
    for number in range(3):
        engine = await site.add_engine("model", is_stream=True)
        engine.cached_blocks = [("", f"{number + 1:x}", 700, "m")]
    await site.configure(route("/chat/", "streaming", "model"))
    await asyncio.gather(*[site.add_router() for _ in range(3)])
    await asyncio.gather(*[router.__aexit__(None, None, None) for router in site.routers])
    site.routers.clear()
    for engine in site.engines:
        engine.lists = 0
    site.started = 0
    if store_delay_s:
        path = "/marjoramspool/objects/marjoramspool-routers"
        site.arm("slow", times=-1, path=path, seconds=store_delay_s)
    routers = await asyncio.gather(*[site.add_router(wait=False) for _ in range(3)])
    await wait_until(
        lambda: all(not r.selector.unknown_caches for r in routers), "all caches are known"
    )
    await wait_until(
        lambda: all(len(r.selector.caches.caches) == 3 for r in routers),
        "all routers know the caches of all engines",
    )
    assert sum(engine.lists for engine in site.engines) <= 2 * 3


def test_a_listing_reaches_routers_that_have_not_been_heard_yet():
    network, clock, (one, *others) = make_fleet(3)
    one.send_report()
    network.queue.clear()
    clock.now += 0.1
    one.own.queue_listing(ENGINE, (Part(7, 700),))
    one.send_report()
    assert {to for to, _, _ in network.queue} == {r.directory.local_address for r in others}


def test_relay_queue_stays_bounded():
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 20)
    assert max(len(router.relay.heartbeats) for router in routers) <= len(routers)
    assert max(len(router.relay.sums.members) for router in routers) <= len(routers)


def test_reports_arrive_in_time_when_a_relay_and_its_successor_are_suspended():
    network, clock, routers = make_fleet(71)
    run_rounds(network, clock, routers, 20)
    zone = [router for router in routers if router.directory.domain == "zone-1"]
    best = max(router.directory.link_mbps for router in zone)
    names = [r.directory.local_address for r in zone if r.directory.link_mbps == best]
    frozen = hashing.rank(hashing.digest("zone-1"), names)[:2]
    for name in frozen:
        del network.endpoints[name]
    running = [router for router in routers if router.directory.local_address not in frozen]
    reporter = next(router for router in running if router.directory.domain == "zone-2")
    reporter.selector.loads.begin(ENGINE.id, 700)
    run_rounds(
        network, clock, running, round(MAX_PROPAGATION_S / RELAYED_PERIOD_S), RELAYED_PERIOD_S
    )
    same_domain = [router for router in running if router.directory.domain == "zone-1"]
    assert all(router.selector.loads.total(ENGINE.id).requests for router in same_domain)


def test_excluded_relay_is_selected_again_after_it_resumes():
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 5)
    relay = relays.select_relay(routers[0].directory, "zone-1")
    end = network.endpoints.pop(relay)
    running = [router for router in routers if router.directory.local_address != relay]
    run_rounds(network, clock, running, 12, RELAYED_PERIOD_S)
    same_domain = [router for router in running if router.directory.domain == "zone-1"]
    assert all(relays.select_relay(router.directory, "zone-1") != relay for router in same_domain)
    network.endpoints[relay] = end
    run_rounds(network, clock, routers, 40, RELAYED_PERIOD_S)
    assert all(relays.select_relay(router.directory, "zone-1") == relay for router in routers)


def test_long_suspended_host_receives_reports_again():
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 5)
    suspended = next(
        r
        for r in routers
        if relays.select_relay(r.directory, "zone-1") != r.directory.local_address
    )
    end = network.endpoints.pop(suspended.directory.local_address)
    run_rounds(network, clock, [router for router in routers if router is not suspended], 12)
    network.endpoints[suspended.directory.local_address] = end
    reporter = next(r for r in routers if r.directory.domain != suspended.directory.domain)
    reporter.selector.loads.begin(ENGINE.id, 700)
    run_rounds(
        network, clock, routers, round(MAX_PROPAGATION_S / RELAYED_PERIOD_S), RELAYED_PERIOD_S
    )
    assert suspended.selector.loads.total(ENGINE.id).requests


def make_cold_fleet(count):
    """Return routers that have heard of each other and whose service has cold engines."""
    network, clock, routers = make_fleet(count)
    for router in routers:
        cold = router.selector.cold
        cold.clock = cold.shares.clock = clock
        cold.cold_start = lambda _: ColdStart(30.0, 4.0)
    run_rounds(network, clock, routers, 5)
    return network, clock, routers


def report_for(seconds, network, clock, routers):
    period_s = routers[0].period_s()
    for _ in range(int(seconds / period_s)):
        clock.now += period_s
        for router in routers:
            router.send_report()
        network.deliver()


@pytest.mark.parametrize("count", [3, 12, 40])
def test_a_cold_start_that_one_router_hears_of_is_known_to_all_soon(count):
    network, clock, routers = make_cold_fleet(count)
    routers[0].selector.cold.record_answer(ENGINE, 8.0, clock.now)
    report_for(MAX_COLD_PROPAGATION_S, network, clock, routers)
    for router in routers:
        assert router.selector.cold.remaining_s(ENGINE.key) == pytest.approx(7.5, abs=0.5)
    report_for(9.0, network, clock, routers)
    assert not any(router.selector.cold.is_cold(ENGINE) for router in routers)


def test_the_countdown_of_a_cold_engine_causes_no_extra_reports():
    sent = []
    for remaining_s in (0.0, 20.0):
        network, clock, routers = make_cold_fleet(3)
        routers[0].selector.cold.record_answer(ENGINE, remaining_s, clock.now)
        report_for(1.0, network, clock, routers)
        network.sent.clear()
        report_for(10.0, network, clock, routers)
        sent.append(sum(network.sent.values()))
    assert sent[0] == sent[1]


def test_a_router_that_was_frozen_learns_later_that_an_engine_is_cold():
    # Fault: what changed is told only while it is new.
    network, clock, routers = make_cold_fleet(3)
    frozen = routers.pop()
    address = frozen.directory.local_address
    del network.endpoints[address]
    routers[0].selector.cold.record_answer(ENGINE, 20.0, clock.now)
    report_for(5.0, network, clock, routers)
    network.endpoints[address] = frozen
    report_for(2.0, network, clock, [*routers, frozen])
    assert frozen.selector.cold.is_cold(ENGINE)


def test_the_engine_list_of_another_router_tells_what_is_cold():
    _, clock, (router, other) = make_cold_fleet(2)
    new = Engine("i-2", "model", "1.1.1.1:2", "zone", 8, False, 1)
    router.selector.engines.register(new)
    router.selector.cold.record_answer(new, 8.0, clock.now)
    entries = export_engines(router.selector.engines, router.selector.cold)
    import_engines(other.selector.engines, entries, 2)
    assert other.selector.cold.remaining_s(new.key) == 8.0


def test_the_engine_list_of_another_router_does_not_shorten_what_an_engine_said():
    _, clock, (router, other) = make_cold_fleet(2)
    other.selector.cold.record_answer(ENGINE, 8.0, clock.now)
    clock.now += 2.0
    router.selector.engines.register(replace(ENGINE, cold_remaining_s=0.0))
    entries = export_engines(router.selector.engines, router.selector.cold)
    assert entries[0].cold_ms == 0
    import_engines(other.selector.engines, entries, 2)
    assert other.selector.cold.remaining_s(ENGINE.key) == pytest.approx(6.0)
