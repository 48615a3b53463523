"""Engines that announce in their answers that they leave, or ask for a pause, get no new work."""

import asyncio
import time

from bench.local import wait_until
from bench.platform_fleet import route

LOOKUP = route("/lookup/", "idempotent", "desk")
ORDER = route("/order/", "non_idempotent", "desk")
CHAT = route("/chat/", "streaming", "model", stream_resume=True)
PAUSE_S = 1.2


async def start_site(site, routers=1, routes=(LOOKUP, ORDER, CHAT), engines=2, service="desk"):
    added = [await site.add_engine(service, is_stream=service == "model") for _ in range(engines)]
    await site.configure(*routes)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.wait_for_peers()
    return added


async def send_many(site, count, path="/lookup/x", index=0, prefix="r"):
    return [
        await site.send(path, f"{prefix}{number}", index, method="POST") for number in range(count)
    ]


async def answer_from(site, engine, index=0):
    """Send requests until an engine has answered one."""
    before = len(engine.arrivals)
    for number in range(100):
        await site.send("/lookup/x", f"find-{engine.id}-{number}", index)
        if len(engine.arrivals) > before:
            return
    raise AssertionError("the engine got no request")


async def test_an_engine_that_announces_its_departure_gets_no_new_requests(site):
    leaving, staying = await start_site(site)
    site.arm("outage", times=-1)
    leaving.is_leaving = True
    await answer_from(site, leaving)
    before = len(leaving.arrivals)
    answers = await send_many(site, 30)
    assert {status for status, _, _ in answers} == {200}
    assert len(leaving.arrivals) == before
    assert len(staying.arrivals) >= 30


async def test_a_refusal_announces_a_departure_too(site):
    leaving, _ = await start_site(site)
    leaving.is_leaving = True
    leaving.faults["shed"] = 1
    await answer_from(site, leaving)
    before = len(leaving.arrivals)
    await send_many(site, 30)
    assert len(leaving.arrivals) == before


async def test_a_departure_outlasts_the_registration_until_a_restart(site):
    leaving, _ = await start_site(site)
    leaving.is_leaving = True
    await answer_from(site, leaving)
    before = len(leaving.arrivals)
    # A registration that is renewed later still says ready.
    await site.put("servers", leaving.id, leaving.registration(sequence=2, slots=17))
    await wait_until(
        lambda: site.routers[0].engines.engines[leaving.id].slots == 17, "the renewal is known"
    )
    await send_many(site, 30)
    assert len(leaving.arrivals) == before
    leaving.is_leaving = False
    await site.put("servers", leaving.id, leaving.registration(born=2000))
    await wait_until(
        lambda: site.routers[0].engines.engines[leaving.id].started_ms == 2000,
        "the restart is known",
    )
    await answer_from(site, leaving)


async def test_other_routers_learn_of_a_departure_without_the_store(site):
    leaving, _ = await start_site(site, routers=3)
    site.arm("outage", times=-1)
    leaving.is_leaving = True
    await answer_from(site, leaving)
    await asyncio.sleep(0.5)
    before = len(leaving.arrivals)
    for index in (1, 2):
        await send_many(site, 20, index=index, prefix=f"p{index}-")
    assert len(leaving.arrivals) == before


async def test_a_service_whose_engines_all_leave_refuses_at_once(site):
    first, second = await start_site(site, engines=2, service="model")
    for engine in (first, second):
        engine.is_leaving = True
    status, _, _ = await site.send("/chat/x", "c0")
    assert status == 200
    status, _, _ = await site.send("/chat/x", "c1")
    assert status == 200
    status, headers, _ = await site.send("/chat/x", "c2")
    assert status == 503
    assert "Retry-After" in headers


async def test_an_engine_that_asks_for_a_pause_gets_at_most_two_requests_meanwhile(site):
    busy, other = await start_site(site)
    busy.retry_after_s = PAUSE_S
    await answer_from(site, busy)
    paused_at = time.monotonic()
    before = len(busy.arrivals)
    while time.monotonic() < paused_at + PAUSE_S - 0.1:
        statuses = [status for status, _, _ in await send_many(site, 5)]
        assert set(statuses) == {200}
    assert len(busy.arrivals) <= before
    assert other.arrivals
    busy.retry_after_s = None
    await asyncio.sleep(0.2)
    await answer_from(site, busy)


async def test_a_service_that_asks_for_a_pause_refuses_at_once_with_the_shortest_wait(site):
    engines = await start_site(site)
    engines[0].retry_after_s = 30.0
    engines[1].retry_after_s = PAUSE_S
    for number in range(10):
        await site.send("/order/x", f"warm-{number}")
    before = sum(len(engine.arrivals) for engine in engines)
    started = time.monotonic()
    answers = await send_many(site, 10, "/order/x", prefix="later")
    assert time.monotonic() - started < PAUSE_S / 2
    waits = [float(headers["Retry-After"]) for status, headers, _ in answers if status == 503]
    assert len(waits) == 10
    assert all(PAUSE_S / 2 < wait < 3 * PAUSE_S for wait in waits)
    assert len(set(waits)) > 5
    assert sum(len(engine.arrivals) for engine in engines) == before


async def test_a_malformed_pause_is_ignored(site):
    busy, _ = await start_site(site)
    busy.retry_after_s = float("nan")
    await answer_from(site, busy)
    busy.retry_after_s = None
    await answer_from(site, busy)
