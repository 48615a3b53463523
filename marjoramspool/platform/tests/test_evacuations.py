"""Engines of an evacuated failure domain get no new requests, whatever router gets the requests."""

import asyncio
import time

import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from bench.traffic import traffic
from marjoramspool.bounds import Bounds

LOOKUP = route("/lookup/", "idempotent", "desk")
# By the requirements, an order is in force everywhere this long after it was written.
IN_FORCE_S = 2.0
MAX_REFUSAL_S = 0.5


async def start_site(site, routers, domains=("zone-a", "zone-b")):
    """Start routers and one engine in each failure domain; return the engines by domain."""
    site.bounds = Bounds(shutdown_grace_s=3.0, evacuation_s=5.0)
    engines = {}
    for domain in domains:
        engine = engines[domain] = await site.add_engine("desk", register=False)
        await site.put("servers", engine.id, engine.registration(zone=domain))
    await site.configure(LOOKUP)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.wait_for_peers()
    return engines


def requests(site, per_s=60.0):
    async def send(number):
        return await site.send("/lookup/x", f"q{number}", number % len(site.routers))

    return traffic(send, per_s)


def arrivals_since(engine, since):
    return [arrival for arrival in engine.arrivals if arrival.at >= since]


def knows(router, *domains):
    return router.engines.evacuations.domains == frozenset(domains)


async def test_no_request_reaches_an_evacuated_domain_from_a_router_that_starts_meanwhile(site):
    # Fault: a router that starts after the order has been written does not learn of it.
    engines = await start_site(site, 2)
    async with requests(site):
        await asyncio.sleep(0.3)
        await site.put("evacuations", "zone-a", {})
        ordered_at = time.monotonic()
        await site.add_router()
        await asyncio.sleep(IN_FORCE_S + 1.0)
    assert arrivals_since(engines["zone-a"], ordered_at + IN_FORCE_S) == []
    assert len(arrivals_since(engines["zone-b"], ordered_at + IN_FORCE_S)) >= 40


async def test_a_router_cut_off_from_the_store_learns_of_an_evacuation_from_the_others(site):
    engines = await start_site(site, 3)
    cut = site.routers[0]
    cut.store.address = "127.0.0.1:1"
    await wait_until(lambda: not cut.is_store_available, "the store is out of reach", 6.0)
    await site.put("evacuations", "zone-a", {})
    await wait_until(lambda: knows(cut, "zone-a"), "the evacuation is known")
    before = len(engines["zone-a"].arrivals)
    for number in range(10):
        status, _, _ = await site.send("/lookup/x", f"r{number}", 0)
        assert status == 200
    assert len(engines["zone-a"].arrivals) == before


@pytest.mark.parametrize("domains", [("zone-a",), ("zone-a", "zone-b")])
async def test_a_domain_serves_again_when_its_order_is_removed(site, domains):
    engines = await start_site(site, 2)
    for domain in domains:
        await site.put("evacuations", domain, {})
    await wait_until(lambda: all(knows(r, *domains) for r in site.routers), "the orders are known")
    for domain in domains:
        await site.remove_object("evacuations", domain)
    await wait_until(lambda: all(knows(r) for r in site.routers), "the end is known")
    removed_at = time.monotonic()
    async with requests(site) as results:
        await asyncio.sleep(1.0)
    assert {result.status for result in results} == {200}
    assert all(arrivals_since(engine, removed_at) for engine in engines.values())


async def test_requests_are_refused_as_not_run_when_all_domains_of_a_service_are_evacuated(site):
    engines = await start_site(site, 1)
    for domain in engines:
        await site.put("evacuations", domain, {})
    await wait_until(lambda: knows(site.routers[0], *engines), "the orders are known")
    before = sum(len(engine.arrivals) for engine in engines.values())
    for number in range(30):
        sent_at = time.monotonic()
        status, headers, _ = await site.send("/lookup/x", f"r{number}")
        assert status == 503
        assert time.monotonic() - sent_at < MAX_REFUSAL_S
        assert float(headers["Retry-After"]) > 0.1
    assert sum(len(engine.arrivals) for engine in engines.values()) == before


async def test_an_evacuation_outlasts_a_store_that_was_restored_without_it(site):
    # Fault: the store comes back from a copy that is older than the order.
    engines = await start_site(site, 1)
    copy = site.store.snapshot()
    await site.put("evacuations", "zone-a", {})
    await wait_until(lambda: knows(site.routers[0], "zone-a"), "the order is known")
    await site.store.restore(copy)
    router = site.routers[0]
    await wait_until(lambda: router.engines.evacuations.held_until, "the loss is known", 6.0)
    before = len(engines["zone-a"].arrivals)
    for number in range(10):
        await site.send("/lookup/x", f"r{number}")
    assert len(engines["zone-a"].arrivals) == before


async def test_an_evacuation_is_known_after_the_history_of_the_store_is_gone(site):
    engines = await start_site(site, 1)
    await site.put("evacuations", "zone-a", {})
    site.store.compact_history()
    await wait_until(lambda: knows(site.routers[0], "zone-a"), "the order is known", 6.0)
    await site.remove_object("evacuations", "zone-a")
    site.store.compact_history()
    await wait_until(lambda: knows(site.routers[0]), "the end is known", 6.0)
    assert engines


async def test_nothing_is_watched_where_nothing_is_evacuated(site):
    # A deployment whose settings name no bound on evacuations pays no calls for them.
    await site.add_engine("desk")
    await site.configure(LOOKUP)
    router = await site.add_router()
    assert router.evacuation_watcher is None
