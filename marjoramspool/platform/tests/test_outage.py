"""Outages of the platform: traffic continues, and calls to it stay within their bounds."""

import asyncio

from bench.chats import Chat, take_turn
from bench.local import wait_until


async def start_fleet(fleet, routers=4):
    await fleet.add_engines(2)
    await fleet.add_services(1)
    await fleet.add_routers(routers)
    await fleet.apply_model()
    await fleet.apply_plain()
    await fleet.wait_for_peers()


async def test_traffic_continues_during_an_outage(fleet):
    await start_fleet(fleet)
    fleet.arm(fleet.platform, "outage", times=-1)
    await wait_until(
        lambda: any(r.platform.outage_s() > 0.5 for r in fleet.routers),
        "a router detects the outage",
    )
    for number in range(12):
        chat = Chat(f"chat-{number}")
        turn = await take_turn(fleet.session, fleet.url(number % 4), chat, "grip-model")
        assert turn.is_complete
        assert (await fleet.post_closure(f"order-{number}", number % 4))[0] == 200
    fleet.engines[0].is_draining = True
    await wait_until(
        lambda: all(
            r.targets.is_draining(f"127.0.0.1:{fleet.engine_ports[0]}") for r in fleet.routers
        ),
        "all routers learn of a draining engine during the outage",
    )
    await fleet.remove_router(0)
    assert (await fleet.chat("after a removal", 0))[0] == 200


async def test_calls_stay_within_each_routers_budget(fleet):
    await start_fleet(fleet, routers=2)
    budget = fleet.routers[0].platform.budget
    budget.rate_per_s, budget.burst, budget.tokens = 5.0, 5.0, 5.0
    before = fleet.routers[0].platform.calls
    fleet.arm(fleet.platform, "outage", times=-1)
    tasks = [fleet.post_closure(f"order-{n}", 0, f"key-{n}") for n in range(50)]
    results = await asyncio.gather(*tasks)
    assert all(status == 503 for status, _, _ in results)
    elapsed_s = 4.0
    assert fleet.routers[0].platform.calls - before <= 5 + 5 * elapsed_s


def max_calls_per_s(times):
    """Return the largest number of calls within one second."""
    return max((sum(t <= other < t + 1.0 for other in times) for t in times), default=0)


async def test_recovery_of_the_platform_causes_no_load_spike(fleet):
    await start_fleet(fleet, routers=8)
    fleet.platform.times.clear()
    await asyncio.sleep(2.0)
    baseline_per_s = max_calls_per_s(list(fleet.platform.times))
    fleet.arm(fleet.platform, "outage", times=-1)
    await wait_until(
        lambda: any(r.platform.outage_s() > 2.0 for r in fleet.routers), "the outage lasts 2 s"
    )
    fleet.platform.times.clear()
    fleet.arm(fleet.platform, "clear")
    watchers = [router for router in fleet.routers if router.watcher.is_designated()]
    await wait_until(
        lambda: all(r.platform.outage_s() == 0 for r in watchers),
        "the outage is over on all watching routers",
    )
    await asyncio.sleep(1.0)
    recovery_per_s = max_calls_per_s(list(fleet.platform.times))
    assert recovery_per_s <= 2 * baseline_per_s, (
        "more than twice the calls per second of normal operation"
    )
    await fleet.apply_model(deadline="33s")
