"""Engines that are removed some time after a router could not reach the store.

Guards against a router that takes the removal for one that lapsed in the outage, and goes on to
send requests to the engine while others have stopped.
"""

import asyncio

import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from marjoramspool.store_replicas.store_watcher import WatchRole

LOOKUP = route("/lookup/", "idempotent", "desk")
# By the requirements an engine that leaves gets no requests after 2 s, in the smallest fleets.
DRAIN_S = 2.0


async def start_router(site):
    """Start a router whose role the returned list tells."""
    await site.configure(LOOKUP)
    router = await site.add_router()
    roles = [WatchRole.STANDBY]
    router.engine_watcher.watch_role = lambda: roles[-1]
    return router, roles


async def miss_the_store(site, router, roles):
    """Let calls of the router fail, and leave the store to other routers meanwhile."""
    site.arm("outage", times=-1)
    await wait_until(lambda: router.engine_watcher.has_failed, "a call failed", 4.0)
    roles.append(WatchRole.PASSIVE)
    await asyncio.sleep(1.0)
    site.store.faults.armed.clear()


@pytest.mark.parametrize("back_s", [2.0, 3.5])
async def test_an_engine_that_is_removed_long_after_an_outage_is_not_used(site, back_s):
    """The router leaves the store to others, and polls again since it is behind them."""
    engine, other = [await site.add_engine("desk") for _ in range(2)]
    router, roles = await start_router(site)
    await miss_the_store(site, router, roles)
    await asyncio.sleep(back_s)
    await site.remove_object("servers", engine.id)
    await asyncio.sleep(DRAIN_S / 2)
    roles.append(WatchRole.STANDBY)
    await wait_until(
        lambda: [e.id for e in router.engines.usable("desk")] == [other.id],
        "the engine is not used",
        DRAIN_S / 2,
    )


async def test_a_router_that_leaves_the_store_to_others_learns_that_it_is_back(site):
    await site.add_engine("desk")
    router, roles = await start_router(site)
    await miss_the_store(site, router, roles)
    await wait_until(lambda: not router.engine_watcher.has_failed, "it knows", DRAIN_S)


async def test_a_registration_that_lapsed_in_an_outage_is_kept_for_its_renewal(site):
    engine, other = [await site.add_engine("desk") for _ in range(2)]
    router, roles = await start_router(site)
    site.arm("outage", times=-1)
    await wait_until(lambda: router.engine_watcher.has_failed, "a call failed", 4.0)
    roles.append(WatchRole.PASSIVE)
    await site.remove_object("servers", engine.id)
    await asyncio.sleep(1.0)
    site.store.faults.armed.clear()
    await wait_until(lambda: not router.engine_watcher.has_failed, "it knows", DRAIN_S)
    assert len(router.engines.usable("desk")) == 2
    await site.put("servers", engine.id, engine.registration(sequence=2))
    roles.append(WatchRole.STANDBY)
    await asyncio.sleep(DRAIN_S + 0.5)
    assert {e.id for e in router.engines.usable("desk")} == {engine.id, other.id}


async def test_an_engine_that_is_removed_as_the_store_serves_a_router_again_is_not_used(site):
    """The store turned this router alone away, so that no registration lapsed in an outage."""
    leaving, other = [await site.add_engine("desk") for _ in range(2)]
    await site.configure(LOOKUP)
    router, _ = [await site.add_router() for _ in range(2)]
    await site.wait_for_peers()
    address = router.store.address
    router.store.address = "127.0.0.1:1"
    await wait_until(lambda: router.engine_watcher.has_failed, "a call failed", 4.0)
    for number in range(14):
        await asyncio.sleep(0.5)
        cold_ms = 500 * number
        await site.put("servers", other.id, other.registration(cold_remaining_ms=cold_ms))
        if number % 4 == 3:
            await site.configure(LOOKUP)
    router.state_sync.fetch_delay_s = lambda: 60.0
    await site.remove_object("servers", leaving.id)
    router.store.address = address
    await wait_until(
        lambda: [e.id for e in router.engines.usable("desk")] == [other.id],
        "the engine is not used",
        DRAIN_S,
    )
