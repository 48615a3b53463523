"""Targets and engines that name a limit in their answers get no more requests than it allows."""

import asyncio
import time
from contextlib import asynccontextmanager
from itertools import count

import pytest

ROUTERS = 4
LIMIT_PER_S = 2.0
STABLE_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
MAX_REFUSAL_S = 0.5


async def ask_engine(fleet, number):
    index = number % len(fleet.routers)
    status, headers, _ = await fleet.chat(f"chat {number}", index)
    return status, headers


async def ask_service(fleet, number):
    index = number % len(fleet.routers)
    status, headers, _ = await fleet.post("/services/field-desk/lookups", b"%d" % number, index)
    return status, headers


@asynccontextmanager
async def traffic(fleet, ask, per_s=40.0):
    """Send requests at all routers until the end of the block; yield their results."""
    results, tasks = [], set()

    async def send(number):
        started = time.monotonic()
        status, headers = await ask(fleet, number)
        results.append((status, headers, time.monotonic() - started))

    async def run():
        for number in count():
            await asyncio.sleep(1.0 / per_s)
            task = asyncio.create_task(send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    running = asyncio.create_task(run())
    try:
        yield results
    finally:
        running.cancel()
        await asyncio.gather(running, *tasks, return_exceptions=True)


def most_in_window(target, since):
    times = [at for at in target.arrived_at if at >= since]
    return max((sum(s <= at < s + WINDOW_S for at in times) for s in times), default=0)


async def start_fleet(fleet, kind):
    if kind == "engines":
        await fleet.add_engines(2)
        await fleet.add_routers(ROUTERS)
        await fleet.apply_model()
        targets, ask = fleet.engines, ask_engine
    else:
        await fleet.add_services(2)
        await fleet.add_routers(ROUTERS)
        await fleet.apply_plain()
        targets, ask = fleet.services, ask_service
    await fleet.wait_for_peers()
    return targets, ask


@pytest.mark.parametrize("kind", ["engines", "services"])
async def test_targets_that_name_a_limit_get_no_more_than_it_allows(fleet, kind):
    targets, ask = await start_fleet(fleet, kind)
    async with traffic(fleet, ask) as results:
        await asyncio.sleep(1.0)
        assert {status for status, _, _ in results} == {200}
        for target in targets:
            target.limit_per_s = LIMIT_PER_S
        named_at = time.monotonic()
        await asyncio.sleep(STABLE_S + WINDOW_S)
        for target in targets:
            target.limit_per_s = None
        await asyncio.sleep(2.0)
        results.clear()
        await asyncio.sleep(1.0)
        assert {status for status, _, _ in results} == {200}
    for target in targets:
        target.arrived_at = [at for at in target.arrived_at if at < named_at + STABLE_S + WINDOW_S]
        most = most_in_window(target, named_at + STABLE_S)
        assert 0.6 * LIMIT_PER_S * WINDOW_S <= most <= ALLOWED
