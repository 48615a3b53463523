"""Answers are complete and belong to their request; failures state truly whether it ran.

Engines break these rules by resets, cut or surplus answers, silence, answers to other requests and
reassigned addresses. A router that mishandles them runs an order twice, delivers another request's
answer, or reports a request that ran as not run.
"""

import asyncio
from collections import Counter

import aiohttp
import pytest

from bench.local import wait_until
from bench.platform_fleet import HOST, KEY, route

LOOKUP = route("/lookup/", "idempotent", "desk")
ORDER = route("/order/", "non_idempotent", "desk", max_attempts=1)
CHAT = route("/chat/", "streaming", "model", stream_resume=True)
REPORT = route("/report/", "streaming", "model", max_attempts=1)
PROMPT_HEADERS = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": "aa:50,bb:10"}


async def start(site, targets=2, engines=2, **options):
    for _ in range(targets):
        await site.add_engine("desk")
    for _ in range(engines):
        await site.add_engine("model", is_stream=True, **options)
    await site.configure(LOOKUP, ORDER, CHAT, REPORT)
    await site.add_router()


def set_fault_everywhere(site, kind, times):
    for engine in site.engines:
        engine.faults[kind] = times


def runs(site, request):
    return sum(engine.runs(request) for engine in site.engines)


async def test_a_request_reaches_the_engine_as_the_client_sent_it(site):
    await start(site)
    headers = {
        "X-Tenant": "forged",
        "X-Hold": "h",
        "X-Pin-Ms": "100",
        "Kv-From": "1.2.3.4:5/x",
        "X-Model": "m",
        "X-Prompt-Prefix": "aa:10",
        "X-Token-Count": "10,5",
        "X-Other": "kept",
        "Connection": "X-Hop",
        "X-Hop": "not passed on",
    }
    body = b"x" * 70_000
    status, answered, content = await site.send(
        "/order/a%2Fb/../c?q=%20", "r1", data=body, headers=headers
    )
    assert (status, content) == (200, b"answer to r1")
    assert answered["X-Response-Signature"] == "sig.1"
    (arrival,) = [a for engine in site.engines for a in engine.arrivals]
    assert arrival.path == "/order/a%2Fb/../c?q=%20"
    assert arrival.body == body
    assert arrival.headers["x-tenant"] == "crews"
    assert arrival.headers["x-other"] == "kept"
    assert arrival.headers["x-prompt-prefix"] == "aa:10"
    assert 0 < int(arrival.headers["x-request-deadline-ms"]) <= 3000
    absent = {"api-key", "x-hold", "x-pin-ms", "kv-from", "x-hop"}
    assert not absent & set(arrival.headers)


@pytest.mark.parametrize("fault", ["reset", "cut", "unframed-cut", "foreign", "bare", "busy503"])
async def test_an_order_that_may_have_run_runs_once_and_is_reported_as_unknown(site, fault):
    await start(site)
    set_fault_everywhere(site, fault, 1)
    status, _, _ = await site.send("/order/1", "r1")
    assert status == 502
    assert runs(site, "r1") == 1


@pytest.mark.parametrize("fault", ["reset", "cut", "unframed-cut", "foreign", "bare", "error"])
async def test_a_lookup_is_retried_at_another_target(site, fault):
    await start(site)
    site.engines[0].faults[fault] = site.engines[1].faults[fault] = 1
    site.engines[1].faults[fault] = 0
    for number in range(4):
        status, _, body = await site.send("/lookup/1", f"r{number}", method="GET")
        assert (status, body) == (200, f"answer to r{number}".encode())


async def test_a_late_second_answer_is_not_delivered_to_the_next_request(site):
    await start(site, targets=1)
    site.engines[0].faults["extra"] = 3
    for number in range(6):
        status, _, body = await site.send("/lookup/1", f"r{number}", method="GET")
        assert status != 200 or body == f"answer to r{number}".encode()
        await asyncio.sleep(0.01 * (number % 3))


class FirstResetThenShed(Counter):
    """Reset the first request that any target receives, and shed all later ones."""

    def __getitem__(self, kind):
        if kind == "reset":
            return 0 if self.get("done") else 1
        return self.get("done", 0) if kind == "shed" else 0

    def __setitem__(self, kind, value):
        super().__setitem__("done", 5)


async def test_a_lookup_that_may_have_run_is_not_reported_as_not_run(site):
    await start(site)
    faults = FirstResetThenShed()
    for engine in site.engines:
        engine.faults = faults
    status, headers, _ = await site.send("/lookup/1", "r1", method="GET")
    assert runs(site, "r1") == 1
    assert status == 502
    assert "Retry-After" not in headers


async def test_full_targets_are_reported_as_not_run_with_a_retry_time(site):
    await start(site)
    set_fault_everywhere(site, "shed", 5)
    status, headers, _ = await site.send("/order/1", "r1")
    assert status == 503
    assert 0 < float(headers["Retry-After"]) <= 0.5
    assert runs(site, "r1") == 0


async def test_an_order_goes_to_another_target_if_one_refuses_connections(site):
    await start(site)
    await site.engines[0].stop()
    for number in range(6):
        status, _, _ = await site.send("/order/1", f"r{number}")
        assert status == 200


async def test_an_address_reassigned_to_another_incarnation_is_avoided(site):
    await start(site, targets=1)
    displaced = site.engines[0].id
    site.engines[0].id = "i-other"
    await site.add_engine("desk")
    await wait_until(lambda: len(site.routers[0].engines.usable("desk")) == 2, "both are known")
    for number in range(8):
        status, _, _ = await site.send("/order/1", f"r{number}")
        assert status == 200
    misdirected = [a for a in site.engines[0].arrivals if not a.has_run]
    assert len(misdirected) <= 1, "the first misdirected request reveals the reassigned address"
    assert displaced in site.routers[0].engines.engines


async def test_a_stream_resumes_at_another_engine_with_each_event_once(site):
    await start(site)
    shared_faults = Counter(cut=1)
    for engine in site.engines:
        engine.faults = shared_faults
    status, headers, body = await site.send("/chat/1", "r1")
    events = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    assert status == 200
    assert events == [f"id: {number}".encode() for number in range(1, 7)]
    assert headers["X-Response-Signature"] == "sig.1"
    assert all(engine.runs("r1") <= 1 for engine in site.engines)


async def test_events_repeated_after_a_resumption_are_forwarded_once(site):
    await start(site)
    faults = Counter(cut=1, repeat=1)
    for engine in site.engines:
        engine.faults = faults
    _, _, body = await site.send("/chat/1", "r1")
    events = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    assert events == [f"id: {number}".encode() for number in range(1, 7)]


async def test_a_stream_that_may_not_be_resumed_breaks_off_visibly(site):
    await start(site)
    set_fault_everywhere(site, "cut", 1)
    _, _, body = await site.send("/report/1", "r1")
    assert body is None
    assert runs(site, "r1") == 1


async def test_an_engine_stops_work_when_the_client_disconnects(site):
    await start(site, engines=1, piece_interval_s=0.05, pieces=100)
    url = f"http://{site.routers[0].settings.client_endpoint}/report/1"
    headers = {"X-Request-Id": "r1", "Host": HOST, "Api-Key": KEY}
    async with site.session.post(url, headers=headers) as response:
        await response.content.readany()
        response.close()
    engine = site.engines[-1]
    await wait_until(lambda: engine.arrivals[0].is_disconnected, "the engine sees the close", 0.5)


async def test_a_request_without_an_answer_is_failed_at_its_deadline(site):
    await start(site, targets=1)
    site.engines[0].faults["mute"] = 1
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    status, _, _ = await site.send("/order/1", "r1", headers={"X-Request-Deadline-Ms": "300"})
    assert status == 504
    assert loop.time() - started_at < 0.3 + 0.5


async def test_a_lookup_abandons_a_silent_connection_within_its_latency_target(site):
    await start(site)
    site.engines[0].faults["mute"] = 100
    loop = asyncio.get_running_loop()
    for number in range(6):
        started_at = loop.time()
        status, _, _ = await site.send("/lookup/1", f"r{number}", method="GET")
        assert status == 200
        assert loop.time() - started_at < LOOKUP["target_latency_ms"] / 1000 + 0.1


async def test_a_stream_without_its_first_event_goes_to_another_engine(site):
    await start(site)
    site.engines[2].faults["mute"] = 1
    site.engines[3].faults["mute"] = 0
    for number in range(4):
        status, _, body = await site.send("/chat/1", f"r{number}")
        assert (status, body.count(b"id:")) == (200, 6)


async def test_retries_stay_within_the_shared_budget(site):
    await start(site)
    set_fault_everywhere(site, "error", 1000)
    for number in range(60):
        await site.send("/lookup/1", f"r{number}", method="GET")
    arrivals = sum(len(engine.arrivals) for engine in site.engines)
    bounds = site.routers[0].settings.bounds
    share = bounds.retry_ratio * 60 + bounds.retry_reserve / site.routers[0].directory.size()
    assert arrivals - 60 <= share


async def test_a_broken_client_connection_does_not_end_the_router(site):
    await start(site)
    async with aiohttp.ClientSession() as session:
        for number in range(5):
            url = f"http://{site.routers[0].settings.client_endpoint}/chat/1"
            headers = {"X-Request-Id": f"r{number}", "Host": HOST, "Api-Key": KEY}
            async with session.post(url, headers=headers) as response:
                response.close()
    assert (await site.send("/lookup/1", "last", method="GET"))[0] == 200


async def test_a_stream_that_breaks_counts_as_a_failure_of_its_engine(site):
    (engine,) = [await site.add_engine("model", is_stream=True) for _ in range(1)]
    await site.configure(route("/chat/", "streaming", "model"))
    router = await site.add_router()
    engine.faults["cut"] = 3
    for number in range(3):
        _, _, body = await site.send("/chat/x", f"c{number}")
        assert body is None
    assert router.selector.outliers.is_ejected(engine.id)
    assert sum(n for name, n in router.metrics.counts.items() if "attempts_failed" in name) == 3


async def test_a_request_without_time_is_told_so(site):
    await site.add_engine("desk")
    await site.configure(route("/lookup/", "idempotent", "desk"))
    await site.add_router()
    headers = {"X-Request-Deadline-Ms": "15"}
    status, _, body = await site.send("/lookup/x", "r", method="GET", headers=headers)
    assert status == 503
    assert b"deadline" in body


async def test_an_answer_without_length_or_chunks_ends_with_its_connection(site):
    await start(site)
    set_fault_everywhere(site, "unframed", 40)
    for number in range(20):
        status, _, body = await site.send("/order/1", f"r{number}")
        assert (status, body) == (200, f"answer to r{number}".encode())


@pytest.mark.parametrize("path", ["/chat/1", "/report/1"])
@pytest.mark.parametrize("interval_s", [0.0, 0.005])
async def test_a_stream_without_length_or_chunks_ends_with_its_connection(site, path, interval_s):
    await start(site, piece_interval_s=interval_s)
    set_fault_everywhere(site, "unframed", 40)
    for number in range(10):
        status, _, body = await site.send(path, f"r{number}", headers=PROMPT_HEADERS)
        assert status == 200
        assert body.count(b"data: piece") == 6


async def test_a_stream_that_ends_inside_an_event_has_broken_off(site):
    await start(site)
    set_fault_everywhere(site, "unframed-part", 1)
    status, _, body = await site.send("/report/1", "r1", headers=PROMPT_HEADERS)
    assert (status, body) == (200, None)
    # One of the two engines that serve chats, whichever is asked first.
    site.engines[2].faults = site.engines[3].faults = Counter({"unframed-part": 1})
    status, _, body = await site.send("/chat/1", "r2", headers=PROMPT_HEADERS)
    assert status == 200
    assert [body.count(f"data: piece {n}\n".encode()) for n in range(1, 7)] == [1] * 6
