"""Targets and engines that name a limit in their answers get no more requests than it allows."""

import asyncio
import time

import pytest

from bench.traffic import most_in_window, traffic

ROUTERS = 4
LIMIT_PER_S = 2.0
STABLE_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
PER_S = 40.0


def ask_engine(fleet, number):
    return fleet.chat(f"chat {number}", number % len(fleet.routers))


def ask_service(fleet, number):
    path = "/services/field-desk/lookups"
    return fleet.post(path, b"%d" % number, number % len(fleet.routers))


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
    async with traffic(lambda number: ask(fleet, number), PER_S) as results:
        await asyncio.sleep(1.0)
        assert {result.status for result in results} == {200}
        for target in targets:
            target.limit_per_s = LIMIT_PER_S
        named_at = time.monotonic()
        await asyncio.sleep(STABLE_S + WINDOW_S)
        for target in targets:
            target.limit_per_s = None
        await asyncio.sleep(2.0)
        results.clear()
        await asyncio.sleep(1.0)
        assert {result.status for result in results} == {200}
    for target in targets:
        target.arrived_at = [at for at in target.arrived_at if at < named_at + STABLE_S + WINDOW_S]
        most = most_in_window(target.arrived_at, named_at + STABLE_S, WINDOW_S)
        assert 0.6 * LIMIT_PER_S * WINDOW_S <= most <= ALLOWED
