"""Streams that may run only once go on at a copy of their memory when their engine ends.

Guards against streams that break although their memory is elsewhere, against two engines that
execute one request, and against events that are lost, repeated or of another request.
"""

import asyncio
import itertools

import aiohttp
import pytest
from yarl import URL

from bench.local import wait_until
from bench.platform_fleet import HOST, KEY, route

REPORT = route("/report/", "streaming", "model", max_attempts=1, timeout_ms=8000)
CHAT = route("/chat/", "streaming", "model", stream_resume=True)
PIECES = 40
EVENTS = [f"id: {number}".encode() for number in range(1, PIECES + 1)]
PROMPT = {"X-Model": "m", "X-Token-Count": "60,400", "X-Prompt-Prefix": "aa:50,bb:10"}
MEMORY = {"backups": True, "moves": True, "kv_token_bytes": 1000, "link_mbps": 1000, "handle_s": 5}


async def start(site, domains=("zone-a", "zone-b"), routers=1, **capacity):
    """Start engines that can copy the memory of runs, and routers."""
    peers = {}
    for domain in domains:
        engine = await site.add_engine(
            "model",
            register=False,
            is_stream=True,
            pieces=PIECES,
            piece_interval_s=0.02,
            memory_peers=peers,
        )
        peers[engine.address] = engine
        await site.put("servers", engine.id, engine.registration(zone=domain))
    fields = {"slots": 16, "kv_capacity_tokens": 100_000} | MEMORY | capacity
    await site.configure(REPORT, CHAT, services=[{"name": "model", "engine": fields}])
    for _ in range(routers):
        await site.add_router()
    await site.wait_for_peers()


async def read_stream(site, request, path="/report/x", body=b"", index=0, **headers):
    """Send a request; return its status, its events, and whether the answer is whole."""
    headers = {"X-Request-Id": request, "Host": HOST, "Api-Key": KEY} | PROMPT | headers
    url = URL(f"http://{site.routers[index].settings.client_endpoint}{path}")
    received = b""
    is_whole = True
    async with site.session.post(url, headers=headers, data=body) as response:
        try:
            async for chunk in response.content.iter_any():
                received += chunk
        except aiohttp.ClientError:
            is_whole = False
        return response.status, [x for x in received.split(b"\n") if x.startswith(b"id:")], is_whole


def engine_at_work(site, request):
    """Return the engine that executes a request."""
    return next((engine for engine in site.engines if request in engine.at_work), None)


async def begin(site, request, copied=True, **options):
    """Begin a stream; return its task and its engine once some events have been copied."""
    task = asyncio.create_task(read_stream(site, request, **options))
    await wait_until(lambda: engine_at_work(site, request), "an engine executes the request")
    if copied:
        await wait_until(
            lambda: any(request in engine.copies for engine in site.engines),
            "its memory is copied",
        )
    await asyncio.sleep(0.1)
    return task, engine_at_work(site, request)


def runs(site, request):
    return sum(engine.runs(request) for engine in site.engines)


def continued(site, request):
    """Return the engines that went on with a run, in order."""
    arrivals = [(a.at, e) for e in site.engines for a in e.arrivals if a.id == request]
    went_on = {a.at for e in site.engines for a in e.arrivals if a.is_continued}
    return [engine for at, engine in sorted(arrivals, key=lambda x: x[0]) if at in went_on]


def are_at_work_together(site, request):
    """Return whether two engines have executed one request at a time."""
    work = sorted(
        (a.at, a.ended_at)
        for engine in site.engines
        for a in engine.arrivals
        if a.id == request and (a.has_run or a.is_continued)
    )
    pairs = itertools.pairwise(work)
    return any(later < (ended or later + 1) for (_, ended), (later, _) in pairs)


async def test_a_stream_whose_engine_ends_goes_on_at_the_copy(site):
    await start(site)
    task, engine = await begin(site, "r1", body=b"one")
    await engine.stop()
    assert await task == (200, EVENTS, True)
    assert runs(site, "r1") == 1
    (copy,) = continued(site, "r1")
    assert copy is not engine
    (arrival,) = copy.arrivals
    assert (arrival.method, arrival.path, arrival.body) == ("POST", "/report/x", b"one")
    assert arrival.headers["kv-from"] == f"{copy.address}/r1"
    assert not are_at_work_together(site, "r1")
    assert site.routers[0].metrics.counts["runs_continued"] == 1
    await wait_until(
        lambda: not site.routers[0].forwarding.runs.backups.copies, "no copy is counted"
    )


@pytest.mark.parametrize("routers", [1, 3, 8])
async def test_many_streams_of_an_engine_that_ends_are_delivered_whole(site, routers):
    await start(site, domains=("zone-a", "zone-b", "zone-c"), routers=routers)
    names = [f"r{number}" for number in range(12)]
    begun = await asyncio.gather(
        *[
            begin(site, name, body=name.encode(), index=number % routers)
            for number, name in enumerate(names)
        ]
    )
    ended = begun[0][1]
    await ended.stop()
    results = await asyncio.gather(*[task for task, _ in begun])
    assert results == [(200, EVENTS, True)] * len(names)
    assert all(runs(site, name) == 1 for name in names)
    assert not any(are_at_work_together(site, name) for name in names)


async def test_the_copy_is_in_another_failure_domain_if_there_is_one(site):
    await start(site, domains=("zone-a", "zone-a", "zone-b", "zone-b"))
    domains = ["zone-a", "zone-a", "zone-b", "zone-b"]
    begun = await asyncio.gather(*[begin(site, f"r{n}") for n in range(8)])
    for number, (_, engine) in enumerate(begun):
        (copy,) = [e for e in site.engines if f"r{number}" in e.copies]
        assert domains[site.engines.index(copy)] != domains[site.engines.index(engine)]
    await asyncio.gather(*[task for task, _ in begun])


@pytest.mark.parametrize(
    "capacity",
    [
        {"backups": False},
        {"backups": "yes"},
        {"kv_token_bytes": 0},
        {"kv_token_bytes": None},
        {"link_mbps": -5},
        {"handle_s": 10**400, "link_mbps": []},
        {"link_mbps": "fast"},
    ],
)
async def test_without_a_copy_a_stream_breaks_as_before(site, capacity):
    await start(site, **capacity)
    task, engine = await begin(site, "r1", copied=False)
    await engine.stop()
    status, events, is_whole = await task
    assert (status, is_whole) == (200, False)
    assert events == EVENTS[: len(events)]
    assert [len(e.arrivals) for e in site.engines if e is not engine] == [0]
    assert all("x-kv-backup" not in a.headers for a in engine.arrivals)


async def test_a_stream_breaks_where_the_other_engine_has_no_copy(site):
    """The destination had no room, and says that it has not executed the request."""
    await start(site)
    for engine in site.engines:
        engine.copy_room = 0
    task, engine = await begin(site, "r1", copied=False)
    await engine.stop()
    assert not (await task)[2]
    assert runs(site, "r1") == 1
    assert not continued(site, "r1")


@pytest.mark.parametrize("detached_s", [0.15, 1.5])
async def test_an_engine_that_only_lost_the_connection_is_never_one_of_two(site, detached_s):
    """The run goes on for a time without a connection."""
    await start(site)
    for engine in site.engines:
        engine.faults["detach"] = 1
        engine.detached_s = detached_s
    status, events, is_whole = await read_stream(site, "r1")
    await asyncio.sleep(max(0.0, detached_s - 0.4))
    await wait_until(lambda: not engine_at_work(site, "r1"), "no engine executes the request")
    assert not are_at_work_together(site, "r1")
    assert runs(site, "r1") == 1
    assert events == EVENTS[: len(events)]
    if detached_s > 1.0:
        assert not is_whole
        assert not continued(site, "r1")


async def test_a_run_younger_than_the_report_is_not_taken_for_ended(site):
    """Its engine goes on with it, and a report of an earlier moment does not list it yet."""
    await start(site)
    for engine in site.engines:
        engine.faults["detach"] = 1
        engine.detached_s = 2.5
    status, events, is_whole = await read_stream(site, "r1")
    assert (status, is_whole) == (200, False)
    assert events == EVENTS[: len(events)]
    assert not continued(site, "r1")
    assert runs(site, "r1") == 1


async def test_a_preempted_run_is_not_taken_for_ended(site):
    """Its engine reads it in again later, and does not list it until then."""
    await start(site)
    for engine in site.engines:
        engine.faults["detach"] = 1
        engine.detached_s = 2.5
        engine.preempted.add("r1")
    status, _, is_whole = await read_stream(site, "r1")
    assert (status, is_whole) == (200, False)
    assert not continued(site, "r1")


async def test_a_stream_goes_on_when_its_engine_no_longer_lists_it(site):
    await start(site)
    site.engines[0].faults["cut"] = 1
    site.engines[1].faults["cut"] = 1
    result = await read_stream(site, "r1")
    # The engine with the copy breaks the connection too, and the first has a copy of that run.
    assert result == (200, EVENTS, True)
    assert runs(site, "r1") == 1
    assert len(continued(site, "r1")) == 2
    assert not are_at_work_together(site, "r1")


async def test_a_stream_outlives_the_end_of_the_engine_with_the_copy_too(site):
    await start(site, domains=("zone-a", "zone-b", "zone-c"))
    task, first = await begin(site, "r1")
    await first.stop()
    await wait_until(lambda: continued(site, "r1"), "the copy goes on")
    (second,) = continued(site, "r1")
    await wait_until(
        lambda: any("r1" in e.copies for e in site.engines if e is not first),
        "its memory is copied again",
    )
    await second.stop()
    assert await task == (200, EVENTS, True)
    assert runs(site, "r1") == 1
    assert len({engine.id for engine in continued(site, "r1")}) == 2


async def test_a_stream_breaks_if_both_engines_end(site):
    await start(site)
    task, engine = await begin(site, "r1")
    for ended in site.engines:
        await ended.stop()
    status, events, is_whole = await task
    assert (status, is_whole) == (200, False)
    assert events == EVENTS[: len(events)]


async def test_a_stream_does_not_go_on_where_the_domain_is_evacuated(site):
    await start(site)
    router = site.routers[0]
    task, engine = await begin(site, "r1")
    (copy,) = [e for e in site.engines if e is not engine]
    domain = router.engines.engines[copy.id].failure_domain
    router.engines.evacuations.replace([domain], 1, "test")
    await engine.stop()
    assert not (await task)[2]
    assert not copy.arrivals


async def test_each_going_on_takes_one_from_the_retry_budget(site):
    await start(site)
    forwarding = site.routers[0].forwarding
    task, engine = await begin(site, "r1")
    budget = forwarding.retry_budget("model")
    while budget.try_acquire():
        pass
    await engine.stop()
    assert not (await task)[2]
    assert not continued(site, "r1")


async def test_a_stream_never_goes_on_from_the_memory_of_another_request(site):
    """The memory under the id is that of another request, as after a repeated id."""
    await start(site)
    task, engine = await begin(site, "r1", body=b"one")
    (copy,) = [e for e in site.engines if "r1" in e.copies]
    copy.copies["r1"].content = ("POST", "/report/x", b"two")
    engine.memory_peers.clear()
    await engine.stop()
    status, events, is_whole = await task
    assert not is_whole
    assert events == EVENTS[: len(events)]


async def test_streams_that_may_be_resumed_are_not_copied(site):
    await start(site)
    assert (await read_stream(site, "r1", path="/chat/x"))[1] == EVENTS
    assert all("x-kv-backup" not in a.headers for e in site.engines for a in e.arrivals)


async def test_headers_about_memory_that_callers_send_reach_no_engine(site):
    await start(site, backups=False)
    names = ("X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch")
    sent = dict.fromkeys(names, "127.0.0.1:1/other")
    assert (await read_stream(site, "r1", **sent))[1] == EVENTS
    (arrival,) = [a for engine in site.engines for a in engine.arrivals]
    assert not {name.lower() for name in names} & arrival.headers.keys()
