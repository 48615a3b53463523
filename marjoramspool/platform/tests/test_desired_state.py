"""The desired state and the registered engines are in force on every router, and never revert."""

import asyncio

import pytest

from bench.local import until
from bench.platform_fleet import KEY, route

LOOKUP = route("/lookup/", "idempotent", "desk")
DEEPER = route("/lookup/deeper/", "idempotent", "other")
IN_FORCE_S = 2.0
# The users count a store as stable when it has been without trouble for this long.
STABLE_S = 3.0


async def start(site, routers=1):
    await site.add_engine("desk")
    await site.configure(LOOKUP)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.meet()


async def status_of(site, path, index=0, key=KEY):
    status, _, _ = await site.ask(path, "r", index, method="GET", headers={"Api-Key": key})
    return status


async def test_the_longest_prefix_decides(site):
    other = await site.add_engine("other")
    await start(site)
    await site.configure(LOOKUP, DEEPER)
    await until(
        lambda: len(site.routers[0].table_watcher.table.routes) == 2, "the routes are in force"
    )
    assert await status_of(site, "/lookup/x") == 200
    assert not other.arrivals
    assert await status_of(site, "/lookup/deeper/x") == 200
    assert len(other.arrivals) == 1
    assert await status_of(site, "/lookupx") == 404
    assert await status_of(site, "/lookup") == 404


async def test_splits_share_requests_by_weight(site):
    first, second = await site.add_engine("desk"), await site.add_engine("other")
    splits = [{"service": "desk", "weight": 90}, {"service": "other", "weight": 10}]
    await site.configure(route("/lookup/", "idempotent", None, backends=splits))
    await site.add_router()
    for number in range(200):
        await site.ask("/lookup/x", f"r{number}", method="GET")
    assert 5 <= len(second.arrivals) <= 45
    assert len(first.arrivals) + len(second.arrivals) == 200


async def test_a_key_that_is_taken_away_is_refused(site):
    await start(site)
    assert await status_of(site, "/lookup/x") == 200
    assert await status_of(site, "/lookup/x", key="never") == 401
    await site.configure(LOOKUP, keys=("key-two",))
    await until(
        lambda: KEY not in site.routers[0].table_watcher.table.accounts, "it is gone", IN_FORCE_S
    )
    assert await status_of(site, "/lookup/x") == 401
    assert await status_of(site, "/lookup/x", key="key-two") == 200


async def test_a_public_route_takes_any_key_and_passes_none_on(site):
    engine = await site.add_engine("desk")
    await site.configure(route("/lookup/", "idempotent", "desk", public=True))
    await site.add_router()
    assert await status_of(site, "/lookup/x", key="never") == 200
    assert "api-key" not in engine.arrivals[0].headers
    assert "x-tenant" not in engine.arrivals[0].headers


async def test_a_router_without_routes_says_not_now(site):
    site.arm("outage", times=-1)
    router = await site.add_router(wait=False)
    await asyncio.sleep(0.1)
    status, headers, _ = await site.ask("/lookup/x", "r")
    assert status == 503
    assert "Retry-After" in headers
    assert await site.readiness() == 503
    site.arm("clear")
    await site.configure(LOOKUP)
    await until(lambda: router.is_ready, "it is ready once the store answers")


async def test_requests_are_served_while_the_store_is_out(site):
    await start(site)
    site.arm("outage", times=-1)
    await asyncio.sleep(0.5)
    assert await status_of(site, "/lookup/x") == 200
    assert await site.readiness() == 200


async def test_a_router_that_the_store_turns_away_learns_from_another(site):
    await start(site, routers=2)
    left_out = site.routers[1]
    await left_out.store.session.close()
    await site.configure(LOOKUP, keys=("key-two",))
    gone = await site.add_engine("desk")
    await until(
        lambda: KEY not in left_out.table_watcher.table.accounts, "the key is gone", IN_FORCE_S
    )
    await until(lambda: gone.id in left_out.engines.engines, "the engine is known", IN_FORCE_S)
    assert await status_of(site, "/lookup/x", 1) == 401


async def test_a_router_whose_watches_are_silent_learns_from_another(site):
    await start(site, routers=2)
    deaf = site.routers[1]
    site.arm("silent", times=-1, path="/watch")
    await site.configure(LOOKUP, DEEPER)
    site.store.faults.armed.clear()
    await site.configure(LOOKUP, keys=("key-two",))
    fresh = await site.add_router()
    assert KEY not in fresh.table_watcher.table.accounts
    await until(lambda: KEY not in deaf.table_watcher.table.accounts, "the key is gone", IN_FORCE_S)


async def test_watches_that_went_silent_everywhere_in_an_outage_are_given_up_soon_after_it(site):
    await start(site, routers=3)
    site.arm("silent", times=-1, path="/watch")
    await site.configure(LOOKUP, DEEPER)
    await asyncio.sleep(0.2)
    site.store.faults.armed.clear()
    site.store.silent.clear()
    await asyncio.sleep(STABLE_S)
    await site.configure(LOOKUP, keys=("key-two",))
    for router in site.routers:
        await until(
            lambda r=router: KEY not in r.table_watcher.table.accounts, "it is gone", IN_FORCE_S
        )


async def test_a_start_while_the_store_turns_this_host_away(site):
    await start(site)
    await site.put("marjoramspool-routers", "x", {"address": "127.0.0.11", "failure_domain": "z"})
    router = await site.add_router(wait=False)
    router.directory.add_peer("127.0.0.11", "zone-1", 1000)
    await router.store.session.close()
    await until(lambda: router.is_ready, "another router hands it routes and engines", 4.0)


async def test_an_older_version_is_never_taken(site):
    await start(site)
    tables = site.routers[0].table_watcher
    old_revision, old = tables.table_revision, tables.spec
    await site.configure(LOOKUP, DEEPER)
    await until(lambda: tables.table_revision > old_revision, "the new version is in force")
    assert not tables.apply_if_newer(old_revision, old, "a peer")
    assert len(tables.table.routes) == 2


async def test_a_version_that_cannot_be_read_leaves_the_last_good_one(site):
    await start(site)
    await site.put("config", "main", {"version": "x", "routes": 7})
    await asyncio.sleep(0.2)
    assert await status_of(site, "/lookup/x") == 200


async def test_a_discarded_history_is_listed_anew(site):
    await start(site)
    site.store.forget_history()
    site.store.forgotten = 10**9
    async with site.store.changed:
        site.store.changed.notify_all()
    await site.configure(LOOKUP, DEEPER)
    site.store.forgotten = 0
    tables = site.routers[0].table_watcher
    await until(lambda: len(tables.table.routes) == 2, "the new version is in force", 4.0)


@pytest.mark.parametrize(
    "entry",
    [
        {"service": "desk"},
        {"service": "desk", "address": 7, "state": "ready", "slots": 1},
        {"service": "desk", "address": "1.2.3.4:5", "state": "resting", "slots": 1},
        {"service": "desk", "address": "nowhere", "state": "ready", "slots": 1},
        "junk",
        None,
    ],
)
async def test_an_unreadable_registration_names_no_engine(site, entry):
    await start(site)
    await site.put("servers", "i-junk", entry)
    await site.add_engine("desk")
    engines = site.routers[0].engines
    await until(lambda: len(engines.usable("desk")) == 2, "the readable one is known")
    assert "i-junk" not in engines.engines


async def test_a_leaving_engine_gets_nothing_new(site):
    await start(site)
    other = await site.add_engine("desk")
    engines = site.routers[0].engines
    await until(lambda: len(engines.usable("desk")) == 2, "both are known")
    await site.put("servers", other.id, other.entry(state="draining"))
    await until(lambda: len(engines.usable("desk")) == 1, "it leaves", IN_FORCE_S)
    before = len(other.arrivals)
    for _ in range(10):
        assert await status_of(site, "/lookup/x") == 200
    assert len(other.arrivals) == before


async def test_an_engine_that_started_anew_holds_nothing(site):
    engine = await site.add_engine("model", is_stream=True)
    await site.configure(route("/chat/", "streaming", "model"))
    router = await site.add_router()
    headers = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": "aa:50,bb:10"}
    await site.ask("/chat/x", "r", headers=headers)
    assert router.selector.caches.caches
    await site.put("servers", engine.id, engine.entry(born=2000))
    await until(lambda: not router.selector.caches.caches, "its cache is forgotten")
