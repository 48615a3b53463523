"""Status of the routers on the platform, as the command line shows it to operators."""

import asyncio

import msgspec

from bench.platform_fleet import route
from marjoramspool.operators.commands import EXIT_INCOMPLETE
from marjoramspool.operators.tests.test_commands import run_command


async def test_status_shows_every_router_and_one_that_stopped(site):
    await site.add_engine("desk")
    await site.configure(route("/lookup/", "idempotent", "desk"))
    for _ in range(3):
        await site.add_router()
    await site.wait_for_peers()
    store = f"127.0.0.1:{site.store_port}"
    code, out, _ = await run_command("status", "--platform", store, "--json")
    statuses = msgspec.json.decode(out)
    assert code == 0
    assert sorted(statuses) == ["front-1", "front-2", "front-3"]
    assert all(s["is_ready"] and s["versions"] == {"routes": 3} for s in statuses.values())
    assert all(len(s["members"]) == 2 for s in statuses.values())
    await site.routers.pop().__aexit__(None, None, None)
    code, out, _ = await run_command("status", "--platform", store)
    assert code == EXIT_INCOMPLETE
    assert "front-3: does not answer" in out
    assert "front-1: ready, 0 in flight, routes=3" in out


async def test_status_reports_a_store_that_does_not_answer(site):
    await site.add_engine("desk")
    await site.configure(route("/lookup/", "idempotent", "desk"))
    router = await site.add_router()
    site.arm("outage", times=-1)
    async with asyncio.timeout(10):
        while router.is_store_available:
            await site.put("config", "other", {"n": 1})
            await asyncio.sleep(0.1)
    assert router.status().faults == {"store": "it does not answer"}
