"""A store that comes back from an older copy of itself reverts nothing and grants nothing."""

import asyncio

import pytest
from aiohttp import web

from bench.local import wait_until
from bench.platform_fleet import KEY, route
from bench.ports import free_ports
from marjoramspool.peers.discovery import KIND as ROUTERS
from marjoramspool.platform.store import (
    Conflict,
    HistoryGoneError,
    PlatformError,
    Store,
    WriteUncertainError,
    Written,
)
from marjoramspool.store_versions import combine

LOOKUP = route("/lookup/", "idempotent", "desk")
ADDED = route("/added/", "idempotent", "desk")
# The promised time for a new desired state to be in force.
ACTIVATION_TIMEOUT_S = 2.0
RENEWAL_S = 2.5


async def start_site(site, routers=1, engines=2):
    added = [await site.add_engine("desk") for _ in range(engines)]
    await site.configure(LOOKUP)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.wait_for_peers()
    return added


async def write_much(site, count=30):
    """Write objects of another kind, so that the revision counter runs ahead of a copy."""
    for number in range(count):
        await site.put("other", f"o{number}", number)


async def statuses(site, count=20, path="/lookup/x", index=0):
    return {(await site.send(path, f"q{index}-{n}", index, method="GET"))[0] for n in range(count)}


@pytest.fixture
async def store(site):
    async with Store(f"127.0.0.1:{site.store_port}", 0.5) as store:
        yield store


async def test_versions_rise_although_revisions_go_back(site, store):
    await site.put("things", "a", 1)
    snapshot = site.store.snapshot()
    await write_much(site)
    before = await store.list_objects("things")
    await site.store.restore(snapshot)
    after = await store.list_objects("things")
    assert after.revision > before.revision
    assert after.objects[0].revision > before.objects[0].revision


async def test_a_watch_from_before_the_restoration_lists_again(site, store):
    await site.put("things", "a", 1)
    snapshot = site.store.snapshot()
    await site.put("things", "a", 2)
    listing = await store.list_objects("things")
    waiting = asyncio.create_task(store.watch("things", listing.revision, 5.0))
    await asyncio.sleep(0.1)
    await site.store.restore(snapshot)
    with pytest.raises(HistoryGoneError):
        await waiting
    # Its revision is given out again, and more: only the epoch tells that it is another one.
    await write_much(site)
    with pytest.raises(HistoryGoneError):
        await store.watch("things", listing.revision, 0.1)


async def test_a_revision_that_is_given_out_twice_guards_no_write(site, store):
    await site.put("things", "a", "first")
    snapshot = site.store.snapshot()
    await site.put("things", "a", "second")
    read = await store.read("things", "a")
    await site.store.restore(snapshot)
    revision = await site.put("things", "a", "third")
    assert combine(1, revision) == read.revision
    # The client does not know of the restoration, and the number matches.
    with pytest.raises(WriteUncertainError):
        await store.write("things", "a", "mine", read.revision)
    # Now it does.
    assert isinstance(await store.write("things", "a", "mine", read.revision), Conflict)
    read = await store.read("things", "a")
    assert isinstance(await store.write("things", "a", "fourth", read.revision), Written)


async def test_an_answer_from_before_the_restoration_is_not_used():
    (port,) = free_ports(1)
    eras = iter(["2", "1", "2"])

    async def answer(_):
        body = {"items": [], "at": 9}
        return web.json_response(body, headers={"Store-Era": next(eras)})

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        async with Store(f"127.0.0.1:{port}", 0.5) as store:
            assert (await store.list_objects("things")).revision == combine(2, 9)
            with pytest.raises(PlatformError):
                await store.list_objects("things")
            assert (await store.list_objects("things")).revision == combine(2, 9)
    finally:
        await runner.cleanup()


async def test_a_new_state_is_in_force_although_its_revision_is_lower(site):
    await start_site(site)
    snapshot = site.store.snapshot()
    await write_much(site)
    await site.configure(LOOKUP, keys=("key-two", KEY))
    await asyncio.sleep(0.2)
    await site.store.restore(snapshot)
    await site.configure(LOOKUP, ADDED)
    table = site.routers[0].table_watcher
    await wait_until(
        lambda: table.table.version == site.version, "the new state is active", ACTIVATION_TIMEOUT_S
    )
    assert await statuses(site, 3, "/added/x") == {200}


async def test_an_older_state_of_the_copy_is_never_in_force(site):
    await start_site(site, routers=2)
    snapshot = site.store.snapshot()
    await site.configure(LOOKUP, keys=("key-two",))
    for router in site.routers:
        await wait_until(lambda r=router: KEY not in r.table_watcher.table.accounts, "key removed")
    await site.store.restore(snapshot)
    for _ in range(20):
        for index in range(2):
            assert await statuses(site, 1, index=index) == {401}
        await asyncio.sleep(0.05)


async def test_a_router_that_starts_from_the_copy_takes_the_newer_state_of_its_peers(site):
    await start_site(site)
    await wait_until(lambda: site.store.objects.get(ROUTERS), "the first router is registered")
    snapshot = site.store.snapshot()
    await site.configure(LOOKUP, keys=("key-two",))
    await wait_until(lambda: KEY not in site.routers[0].table_watcher.table.accounts, "key removed")
    await site.store.restore(snapshot)
    late = await site.add_router()
    await wait_until(
        lambda: KEY not in late.table_watcher.table.accounts,
        "the late router has the newer state",
        ACTIVATION_TIMEOUT_S,
    )


async def test_departures_that_the_copy_forgot_hold(site):
    drained, gone, staying = await start_site(site, engines=3)
    snapshot = site.store.snapshot()
    await site.put("servers", drained.id, drained.registration(state="draining"))
    await site.remove_object("servers", gone.id)
    engines = site.routers[0].engines
    await wait_until(lambda: len(engines.usable("desk")) == 1, "both departures are known")
    await site.store.restore(snapshot)
    await wait_until(lambda: gone.id in engines.engines, "the copy is read")
    counts = len(drained.arrivals), len(gone.arrivals)
    assert await statuses(site, 40) == {200}
    assert (len(drained.arrivals), len(gone.arrivals)) == counts
    assert len(staying.arrivals) >= 40
    # A restart takes a departure back.
    await site.put("servers", drained.id, drained.registration(born=5000))
    await wait_until(lambda: len(engines.usable("desk")) == 2, "the restarted engine is usable")


async def test_registrations_that_the_copy_lost_hold_until_they_are_renewed(site):
    await start_site(site, engines=1)
    snapshot = site.store.snapshot()
    renewing = await site.add_engine("desk")
    silent = await site.add_engine("desk")
    engines = site.routers[0].engines
    await wait_until(lambda: len(engines.usable("desk")) == 3, "all engines are known")
    await site.store.restore(snapshot)
    await wait_until(lambda: site.routers[0].store.epoch == 2, "the restoration is known")
    await asyncio.sleep(0.2)
    assert len(engines.usable("desk")) == 3
    await site.put("servers", renewing.id, renewing.registration())
    await asyncio.sleep(RENEWAL_S)
    assert {e.id for e in engines.usable("desk")} == {"i-0", renewing.id}
    assert silent.id not in engines.engines


async def test_a_router_without_the_store_learns_of_the_restoration_from_its_peers(site):
    first, second = await start_site(site, routers=2)
    isolated = site.routers[1]
    await isolated.store.session.close()
    snapshot = site.store.snapshot()
    await write_much(site)
    await site.remove_object("servers", second.id)
    await wait_until(lambda: second.id not in isolated.engines.engines, "the removal is known")
    await site.store.restore(snapshot)
    added = await site.add_engine("desk")
    await wait_until(
        lambda: added.id in isolated.engines.engines, "the engine is known", ACTIVATION_TIMEOUT_S
    )
    assert isolated.store.epoch == 2
    assert second.id not in {e.id for e in isolated.engines.usable("desk")}
    assert first.id in {e.id for e in isolated.engines.usable("desk")}


async def test_routers_register_again(site):
    snapshot = site.store.snapshot()
    await start_site(site, routers=2)
    await wait_until(lambda: len(site.store.objects.get(ROUTERS, {})) == 2, "both are registered")
    site.store.objects["config"]["main"].revision = 0
    kept = {"config": site.store.objects["config"], "servers": site.store.objects["servers"]}
    snapshot.objects = kept
    await site.store.restore(snapshot)
    assert ROUTERS not in site.store.objects
    await wait_until(lambda: len(site.store.objects.get(ROUTERS, {})) == 2, "both register again")
