"""Accounts that ask for little are served while another asks for more than a service can run.

Guards against shares by order of arrival, where a hot account takes the place of all others, and
against admission that leaves slots idle.
"""

import asyncio
from collections import defaultdict
from contextlib import AsyncExitStack

import pytest

from bench.platform_fleet import route
from bench.traffic import traffic

LOOKUP = route("/lookup/", "idempotent", "desk")
ENGINES = 4
ROOM = 3
WORK_S = 0.1
CAPACITY_PER_S = ENGINES * ROOM / WORK_S
HOT_PER_S = 200.0
HOT_SENDERS = 8
SMALL_PER_S = 10.0
SETTLING_S = 2.0
MEASURED_S = 6.0
# By the requirements.
MIN_SERVED = 0.90
MIN_USED = 0.80
MAX_REFUSAL_S = 0.5


async def start_site(site, routers, engines=ENGINES):
    for _ in range(engines):
        engine = await site.add_engine("desk", register=False, room=ROOM, work_s=WORK_S)
        await site.put("servers", engine.id, engine.registration(slots=ROOM))
    tenants = [{"name": name, "api_keys": [name]} for name in ("hot", "small-a", "small-b")]
    await site.configure(LOOKUP, tenants=tenants)
    for _ in range(routers):
        await site.add_router()
    await site.wait_for_peers()


def requests(site, account, per_s, sender=0):
    """Send requests of an account at all routers until the end of the block."""

    async def send(number):
        router = (number + sender) % len(site.routers)
        request = f"{account}-{sender}-{number}"
        return await site.send("/lookup/x", request, router, headers={"Api-Key": account})

    return traffic(send, per_s)


async def play(site):
    """Play the load of a hot account; return the results of each after it has settled."""
    async with AsyncExitStack() as stack:
        # One sender is late by its timer at each request: several come nearer to a high rate.
        senders = [("hot", HOT_PER_S / HOT_SENDERS, number) for number in range(HOT_SENDERS)]
        senders += [("small-a", SMALL_PER_S, 0), ("small-b", SMALL_PER_S, 0)]
        results = [
            (sender[0], await stack.enter_async_context(requests(site, *sender)))
            for sender in senders
        ]
        await asyncio.sleep(SETTLING_S)
        before = [len(found) for _, found in results]
        await asyncio.sleep(MEASURED_S)
        measured = defaultdict(list)
        for (account, found), first in zip(results, before, strict=True):
            measured[account] += found[first:]
        return measured


def served(results):
    return sum(result.status == 200 for result in results)


@pytest.mark.parametrize("routers", [3, 8])
async def test_small_accounts_are_served_beside_a_hot_one(site, routers):
    await start_site(site, routers)
    results = await play(site)
    used = sum(map(served, results.values())) / (CAPACITY_PER_S * MEASURED_S)
    parts = {account: served(found) / len(found) for account, found in results.items()}
    refused = [r for found in results.values() for r in found if r.status != 200]
    assert {result.status for result in refused} == {503}
    assert all(float(result.headers["Retry-After"]) > 0.0 for result in refused)
    assert max(result.waited_s for result in refused) < MAX_REFUSAL_S
    assert min(parts["small-a"], parts["small-b"]) >= MIN_SERVED
    assert used >= MIN_USED


async def test_a_service_without_pressure_refuses_nobody(site):
    await start_site(site, 3)
    async with requests(site, "hot", 0.3 * CAPACITY_PER_S) as results:
        await asyncio.sleep(3.0)
    assert {result.status for result in results} == {200}
    assert not any(router.selector.accounts.contended() for router in site.routers)
