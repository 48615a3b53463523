"""Engines that name a limit in their answers get no more requests than it allows, from all routers.

Callers beyond the limit are refused at once, and served again when it has ended.
"""

import asyncio
import time

import pytest

from bench.platform_fleet import route
from bench.traffic import most_in_window, traffic

LOOKUP = route("/lookup/", "idempotent", "desk")
# By the requirements, from this long after an engine first named its limit.
STABLE_S = 3.0
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
MAX_REFUSAL_S = 0.5


async def start_site(site, routers, engines, routes=(LOOKUP,)):
    added = [await site.add_engine("desk") for _ in range(engines)]
    await site.configure(*routes)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.wait_for_peers()
    return added


def requests(site, per_s, path="/lookup/x"):
    """Send requests at all routers until the end of the block; yield their results."""

    async def send(number):
        return await site.send(path, f"q{number}", number % len(site.routers))

    return traffic(send, per_s)


def most_arrivals(engine, since):
    """Return the most requests that reached an engine in any window that begins after a time."""
    return most_in_window([arrival.at for arrival in engine.arrivals], since, WINDOW_S)


def allowed(limit_per_s):
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA


def cut_off(site):
    """Have no router hear any other."""
    for router in site.routers:
        router.load_broadcast.transport.set_protocol(asyncio.DatagramProtocol())


@pytest.mark.parametrize(("routers", "limit_per_s"), [(8, 1.0), (3, 6.0)])
async def test_engines_that_name_a_limit_get_no_more_than_it_allows(site, routers, limit_per_s):
    engines = await start_site(site, routers, 2)
    async with requests(site, 40.0) as results:
        await asyncio.sleep(1.0)
        assert {result.status for result in results} == {200}
        for engine in engines:
            engine.limit_per_s = limit_per_s
        named_at = time.monotonic()
        await asyncio.sleep(STABLE_S + WINDOW_S + 1.0)
    for engine in engines:
        most = most_arrivals(engine, named_at + STABLE_S)
        assert most <= allowed(limit_per_s)
        # An engine in need gets what it named, not far less.
        assert most >= 0.7 * limit_per_s * WINDOW_S
    refused = [result for result in results if result.status == 503]
    assert refused
    assert all(float(result.headers["Retry-After"]) > 0.0 for result in refused)
    assert max(result.waited_s for result in refused) < MAX_REFUSAL_S


async def test_routers_with_relays_keep_to_a_small_limit(site):
    (engine,) = await start_site(site, 16, 1)
    async with requests(site, 60.0):
        await asyncio.sleep(1.0)
        engine.limit_per_s = 1.0
        named_at = time.monotonic()
        await asyncio.sleep(STABLE_S + WINDOW_S + 1.0)
    assert most_arrivals(engine, named_at + STABLE_S) <= allowed(1.0)


async def test_routers_that_hear_no_other_keep_to_a_limit_together(site):
    (engine,) = await start_site(site, 6, 1)
    async with requests(site, 60.0):
        engine.limit_per_s = 2.0
        named_at = time.monotonic()
        await asyncio.sleep(1.0)
        cut_off(site)
        await asyncio.sleep(STABLE_S + WINDOW_S)
    assert most_arrivals(engine, named_at + STABLE_S) <= allowed(2.0)


async def test_retries_and_resumed_streams_count_against_a_limit(site):
    chat = route("/chat/", "streaming", "model", stream_resume=True, max_attempts=2)
    engines = [await site.add_engine("model", is_stream=True) for _ in range(2)]
    await site.configure(chat)
    await site.add_router()
    async with requests(site, 40.0, "/chat/x"):
        for engine in engines:
            engine.limit_per_s = 4.0
            engine.faults["cut"] = 1000
        named_at = time.monotonic()
        await asyncio.sleep(STABLE_S + WINDOW_S)
    resumed = [a for e in engines for a in e.arrivals if "last-event-id" in a.headers]
    assert resumed
    for engine in engines:
        assert most_arrivals(engine, named_at + STABLE_S) <= allowed(4.0)


async def test_requests_go_to_engines_without_a_limit_and_return_when_it_ends(site):
    limited, other = await start_site(site, 3, 2)
    async with requests(site, 40.0) as results:
        limited.limit_per_s = 1.0
        await asyncio.sleep(2.0)
        before = len(limited.arrivals)
        await asyncio.sleep(2.0)
        assert len(limited.arrivals) - before <= 6
        limited.limit_per_s = None
        await asyncio.sleep(2.5)
        before = len(limited.arrivals)
        await asyncio.sleep(1.0)
        assert len(limited.arrivals) - before >= 10
    assert {result.status for result in results} == {200}
    assert len(other.arrivals) > len(limited.arrivals)


@pytest.mark.parametrize("text", ["nan", "inf", "-1", "soon", ""])
async def test_a_malformed_limit_is_ignored(site, text):
    (engine,) = await start_site(site, 1, 1)
    engine.limit_per_s = text
    statuses = [(await site.send("/lookup/x", f"m{number}"))[0] for number in range(20)]
    assert set(statuses) == {200}
    assert not site.routers[0].selector.limits.notices
