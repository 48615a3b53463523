"""A stream goes on only at the software version that began it, within one answer and over tries."""

import asyncio
from collections import Counter

import aiohttp
import pytest
from yarl import URL

from bench.platform_fleet import HOST, KEY, route

CHAT = route("/chat/", "streaming", "model", stream_resume=True)
# The router may not send a stream of this route on itself, so that its client has to.
ONCE = route("/once/", "streaming", "model", stream_resume=True, max_attempts=1)
STREAMS = 24
EVENTS = [f"id: {number}".encode() for number in range(1, 7)]


async def start(site, versions=("v1", "v1", "v1", "v2", "v2", "v2"), routers=1):
    faults = Counter()
    for version in versions:
        engine = await site.add_engine("model", is_stream=True, version=version)
        engine.faults = faults
    await site.configure(CHAT, ONCE)
    for _ in range(routers):
        await site.add_router()
    if routers > 1:
        await site.wait_for_peers()
    return faults


def versions_run(site, *requests):
    """Return the software versions that have run one of the requests."""
    return {
        engine.version
        for engine in site.engines
        for arrival in engine.arrivals
        if arrival.has_run and arrival.id in requests
    }


async def read_stream(site, path, request, index=0, **headers):
    """Send a request; return its status and the events that arrive, also of a broken answer."""
    headers = {"X-Request-Id": request, "Host": HOST, "Api-Key": KEY} | headers
    url = URL(f"http://{site.routers[index].settings.client_endpoint}{path}")
    received = b""
    async with site.session.post(url, headers=headers) as response:
        try:
            async for chunk in response.content.iter_any():
                received += chunk
        except aiohttp.ClientError:
            pass
        return response.status, [x for x in received.split(b"\n") if x.startswith(b"id:")]


async def resume(site, first, begun, index, number=1, **headers):
    """Take a stream up as its client does after a broken answer."""
    last = {"Last-Event-Id": str(len(begun)), "Resumes": first} | headers
    return await read_stream(site, "/once/x", f"{first}-{number}", index, **last)


async def begin_and_break(site, faults, request, index=0):
    """Begin a stream that breaks off after some events; return these."""
    faults["cut"] += 1
    status, events = await read_stream(site, "/once/x", request, index)
    assert status == 200
    assert 0 < len(events) < len(EVENTS)
    return events


async def test_a_stream_is_sent_on_to_an_engine_of_its_version(site):
    faults = await start(site)
    faults["cut"] = STREAMS // 2
    names = [f"r{number}" for number in range(STREAMS)]
    results = await asyncio.gather(*[read_stream(site, "/chat/x", name) for name in names])
    assert sum(len(versions_run(site, name)) > 1 for name in names) == 0
    assert sum(events == EVENTS for _, events in results) >= 0.9 * STREAMS


@pytest.mark.parametrize("routers", [3, 8])
async def test_a_client_takes_a_stream_up_at_another_router_at_its_version(site, routers):
    faults = await start(site, routers=routers)
    went_on = 0
    for number in range(STREAMS):
        name = f"r{number}"
        index = number % routers
        begun = await begin_and_break(site, faults, name, index)
        status, events = await resume(site, name, begun, (index + 1) % routers)
        assert len(versions_run(site, name, f"{name}-1")) == 1
        went_on += status == 200 and begun + events == EVENTS
    assert went_on >= 0.9 * STREAMS


async def test_a_second_attempt_that_brings_the_first_event_decides_the_version(site):
    """The first attempt fails before its first event, at whichever version."""
    faults = await start(site)
    faults["reset"] = STREAMS // 2
    faults["cut"] = STREAMS // 2
    names = [f"r{number}" for number in range(STREAMS)]
    await asyncio.gather(*[read_stream(site, "/chat/x", name) for name in names])
    for name in names:
        brought_events = {
            engine.version
            for engine in site.engines
            for arrival in engine.arrivals
            if arrival.id == name and arrival.has_sent_events
        }
        assert len(brought_events) <= 1


async def test_a_stream_whose_version_has_left_breaks_off_at_once(site):
    faults = await start(site, versions=("v1", "v2", "v2"))
    faults["cut"] = STREAMS
    names = [f"r{number}" for number in range(STREAMS)]
    async with asyncio.timeout(2.0):
        await asyncio.gather(*[read_stream(site, "/chat/x", name) for name in names])
    assert all(len(versions_run(site, name)) == 1 for name in names)


async def test_nothing_is_known_of_an_engine_that_names_no_version(site):
    """Streams of such engines go on nowhere, also not at another one without a version."""
    faults = await start(site, versions=("", "", "v1"))
    faults["cut"] = STREAMS
    names = [f"r{number}" for number in range(STREAMS)]
    await asyncio.gather(*[read_stream(site, "/chat/x", name) for name in names])
    unnamed = [engine for engine in site.engines if not engine.version]
    assert all(sum(engine.runs(name) for engine in unnamed) <= 1 for name in names)
    assert all(len(versions_run(site, name)) == 1 for name in names)
