"""Calls to the store by the role of a router in watching it, and watches that go silent."""

import asyncio

import pytest

from bench.local import wait_until
from marjoramspool.platform.store import Store
from marjoramspool.store_replicas.store_watcher import StoreWatcher, WatchRole

CHANGES = 20
CHANGE_PERIOD_S = 0.05
# By the requirements, a store counts as stable after this time without faults.
STABLE_S = 3.0


class Recorder(StoreWatcher):
    """Watcher that records what it applies."""

    def __init__(self, store, role):
        super().__init__(store, "things", lambda: role)
        self.applied = []

    def apply_listing(self, objects, revision):
        self.applied += [stored.name for stored in objects]

    def apply_change(self, change):
        self.applied.append(change.object.name)


@pytest.mark.parametrize(
    ("role", "most_calls"), [(WatchRole.DESIGNATED, CHANGES + 5), (WatchRole.STANDBY, 4)]
)
async def test_a_standby_makes_few_calls_in_a_burst_of_changes(site, role, most_calls):
    async with Store(f"127.0.0.1:{site.store_port}", 0.5) as store:
        watcher = Recorder(store, role)
        task = asyncio.create_task(watcher.run())
        await wait_until(lambda: watcher.revision is not None, "the first listing is read")
        before = store.calls
        for number in range(CHANGES):
            await site.put("things", f"t{number}", number)
            await asyncio.sleep(CHANGE_PERIOD_S)
        calls = store.calls - before
        await wait_until(lambda: len(watcher.applied) == CHANGES, "all changes are known", 2.5)
        task.cancel()
    assert calls <= most_calls


@pytest.mark.parametrize("role", [WatchRole.INDEPENDENT, WatchRole.DESIGNATED, WatchRole.STANDBY])
async def test_a_watch_that_went_silent_is_renewed_before_the_store_counts_as_stable(site, role):
    """Watches of all routers go silent at once, so that none can tell the others."""
    async with Store(f"127.0.0.1:{site.store_port}", 1.0) as store:
        watcher = Recorder(store, role)
        task = asyncio.create_task(watcher.run())
        await wait_until(lambda: watcher.revision is not None, "the first listing is read")
        site.arm("silent", times=-1, path="/watch")
        await wait_until(lambda: site.store.silent_connections, "the next watch is silent")
        site.store.faults.armed.clear()
        await site.put("things", "new", 1)
        await wait_until(lambda: "new" in watcher.applied, "the change is known", STABLE_S)
        task.cancel()
