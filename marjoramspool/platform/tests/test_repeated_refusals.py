"""A faulty engine writes an earlier refusal once more on a kept connection.

Guards against callers who are told "not run" for a request that an engine ran, and against a second
run of such a request: at an engine, through another router, and where a stream goes on.
"""

import asyncio

import pytest

from bench.engine_cut import CutMode, cut_from_engines
from bench.platform_fleet import route
from marjoramspool.platform.tests import test_run_backups
from marjoramspool.platform.tests.test_run_backups import are_at_work_together, begin

LOOKUP = route("/lookup/", "idempotent", "desk")
ORDER = route("/order/", "non_idempotent", "desk", max_attempts=1)
CHAT = route("/chat/", "streaming", "model", stream_resume=True)
REPORT = route("/report/", "streaming", "model", max_attempts=1)
HEADERS = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": "aa:50,bb:10"}
KINDS = ["again-old", "again-same", "again-unnamed"]
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def start(site, routers=1):
    for _ in range(2):
        await site.add_engine("desk", health_path="/healthz", load_figures=4)
        await site.add_engine("model", is_stream=True)
    services = [{"name": "model"}, {"name": "desk", "health_path": "/healthz"}]
    await site.configure(LOOKUP, ORDER, CHAT, REPORT, services=services)
    for _ in range(routers):
        await site.add_router()
    await site.wait_for_peers()


def repeat_everywhere(site, kind):
    for engine in site.engines:
        engine.faults[kind] = 10_000


def runs(site, request):
    return sum(engine.runs(request) for engine in site.engines)


async def send_mixed(site, count=60):
    """Send requests of all kinds, with refusals in between; return the statuses by request."""
    paths = [("GET", "/lookup/x"), ("POST", "/order/1"), ("POST", "/chat/x"), ("POST", "/report/x")]

    async def send(number):
        method, path = paths[number % len(paths)]
        if number % 5 == 0:
            site.engines[number % len(site.engines)].faults["shed"] += 1
        status, _, body = await site.send(path, f"q{number}", method=method, headers=HEADERS)
        return path, f"q{number}", status, body

    answers = []
    for first in range(0, count, 6):
        answers += await asyncio.gather(*[send(n) for n in range(first, first + 6)])
    return answers


@pytest.mark.parametrize("kind", KINDS)
async def test_no_request_that_ran_is_told_not_to_have_run(site, kind):
    """Calls beside the requests (probes, cache lists, reports) use kept connections too."""
    await start(site)
    repeat_everywhere(site, kind)
    answers = await send_mixed(site)
    assert sum(engine.repeated for engine in site.engines) > 5
    for path, request, status, body in answers:
        if path in ("/order/1", "/report/x"):
            assert runs(site, request) <= 1
            assert runs(site, request) == 0 or status not in NOT_RUN_STATUSES
        if status == 200 and path in ("/lookup/x", "/order/1"):
            assert body == f"answer to {request}".encode()


@pytest.mark.parametrize("kind", KINDS)
async def test_requests_through_another_router_are_told_the_truth(site, kind):
    await start(site, routers=2)
    cut_from_engines(site.routers[0], CutMode.REFUSE)
    repeat_everywhere(site, kind)
    answers = await send_mixed(site, 36)
    assert any(status == 200 for *_, status, _ in answers)
    for path, request, status, _ in answers:
        if path in ("/order/1", "/report/x"):
            assert runs(site, request) <= 1
            assert runs(site, request) == 0 or status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("kind", KINDS)
async def test_a_run_that_goes_on_where_its_copy_is_never_runs_twice(site, kind):
    """The connection on which it goes on was used for a report before."""
    await test_run_backups.start(site, domains=("zone-a", "zone-b", "zone-c"))
    task, engine = await begin(site, "r1")
    repeat_everywhere(site, kind)
    await engine.stop()
    status, events, is_whole = await task
    assert status == 200
    assert events == test_run_backups.EVENTS[: len(events)]
    assert test_run_backups.runs(site, "r1") == 1
    assert not are_at_work_together(site, "r1")
    assert sum(engine.repeated for engine in site.engines) >= 1
    assert not is_whole


@pytest.mark.parametrize("kind", KINDS)
async def test_a_run_that_is_moved_never_runs_twice(site, kind):
    await test_run_backups.start(site, backups=False)
    site.routers[0].forwarding.mover.moves.drain_periods_s["model"] = 0.5
    task, engine = await begin(site, "r1", copied=False)
    repeat_everywhere(site, kind)
    await site.put("servers", engine.id, engine.registration(state="draining"))
    status, events, _ = await task
    assert status == 200
    assert events == test_run_backups.EVENTS[: len(events)]
    assert test_run_backups.runs(site, "r1") == 1
    assert not are_at_work_together(site, "r1")


@pytest.mark.parametrize("kind", KINDS)
async def test_a_resumed_stream_holds_each_event_once(site, kind):
    await start(site)
    repeat_everywhere(site, kind)
    site.engines[1].faults["cut"] = site.engines[3].faults["cut"] = 1
    answers = await asyncio.gather(
        *[site.send("/chat/x", f"c{number}", headers=HEADERS) for number in range(6)]
    )
    for status, _, body in answers:
        numbers = [line for line in (body or b"").split(b"\n") if line.startswith(b"id:")]
        assert numbers == [f"id: {n + 1}".encode() for n in range(len(numbers))]
        assert status == 200 or not numbers


async def test_a_retry_with_the_id_of_its_refusal_tells_the_truth(site):
    """A caller sends a request again under the id that was refused, to the same engine."""
    await start(site)
    for engine in site.engines:
        engine.faults["shed"] = 100
    assert [(await site.send("/order/1", "r1"))[0] for _ in range(2)] == [503, 503]
    for engine in site.engines:
        engine.faults["shed"] = 0
    repeat_everywhere(site, "again-same")
    status, _, _ = await site.send("/order/1", "r1")
    assert runs(site, "r1") == 1
    assert status == 200
