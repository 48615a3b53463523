"""Changes of the engines between two pages of a listing, and answers of the store that come late.

Guards against a router that never learns that an engine drains, sends it requests until it exits,
and passes its list on to other routers as the newest one.
"""

import asyncio

import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from marjoramspool.platform.store import HistoryGoneError, PlatformError, Store
from marjoramspool.store_replicas.store_watcher import StoreWatcher, WatchRole
from marjoramspool.store_replicas.stored_objects import Listing, ObjectChange, StoredObject
from marjoramspool.store_versions import revision_of

ENGINES = 6
PAGE_ITEMS = 2


class Entries(StoreWatcher):
    """Watcher that keeps the spec of each object, and all that it was told of each."""

    def __init__(self, store):
        super().__init__(store, "servers", lambda: WatchRole.INDEPENDENT)
        self.specs = {}
        self.told = []

    def apply_listing(self, objects, revision):
        self.specs = {stored.name: bytes(stored.spec) for stored in objects}
        self.told += self.specs.items()

    def apply_change(self, change):
        name, spec = change.object.name, bytes(change.object.spec)
        self.told.append((name, None if change.is_removed else spec))
        if change.is_removed:
            self.specs.pop(name, None)
        else:
            self.specs[name] = spec


async def add_engines(site):
    """Write the entries of engines, more than a page holds."""
    for _ in range(ENGINES):
        await site.add_engine("desk")
    site.store.page_items = PAGE_ITEMS


def change_between_pages(site, *steps):
    """Make the steps one after the other, each after the answer with a page of the engines."""
    waiting = list(steps)

    async def make_change(kind):
        if kind == "servers" and waiting:
            await waiting.pop(0)()

    site.store.on_page = make_change


async def drain(site, number):
    engine = site.engines[number]
    await site.put("servers", engine.id, engine.registration(state="draining"))


@pytest.mark.parametrize("drained", [0, 3, 5])
async def test_an_engine_that_drains_between_two_pages_is_known_to_drain(site, drained):
    await add_engines(site)
    change_between_pages(site, lambda: drain(site, drained))
    await site.configure(route("/x/", "idempotent", "desk"))
    router = await site.add_router()
    await wait_until(
        lambda: router.engines.engines[f"i-{drained}"].is_draining, "the router knows it", 1.0
    )


async def test_an_engine_that_drains_between_the_pages_after_lost_history_is_known_to_drain(site):
    await add_engines(site)
    await site.configure(route("/x/", "idempotent", "desk"))
    router = await site.add_router()
    change_between_pages(site, lambda: drain(site, 0))
    site.store.compact_history()
    await site.put("servers", "i-9", site.engines[1].registration(address="127.0.0.1:1"))
    site.store.compact_history()
    await wait_until(lambda: router.engines.engines["i-0"].is_draining, "the router knows it", 4.0)


async def test_no_router_takes_a_list_that_misses_a_change_from_one_that_starts(site):
    """Two routers run all the while and know better; the third learns it between two pages."""
    await add_engines(site)
    await site.configure(route("/x/", "idempotent", "desk"))
    for _ in range(2):
        await site.add_router()
    await site.wait_for_peers()
    change_between_pages(site, lambda: drain(site, 0))
    await site.add_router()
    for number in range(10):
        await site.put("other", "o", number)
        await asyncio.sleep(0.1)
    assert all(router.engines.engines["i-0"].is_draining for router in site.routers)


async def test_engines_that_come_and_go_between_pages_are_as_the_store_has_them(site):
    await add_engines(site)

    async def first():
        await site.remove_object("servers", "i-0")
        await site.put("servers", "i-00", site.engines[0].registration(born=2000))
        # It changes on a page that is read later, and goes before that.
        await site.put("servers", "i-4", site.engines[4].registration(born=2000))
        await site.remove_object("servers", "i-4")

    async def second():
        await site.remove_object("servers", "i-5")
        await site.put("servers", "i-5", site.engines[5].registration(born=3000))

    change_between_pages(site, first, second)
    async with Store(f"127.0.0.1:{site.store_port}", 0.5) as store:
        listing = await store.list_objects("servers")
    found = {stored.name: revision_of(stored.revision) for stored in listing.objects}
    assert found == {name: entry.revision for name, entry in site.store.objects["servers"].items()}
    assert revision_of(listing.revision) == site.store.revision


async def test_no_entry_goes_back_and_none_returns_after_a_listing(site):
    """Changes that a later page shows already come again in the next answers."""
    await add_engines(site)

    async def change():
        for cold_ms in (900, 600, 300):
            entry = site.engines[5].registration(cold_remaining_ms=cold_ms)
            await site.put("servers", "i-5", entry)
        await site.remove_object("servers", "i-4")
        await drain(site, 5)

    change_between_pages(site, change)
    async with Store(f"127.0.0.1:{site.store_port}", 0.5) as store:
        watcher = Entries(store)
        task = asyncio.create_task(watcher.run())
        await wait_until(lambda: watcher.revision is not None, "the listing is read")
        await site.put("servers", "i-1", site.engines[1].registration(state="draining"))
        await wait_until(lambda: b"draining" in watcher.specs["i-1"], "the next change is known")
        task.cancel()
    assert [name for name, _ in watcher.told].count("i-5") == 1
    assert b"draining" in watcher.specs["i-5"]
    assert "i-4" not in dict(watcher.told)


async def test_a_listing_is_repeated_if_the_changes_since_its_first_page_are_gone(site):
    await add_engines(site)

    async def change():
        await drain(site, 0)
        site.store.compact_history()

    change_between_pages(site, change)
    async with Store(f"127.0.0.1:{site.store_port}", 0.5) as store:
        with pytest.raises(HistoryGoneError):
            await store.list_objects("servers")
        listing = await store.list_objects("servers")
    (drained,) = [stored for stored in listing.objects if stored.name == "i-0"]
    assert b"draining" in bytes(drained.spec)


class HeldUpStore:
    """Store whose answers, up to revision 12, are held up until they are released."""

    def __init__(self, *changes):
        self.changes = list(changes) or [ObjectChange(entry("a", 12, b'"cold"'), False)]
        self.released = asyncio.Event()

    async def list_objects(self, kind):
        await self.released.wait()
        return Listing([entry("a", 10, b'"ready"')], 10)

    async def watch(self, kind, revision, wait_s):
        await self.released.wait()
        return self.changes, 12


def entry(name, revision, spec):
    return StoredObject(name, revision, spec, b"null")


async def answer_late(watcher, store, newer):
    """Let an answer of the store come after a newer state of another router."""
    call = asyncio.create_task(watcher.sync_once())
    await asyncio.sleep(0)
    watcher.specs = {"a": b'"draining"'}
    watcher.revision = newer
    store.released.set()
    await call


async def test_a_late_answer_to_a_watch_does_not_undo_a_newer_list():
    """Guards against a list that keeps its revision and gets an older state of an engine."""
    store = HeldUpStore()
    watcher = Entries(store)
    watcher.revision, watcher.is_listing_due = 10, False
    await answer_late(watcher, store, 20)
    assert (watcher.specs, watcher.revision) == ({"a": b'"draining"'}, 20)


async def test_an_answer_that_ends_after_a_newer_list_is_applied():
    """Guards against a router that read that an engine drains, and left it out."""
    store = HeldUpStore(ObjectChange(entry("a", 12, b'"leaving"'), False))
    watcher = Entries(store)
    watcher.revision, watcher.is_listing_due = 10, False
    await answer_late(watcher, store, 11)
    assert (watcher.specs, watcher.revision) == ({"a": b'"leaving"'}, 12)


async def test_changes_that_a_newer_list_shows_already_lead_to_the_same_state():
    """Guards against an engine that is removed since an earlier one of its name was."""
    store = HeldUpStore(
        ObjectChange(entry("a", 9, b'"earlier"'), True),
        ObjectChange(entry("a", 11, b'"draining"'), False),
        ObjectChange(entry("b", 12, b'"ready"'), False),
    )
    watcher = Entries(store)
    watcher.revision, watcher.is_listing_due = 10, False
    await answer_late(watcher, store, 11)
    assert watcher.specs == {"a": b'"draining"', "b": b'"ready"'}


@pytest.mark.parametrize("known", [None, 5])
async def test_a_late_listing_does_not_undo_a_newer_list(known):
    store = HeldUpStore()
    watcher = Entries(store)
    watcher.revision = known
    await answer_late(watcher, store, 20)
    assert (watcher.specs, watcher.revision) == ({"a": b'"draining"'}, 20)


async def test_a_listing_counts_that_is_newer_than_the_list_of_another_router():
    store = HeldUpStore()
    watcher = Entries(store)
    await answer_late(watcher, store, 7)
    assert (watcher.specs, watcher.revision) == ({"a": b'"ready"'}, 10)


async def test_a_store_that_tells_no_changes_since_a_page_is_not_asked_for_ever(site, monkeypatch):
    await add_engines(site)
    change_between_pages(site, lambda: drain(site, 0))
    async with Store(f"127.0.0.1:{site.store_port}", 0.5) as store:

        async def watch(kind, revision, wait_s):
            return [], revision

        monkeypatch.setattr(Store, "watch", lambda self, *details: watch(*details))
        with pytest.raises(PlatformError, match="tells no changes"):
            await store.list_objects("servers")
