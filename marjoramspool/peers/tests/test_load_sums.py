"""Sums of loads through relays: each router's view of the others, without its own share."""

import math

import pytest

from marjoramspool.admission.account_admission import Account
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.peers import relays
from marjoramspool.peers.load_sums import MAX_LOADS_PER_MESSAGE, split_loads
from marjoramspool.peers.messages import CacheUpdate, encode
from marjoramspool.peers.report_relay import MAX_PARTS_PER_MESSAGE, take_updates
from marjoramspool.peers.tests.test_load_broadcast import (
    ENGINE,
    RELAYED_PERIOD_S,
    make_fleet,
    run_rounds,
)
from marjoramspool.prompts import Part


def relay_of(routers, domain):
    address = relays.select_relay(routers[0].directory, domain)
    return next(r for r in routers if r.directory.local_address == address)


def members_of(routers, domain):
    relay = relay_of(routers, domain)
    return [r for r in routers if r.directory.domain == domain and r is not relay]


def others_load(router):
    """Return the load that a router sees beside its own."""
    total, own = router.selector.loads.total(ENGINE.id), router.selector.loads.local
    local = own.get(ENGINE.id, Load())
    return total.requests - local.requests


@pytest.mark.parametrize("count", [40, 195])
def test_a_router_counts_its_own_load_once_while_it_changes(count):
    network, clock, routers = make_fleet(count, domains=6)
    run_rounds(network, clock, routers, 5)
    member = members_of(routers, "zone-2")[0]
    for number in range(12):
        member.selector.loads.begin(ENGINE.id, 100)
        run_rounds(network, clock, routers, 1, RELAYED_PERIOD_S)
        assert others_load(member) == 0, f"after {number + 1} requests"
    run_rounds(network, clock, routers, 3, RELAYED_PERIOD_S)
    for router in routers:
        expected = 0 if router is member else 12
        assert others_load(router) == expected


def test_loads_end_within_a_second_everywhere():
    network, clock, routers = make_fleet(195, domains=6)
    for router in routers:
        router.selector.loads.begin(ENGINE.id, 10)
    run_rounds(network, clock, routers, 6, RELAYED_PERIOD_S)
    for router in routers:
        router.selector.loads.end(ENGINE.id)
        router.selector.loads.local.clear()
    run_rounds(network, clock, routers, 8, RELAYED_PERIOD_S)
    assert {r.selector.loads.total(ENGINE.id).requests for r in routers} == {0}


def test_a_lost_relay_and_a_lost_router_leave_no_loads_behind():
    network, clock, routers = make_fleet(40)
    lost_member = members_of(routers, "zone-1")[0]
    lost_relay = relay_of(routers, "zone-2")
    for router in (lost_member, lost_relay):
        router.selector.loads.begin(ENGINE.id, 10)
    run_rounds(network, clock, routers, 6, RELAYED_PERIOD_S)
    assert all(others_load(r) == 2 for r in routers if r not in (lost_member, lost_relay))
    for router in (lost_member, lost_relay):
        del network.endpoints[router.directory.local_address]
    running = [r for r in routers if r not in (lost_member, lost_relay)]
    run_rounds(network, clock, running, 50, RELAYED_PERIOD_S)
    assert {r.selector.loads.total(ENGINE.id).requests for r in running} == {0}


def test_a_router_cut_off_from_its_relay_drops_the_sums():
    network, clock, routers = make_fleet(40)
    for router in routers:
        router.selector.loads.begin(ENGINE.id, 10)
    run_rounds(network, clock, routers, 6, RELAYED_PERIOD_S)
    isolated = members_of(routers, "zone-1")[0]
    del network.endpoints[isolated.directory.local_address]
    run_rounds(network, clock, routers, 25, RELAYED_PERIOD_S)
    assert isolated.selector.loads.total(ENGINE.id).requests == 1


def test_a_router_that_restarts_is_counted_once():
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 6, RELAYED_PERIOD_S)
    member = members_of(routers, "zone-1")[0]
    member.selector.loads.begin(ENGINE.id, 10)
    run_rounds(network, clock, routers, 4, RELAYED_PERIOD_S)
    member.own.boot_id += 1
    member.own.sequence_number = 0
    member.own.sent_loads.clear()
    member.own.last_content = ()
    run_rounds(network, clock, routers, 4, RELAYED_PERIOD_S)
    assert all(others_load(r) == (0 if r is member else 1) for r in routers)


def test_bytes_for_a_router_do_not_grow_with_the_fleet():
    sizes = {}
    for count in (40, 195):
        network, clock, routers = make_fleet(count, domains=6)
        run_rounds(network, clock, routers, 10, RELAYED_PERIOD_S)
        member = members_of(routers, "zone-3")[0].directory.local_address
        received = 0
        for _ in range(20):
            clock.now += RELAYED_PERIOD_S
            for router in routers:
                router.selector.loads.begin(ENGINE.id, 10)
                router.send_report()
            received += sum(len(data) for to, data, _ in network.queue if to == member)
            network.deliver()
        sizes[count] = received / (20 * RELAYED_PERIOD_S)
    assert sizes[195] < 22_000
    # Heartbeats and the list of included reports are left, at some bytes a router and second.
    assert sizes[195] - sizes[40] < 155 * 120


def test_loads_of_many_engines_fit_datagrams():
    loads = {n * 7919 % 2**32: Load(3, 40_000, 2_000, 9_000) for n in range(1, 3001)}
    parts = list(split_loads(loads))
    assert sum(len(reports) for reports, _ in parts) == 3000
    assert sum(len(rates) for _, rates in parts) == 3000
    assert all(len(reports) <= 2 * MAX_LOADS_PER_MESSAGE for reports, _ in parts)
    assert max(len(encode(reports)) + len(encode(rates)) for reports, rates in parts) < 60_000


def test_updates_that_do_not_fit_wait_for_the_next_datagram():
    update = CacheUpdate(1, tuple((n, 10) for n in range(100)))
    queue = [update] * 40
    assert len(take_updates(queue)) == MAX_PARTS_PER_MESSAGE // 100
    assert len(queue) == 25
    assert len(encode(queue[0])) < 60_000
    large = [CacheUpdate(1, tuple((n, 10) for n in range(2000)))]
    assert len(take_updates(large)) == 1


def test_cache_updates_reach_every_router_once(monkeypatch):
    network, clock, routers = make_fleet(40)
    run_rounds(network, clock, routers, 5, RELAYED_PERIOD_S)
    seen = dict.fromkeys((id(router.selector) for router in routers), 0)

    def count(selector, engine, parts, kind):
        seen[id(selector)] += 1

    monkeypatch.setattr("marjoramspool.peers.load_broadcast.apply_cache_update", count)
    sender = members_of(routers, "zone-1")[0]
    sender.own.queue_prefill(ENGINE, (Part(1, 10),))
    run_rounds(network, clock, routers, 4, RELAYED_PERIOD_S)
    assert seen.pop(id(sender.selector)) <= 1
    assert set(seen.values()) <= {1, 2}


def test_a_router_receives_few_datagrams_in_a_fleet_of_hundreds():
    network, clock, routers = make_fleet(195, domains=6)
    run_rounds(network, clock, routers, 5)
    member = members_of(routers, "zone-3")[0]
    address, period_s = member.directory.local_address, member.period_s()
    received = 0
    for _ in range(round(3 / period_s)):
        clock.now += period_s
        for router in routers:
            router.send_report()
        received += sum(to == address for to, _, _ in network.queue)
        network.deliver()
    assert received / 3 <= 2 / period_s + 2


def test_a_fleet_that_shrinks_to_a_full_mesh_uses_single_reports_again():
    network, clock, routers = make_fleet(13)
    for router in routers:
        router.selector.loads.begin(ENGINE.id, 10)
    run_rounds(network, clock, routers, 6, RELAYED_PERIOD_S)
    assert all(others_load(router) == 12 for router in routers)
    gone, kept = routers[:5], routers[5:]
    for router in kept:
        for other in gone:
            del router.directory.peers[other.directory.local_address]
            router.directory.presumed_at = None
    run_rounds(network, clock, kept, 30, RELAYED_PERIOD_S)
    assert all(others_load(router) == 7 for router in kept)


def contend(router, wanted):
    """Let a router have requests of an account for a contended service."""
    accounts = router.selector.accounts
    account = Account("desk", "hot", 1)
    state = accounts.state("desk")
    state.is_contended = True
    state.viewed_at = math.inf
    for _ in range(wanted):
        accounts.decide(account, "r", 10.0)
    return account


@pytest.mark.parametrize("count", [3, 40])
def test_sums_of_accounts_reach_all_routers_without_their_own_part(count):
    """Guards against sums that count a router's own requests twice, or stop at a relay."""
    network, clock, routers = make_fleet(count, domains=6)
    run_rounds(network, clock, routers, 5, RELAYED_PERIOD_S)
    account = contend(routers[0], 5)
    contend(routers[1], 3)
    run_rounds(network, clock, routers, 6, RELAYED_PERIOD_S)
    for router in routers:
        told = router.selector.accounts.reported.others(account.id).wanted_milli / 1000
        own = {id(routers[0]): 5, id(routers[1]): 3}.get(id(router), 0)
        # The sums decay by the clock of the process, which is not that of the network here.
        assert told == pytest.approx(8 - own, rel=0.5)
        assert not router.selector.loads.reported_totals


def test_router_of_an_earlier_release_ignores_sums_of_accounts():
    """It looks loads up by engine: guards against the load of one that an account is taken for."""
    network, clock, routers = make_fleet(3)
    contend(routers[0], 5)
    run_rounds(network, clock, routers)
    sent = routers[0].own.last_loads()
    assert sent
    assert not routers[1].by_engine(sent)


def test_dead_router_leaves_no_sums_of_accounts():
    network, clock, routers = make_fleet(3)
    account = contend(routers[0], 5)
    run_rounds(network, clock, routers)
    assert routers[1].selector.accounts.reported.others(account.id).wanted_milli
    run_rounds(network, clock, routers[1:], 6)
    routers[1].directory.expire()
    assert not routers[1].selector.accounts.reported.others(account.id).wanted_milli
