"""A new route table is in force in time in a fleet with relays, whichever routers end."""

import asyncio

import pytest

from bench.local import wait_until
from bench.platform_fleet import KEY, route
from marjoramspool.peers import relays

ROUTERS = 16
LOOKUP = route("/lookup/", "idempotent", "desk")
# The promised time for a new desired state to be in force in a fleet of this kind.
ACTIVATION_TIMEOUT_S = 3.0
PHASE_STEP_S = 0.4


async def start_fleet(site):
    await site.add_engine("desk")
    await site.configure(LOOKUP)
    for _ in range(ROUTERS):
        await site.add_router()
    await site.wait_for_peers()
    await wait_until(lambda: len(watchers(site)) == relays.MAX_STORE_WATCHERS, "roles are settled")
    # Heartbeats of other domains arrive through relays from now on.
    await asyncio.sleep(2.0)


def watchers(site):
    """Return the routers that watch or poll the store, as all routers agree."""
    selected = [
        relays.select_store_watchers(r.directory, r.is_store_available) for r in site.routers
    ]
    common = set.intersection(*selected)
    return [r for r in site.routers if r.settings.address in common]


def relay_routers(site):
    selected = {relays.select_relay(r.directory, r.settings.failure_domain) for r in site.routers}
    return [r for r in site.routers if r.settings.address in selected]


async def crash(site, routers):
    for router in routers:
        site.routers.remove(router)
    await asyncio.gather(*[router.__aexit__(None, None, None) for router in routers])


async def wait_in_force(site):
    async with asyncio.timeout(ACTIVATION_TIMEOUT_S):
        for router in site.routers:
            await wait_until(
                lambda r=router: r.table_watcher.table.version == site.version,
                f"{router.settings.name} has the new table",
                ACTIVATION_TIMEOUT_S,
            )


@pytest.mark.parametrize("ending", ["watchers", "relays", "watchers and relays"])
async def test_a_table_is_in_force_in_time_although_those_who_tell_of_it_end(site, ending):
    """Routers that watch the store for the fleet, or pass its news on, end together."""
    await start_fleet(site)
    ends = watchers(site) if "watchers" in ending else []
    ends += [r for r in relay_routers(site) if "relays" in ending and r not in ends]
    await crash(site, ends)
    await site.configure(LOOKUP, keys=("key-two",))
    await wait_in_force(site)
    assert all(KEY not in r.table_watcher.table.accounts for r in site.routers)


async def test_a_router_that_is_cut_off_from_the_others_reads_the_store_itself(site):
    """It relies on what the routers that watch the store tell it, and hears nothing any more.

    How soon heartbeats show that depends on when the last ones came, so four are cut off in turn.
    """
    await start_fleet(site)
    busy = watchers(site) + relay_routers(site)
    isolated = [router for router in site.routers if router not in busy][:4]
    for number, router in enumerate(isolated):
        await asyncio.sleep(PHASE_STEP_S)
        router.load_broadcast.transport.set_protocol(asyncio.DatagramProtocol())
        await site.configure(LOOKUP, keys=(f"key-{number}",))
        await wait_in_force(site)


async def test_a_router_that_can_fetch_nothing_from_the_others_reads_the_store_itself(site):
    """It hears of the new table, but no router that has it can be reached."""
    await start_fleet(site)
    await asyncio.gather(*[router.state_sync.runner.cleanup() for router in site.routers])
    await site.configure(LOOKUP, keys=("key-two",))
    await wait_in_force(site)


async def test_a_table_is_in_force_in_time_after_the_store_returned_from_a_copy(site):
    await start_fleet(site)
    snapshot = site.store.snapshot()
    for number in range(30):
        await site.put("other", f"o{number}", number)
    await site.configure(LOOKUP, keys=("key-two",))
    await wait_in_force(site)
    await site.store.restore(snapshot)
    await site.configure(LOOKUP, keys=("key-three",))
    await wait_in_force(site)
