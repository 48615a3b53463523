"""The route table and the engine registrations reach every router and never revert."""

import asyncio

import pytest

from bench.local import wait_until
from bench.platform_fleet import KEY, route
from marjoramspool.platform.store import PlatformError, Store

LOOKUP = route("/lookup/", "idempotent", "desk")
LOOKUP_DEEPER = route("/lookup/deeper/", "idempotent", "other")
ACTIVATION_TIMEOUT_S = 2.0
# By the requirements, a store counts as stable after this time without faults.
STABILIZATION_S = 3.0


async def start_site(site, routers=1):
    await site.add_engine("desk")
    await site.configure(LOOKUP)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.wait_for_peers()


async def status_of(site, path, index=0, key=KEY):
    status, _, _ = await site.send(path, "r", index, method="GET", headers={"Api-Key": key})
    return status


async def test_the_longest_prefix_matches(site):
    other = await site.add_engine("other")
    await start_site(site)
    await site.configure(LOOKUP, LOOKUP_DEEPER)
    await wait_until(
        lambda: len(site.routers[0].table_watcher.table.routes) == 2, "the routes are active"
    )
    assert await status_of(site, "/lookup/x") == 200
    assert not other.arrivals
    assert await status_of(site, "/lookup/deeper/x") == 200
    assert len(other.arrivals) == 1
    assert await status_of(site, "/lookupx") == 404
    assert await status_of(site, "/lookup") == 404


async def test_traffic_splits_follow_the_weights(site):
    first, second = await site.add_engine("desk"), await site.add_engine("other")
    splits = [{"service": "desk", "weight": 90}, {"service": "other", "weight": 10}]
    await site.configure(route("/lookup/", "idempotent", None, backends=splits))
    await site.add_router()
    for number in range(200):
        await site.send("/lookup/x", f"r{number}", method="GET")
    assert 5 <= len(second.arrivals) <= 45
    assert len(first.arrivals) + len(second.arrivals) == 200


async def test_a_removed_api_key_is_rejected(site):
    await start_site(site)
    assert await status_of(site, "/lookup/x") == 200
    assert await status_of(site, "/lookup/x", key="never") == 401
    await site.configure(LOOKUP, keys=("key-two",))
    await wait_until(
        lambda: KEY not in site.routers[0].table_watcher.table.accounts,
        "the key is removed",
        ACTIVATION_TIMEOUT_S,
    )
    assert await status_of(site, "/lookup/x") == 401
    assert await status_of(site, "/lookup/x", key="key-two") == 200


async def test_a_public_route_accepts_any_key_and_forwards_none(site):
    engine = await site.add_engine("desk")
    await site.configure(route("/lookup/", "idempotent", "desk", public=True))
    await site.add_router()
    assert await status_of(site, "/lookup/x", key="never") == 200
    assert "api-key" not in engine.arrivals[0].headers
    assert "x-tenant" not in engine.arrivals[0].headers


async def test_a_router_without_routes_answers_503(site):
    site.arm("outage", times=-1)
    router = await site.add_router(wait=False)
    await asyncio.sleep(0.1)
    status, headers, _ = await site.send("/lookup/x", "r")
    assert status == 503
    assert "Retry-After" in headers
    assert await site.readiness() == 503
    site.arm("clear")
    await site.configure(LOOKUP)
    await wait_until(lambda: router.is_ready, "the router is ready once the store answers")


async def test_requests_are_served_during_a_store_outage(site):
    await start_site(site)
    site.arm("outage", times=-1)
    await asyncio.sleep(0.5)
    assert await status_of(site, "/lookup/x") == 200
    assert await site.readiness() == 200


async def test_a_router_cut_off_from_the_store_is_updated_by_another(site):
    await start_site(site, routers=2)
    isolated = site.routers[1]
    await isolated.store.session.close()
    await site.configure(LOOKUP, keys=("key-two",))
    added = await site.add_engine("desk")
    await wait_until(
        lambda: KEY not in isolated.table_watcher.table.accounts,
        "the key is removed",
        ACTIVATION_TIMEOUT_S,
    )
    await wait_until(
        lambda: added.id in isolated.engines.engines, "the engine is known", ACTIVATION_TIMEOUT_S
    )
    assert await status_of(site, "/lookup/x", 1) == 401


async def test_a_router_with_stalled_watches_is_updated_by_another(site):
    await start_site(site, routers=2)
    stalled = site.routers[1]
    site.arm("silent", times=-1, path="/watch")
    await site.configure(LOOKUP, LOOKUP_DEEPER)
    site.store.faults.armed.clear()
    await site.configure(LOOKUP, keys=("key-two",))
    late_router = await site.add_router()
    assert KEY not in late_router.table_watcher.table.accounts
    await wait_until(
        lambda: KEY not in stalled.table_watcher.table.accounts,
        "the key is removed",
        ACTIVATION_TIMEOUT_S,
    )


async def test_watches_stalled_on_all_routers_are_renewed_after_an_outage(site):
    await start_site(site, routers=3)
    site.arm("silent", times=-1, path="/watch")
    await site.configure(LOOKUP, LOOKUP_DEEPER)
    await asyncio.sleep(0.2)
    site.store.faults.armed.clear()
    site.store.silent_connections.clear()
    await asyncio.sleep(STABILIZATION_S)
    await site.configure(LOOKUP, keys=("key-two",))
    for router in site.routers:
        await wait_until(
            lambda r=router: KEY not in r.table_watcher.table.accounts,
            "the key is removed",
            ACTIVATION_TIMEOUT_S,
        )


async def test_a_router_cut_off_from_the_store_starts_with_state_from_another(site):
    await start_site(site)
    await site.put("marjoramspool-routers", "x", {"address": "127.0.0.11", "failure_domain": "z"})
    router = await site.add_router(wait=False)
    router.directory.add_peer("127.0.0.11", "zone-1", 1000)
    await router.store.session.close()
    await wait_until(lambda: router.is_ready, "another router sends it routes and engines", 4.0)


async def test_an_older_version_is_ignored(site):
    await start_site(site)
    watcher = site.routers[0].table_watcher
    old_revision, old = watcher.table_revision, watcher.spec
    await site.configure(LOOKUP, LOOKUP_DEEPER)
    await wait_until(lambda: watcher.table_revision > old_revision, "the new version is active")
    assert not watcher.apply_if_newer(old_revision, old, "a peer")
    assert len(watcher.table.routes) == 2


async def test_a_malformed_version_keeps_the_last_valid_one(site):
    await start_site(site)
    await site.put("config", "main", {"version": "x", "routes": 7})
    await asyncio.sleep(0.2)
    assert await status_of(site, "/lookup/x") == 200


async def test_a_discarded_history_causes_a_new_listing(site):
    await start_site(site)
    site.store.compact_history()
    site.store.compacted_revision = 10**9
    async with site.store.changed:
        site.store.changed.notify_all()
    await site.configure(LOOKUP, LOOKUP_DEEPER)
    site.store.compacted_revision = 0
    watcher = site.routers[0].table_watcher
    await wait_until(lambda: len(watcher.table.routes) == 2, "the new version is active", 4.0)


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
async def test_a_malformed_registration_is_ignored(site, entry):
    await start_site(site)
    await site.put("servers", "i-junk", entry)
    await site.add_engine("desk")
    engines = site.routers[0].engines
    await wait_until(lambda: len(engines.usable("desk")) == 2, "the valid registration is known")
    assert "i-junk" not in engines.engines


async def test_a_draining_engine_gets_no_new_requests(site):
    await start_site(site)
    other = await site.add_engine("desk")
    engines = site.routers[0].engines
    await wait_until(lambda: len(engines.usable("desk")) == 2, "both engines are known")
    await site.put("servers", other.id, other.registration(state="draining"))
    await wait_until(
        lambda: len(engines.usable("desk")) == 1,
        "the draining engine is not used",
        ACTIVATION_TIMEOUT_S,
    )
    before = len(other.arrivals)
    for _ in range(10):
        assert await status_of(site, "/lookup/x") == 200
    assert len(other.arrivals) == before


async def test_a_restarted_engine_has_an_empty_cache(site):
    engine = await site.add_engine("model", is_stream=True)
    await site.configure(route("/chat/", "streaming", "model"))
    router = await site.add_router()
    headers = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": "aa:50,bb:10"}
    await site.send("/chat/x", "r", headers=headers)
    assert router.selector.caches.caches
    await site.put("servers", engine.id, engine.registration(born=2000))
    await wait_until(
        lambda: not router.selector.caches.caches, "the entries of its cache are removed"
    )


async def test_a_router_that_must_list_again_while_the_store_is_away_stays_ready(site, monkeypatch):
    """The store has dropped its history, and goes away before a router has listed anew."""
    await start_site(site)

    async def fail(*_, **__):
        raise PlatformError("the store is away")

    monkeypatch.setattr(Store, "list_objects", fail)
    site.store.compact_history()
    site.store.compacted_revision = 10**9
    async with site.store.changed:
        site.store.changed.notify_all()
    await wait_until(lambda: site.routers[0].engine_watcher.has_failed, "the listing failed", 4.0)
    assert await site.readiness() == 200
    assert (await site.send("/lookup/x", "r1"))[0] == 200
