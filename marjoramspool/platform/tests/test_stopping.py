"""Startup, signals and shutdown of a router process, as clients and the load balancer see them.

A shutdown that closes connections too early loses requests that were already forwarded. The load
balancer sends new requests until it has removed the router.
"""

import asyncio
import os
import signal
import socket
import time
from dataclasses import replace
from pathlib import Path

import aiohttp
import msgspec
import pytest

from bench.engine_cut import CutMode, cut_from_engines
from bench.platform_fleet import HOST, KEY, route
from bench.raw_http import read_answer, request_bytes
from bench.router_process import RouterProcess

WAIT_S = 10.0
GRACE_S = 4.0


class Router(RouterProcess):
    """Router process with the requests that clients and the load balancer send to it."""

    def __init__(self, site, path):
        settings = site.settings("front-1", "127.0.0.31", "zone-a")
        settings = replace(settings, bounds=replace(settings.bounds, shutdown_grace_s=GRACE_S))
        super().__init__(settings, path, path.with_name("log").open("w+b"))
        self.site = site

    async def start(self, *arguments, ready=True):
        await self.launch(*arguments)
        if ready:
            await self.wait_ready()

    async def wait_ready(self):
        deadline = time.monotonic() + WAIT_S
        while await self.readiness() != 200:
            assert time.monotonic() < deadline, "router not ready in time"
            await asyncio.sleep(0.05)

    async def readiness(self):
        url = f"http://{self.settings.readiness_endpoint}/marjoramspool/readyz"
        try:
            async with self.site.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    async def ask(self, path, request, session=None, method="GET"):
        headers = {"X-Request-Id": request, "Host": HOST, "Api-Key": KEY}
        url = f"http://{self.settings.client_endpoint}{path}"
        session = session or self.site.session
        async with session.request(method, url, headers=headers) as response:
            return response.status, response.headers, await response.read()

    async def lines(self):
        """Return the log lines after the end of the process."""
        await self.process.wait()
        self.log.seek(0)
        return [msgspec.json.decode(line) for line in self.log.read().splitlines()]


@pytest.fixture
async def router(site, tmp_path):
    await site.add_engine("desk")
    await site.add_engine("model", is_stream=True, pieces=40, piece_interval_s=0.05)
    await site.configure(
        route("/lookup/", "idempotent", "desk"),
        route("/order/", "non_idempotent", "desk"),
        route("/report/", "streaming", "model", timeout_ms=9000),
    )
    router = Router(site, tmp_path / "settings.json")
    router.write_settings()
    yield router
    await router.end()


async def test_shutdown_completes_requests_in_flight_and_answers_new_ones(router):
    await router.start()
    stream = asyncio.create_task(router.ask("/report/x", "long"))
    await asyncio.sleep(0.3)
    async with aiohttp.ClientSession() as reused_session:
        await router.ask("/lookup/x", "warm", reused_session)
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert await router.readiness() == 503
        status, headers, _ = await router.ask("/order/x", "late", reused_session, "POST")
        assert status == 200
        assert headers["Connection"] == "close"
    status, _, body = await stream
    assert (status, body.count(b"id:")) == (200, 40)
    assert await asyncio.wait_for(router.process.wait(), WAIT_S) == 0


async def test_requests_racing_with_shutdown_are_answered_or_not_forwarded(router):
    await router.start()
    cut = []

    async def keep_asking(number):
        count = 0
        async with aiohttp.ClientSession() as session:
            while True:
                count += 1
                arrivals = len(router.site.engines[0].arrivals)
                try:
                    await router.ask("/order/x", f"r{number}-{count}", session, "POST")
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError:
                    seen = router.site.engines[0].arrivals[arrivals:]
                    cut.extend(a for a in seen if a.id == f"r{number}-{count}")

    router.process.send_signal(signal.SIGTERM)
    await asyncio.wait_for(asyncio.gather(*[keep_asking(n) for n in range(8)]), WAIT_S)
    assert not cut, "the connection of a forwarded request was closed"
    assert await asyncio.wait_for(router.process.wait(), WAIT_S) == 0


async def test_a_connection_whose_stream_outlasts_the_removal_delay_takes_no_more_requests(router):
    site = router.site
    await site.add_engine("slow", is_stream=True, pieces=60, piece_interval_s=0.05)
    await site.configure(
        route("/order/", "non_idempotent", "desk"),
        route("/slow/", "streaming", "slow", timeout_ms=9000),
    )
    await router.start()
    async with aiohttp.ClientSession() as reused_session, aiohttp.ClientSession() as other:
        first = asyncio.create_task(router.ask("/slow/x", "first", reused_session))
        await asyncio.sleep(0.1)
        router.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.4)
        longer = asyncio.create_task(router.ask("/slow/x", "longer", other))
        assert (await first)[2].count(b"id:") == 60
        with pytest.raises(aiohttp.ClientError):
            await router.ask("/order/x", "late", reused_session, "POST")
        assert not any(arrival.id == "late" for arrival in site.engines[0].arrivals)
        assert (await longer)[2].count(b"id:") == 60
    assert await asyncio.wait_for(router.process.wait(), WAIT_S) == 0


WORK_S = 1.0
# Bodies are complete at these times after the signal; later ones could not be read any more.
LATE_S = [0.1 * step for step in range(1, 36)]
LATE_KINDS = ("/lookup/", "/order/", "/report/")


async def ask_late(router, path, request, delay_s, signalled):
    """Send a head and half of a body, the rest some time after the signal; return the answer."""
    fields = {"Host": HOST, "Api-Key": KEY}
    whole = request_bytes("POST", path, request, fields, b"u" * 200)
    host, _, port = router.settings.client_endpoint.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(whole[:-100])
        await signalled.wait()
        await asyncio.sleep(delay_s)
        writer.write(whole[-100:])
        return await read_answer(reader)
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("path", LATE_KINDS)
async def test_a_request_that_is_complete_late_is_served_whole_or_refused_as_not_run(router, path):
    site = router.site
    desk = await site.add_engine("late-desk", work_s=WORK_S)
    model = await site.add_engine("late-model", is_stream=True, pieces=20, piece_interval_s=0.05)
    await site.configure(
        route("/lookup/", "idempotent", "late-desk", target_latency_ms=2000, timeout_ms=9000),
        route("/order/", "non_idempotent", "late-desk", timeout_ms=9000),
        route("/report/", "streaming", "late-model", timeout_ms=9000),
    )
    await router.start()
    assert (await router.ask(f"{path}x", "known", method="POST"))[0] == 200
    signalled = asyncio.Event()
    asked = {
        f"late-{n}": asyncio.create_task(
            ask_late(router, f"{path}x", f"late-{n}", delay_s, signalled)
        )
        for n, delay_s in enumerate(LATE_S)
    }
    await asyncio.sleep(0.3)
    router.process.send_signal(signal.SIGTERM)
    signalled.set()
    answers = dict(zip(asked, await asyncio.gather(*asked.values()), strict=True))
    assert await asyncio.wait_for(router.process.wait(), WAIT_S) == 0
    passed_on = {arrival.id for arrival in desk.arrivals + model.arrivals}
    served = {name for name, answer in answers.items() if answer.status == 200}
    cut = sorted(name for name in passed_on & answers.keys() if not answers[name].is_complete)
    assert cut == []
    assert served == passed_on & answers.keys()
    # Those that become complete in the first half of the grace are served.
    assert served >= {f"late-{n}" for n, delay_s in enumerate(LATE_S) if delay_s < GRACE_S / 2}
    refused = [answers[name] for name in answers.keys() - served]
    assert {answer.status for answer in refused} == {503}
    assert all(b"Retry-After: " in answer.head and answer.is_complete for answer in refused)


async def test_a_request_that_never_becomes_complete_is_refused_before_the_end(router):
    await router.start()
    host, _, port = router.settings.client_endpoint.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {"Host": HOST, "Api-Key": KEY, "X-Request-Deadline-Ms": "9000"}
    writer.write(request_bytes("POST", "/order/x", "half", fields, b"u" * 200)[:-100])
    await asyncio.sleep(0.1)
    router.process.send_signal(signal.SIGTERM)
    answer = await read_answer(reader)
    assert answer.status == 503
    assert b"Retry-After: " in answer.head
    assert answer.is_complete
    writer.transport.abort()
    assert await asyncio.wait_for(router.process.wait(), WAIT_S) == 0
    assert not any(arrival.id == "half" for arrival in router.site.engines[0].arrivals)


async def test_a_router_that_stops_takes_nothing_from_other_routers(site):
    engine = await site.add_engine("desk")
    await site.configure(route("/order/", "non_idempotent", "desk"))
    sender, stopping = await site.add_router(), await site.add_router()
    await site.wait_for_peers()
    cut_from_engines(sender, CutMode.REFUSE)
    assert (await site.send("/order/x", "before"))[0] == 200
    stopping.ingress.begin_drain(GRACE_S, 0.0)
    status, headers, _ = await site.send("/order/x", "after")
    assert status == 503
    assert "Retry-After" in headers
    assert [arrival.id for arrival in engine.arrivals] == ["before"]


async def test_idle_connections_are_closed_at_shutdown(router):
    await router.start()
    host, port = router.settings.client_endpoint.split(":")
    with socket.create_connection((host, int(port))) as idle:
        router.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(router.process.wait(), WAIT_S) == 0
        assert idle.recv(1) == b""


async def test_sighup_reloads_the_settings_without_breaking_streams(router):
    await router.start()
    stream = asyncio.create_task(router.ask("/report/x", "long"))
    await asyncio.sleep(0.2)
    for _ in range(3):
        router.write_settings(more="changed")
        router.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.05)
    status, _, body = await stream
    assert (status, body.count(b"id:")) == (200, 40)
    router.path.write_text("{broken")
    router.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.1)
    assert await router.readiness() == 200
    router.process.terminate()
    events = [line["event"] for line in await router.lines()]
    assert events.count("SETTINGS_READ") == 3
    assert "SETTINGS_INVALID" in events


async def test_a_changed_store_address_is_applied_without_a_signal(router):
    await router.start()
    router.write_settings(platform={"address": "127.0.0.1:1"})
    await asyncio.sleep(3.0)
    assert (await router.ask("/lookup/x", "r"))[0] == 200
    router.process.terminate()
    assert "SETTINGS_READ" in [line["event"] for line in await router.lines()]


async def test_invalid_settings_end_the_startup_with_a_clear_error(router):
    router.write_settings(listen={"front": "nowhere", "readiness": "127.0.0.1:1"})
    await router.start(ready=False)
    assert await router.process.wait() == 2
    router.log.seek(0)
    error = router.log.read()
    assert b"listen.front" in error
    assert b"not IP:PORT" in error


async def test_the_log_explains_a_request_and_the_metrics_count_it(router):
    await router.start("--metrics", "9471/metrics")
    await router.ask("/lookup/x", "r1")
    url = f"http://{router.settings.address}:9471/metrics"
    async with router.site.session.get(url) as response:
        page = await response.text()
    assert "marjoramspool_outcomes_WholeAnswer_total 1.0" in page
    assert 'marjoramspool_first_answer_seconds_desk_bucket{le="+Inf"} 1.0' in page
    router.process.terminate()
    lines = await router.lines()
    request_events = [line["event"] for line in lines if line.get("request") == "r1"]
    assert request_events == ["REQUEST_PLACED", "ANSWER_BEGUN", "REQUEST_SERVED"]
    assert {"ROUTER_STARTED", "ROUTES_ADOPTED", "ENGINE_LISTED"} <= {x["event"] for x in lines}


async def test_a_stalled_log_reader_blocks_no_request(router):
    read_end, router.log = os.pipe()
    await router.start()
    for number in range(1500):
        status, _, _ = await router.ask("/lookup/x", f"r{number}")
        assert status == 200
    os.close(read_end)
    os.close(router.log)


async def test_sighup_during_startup_does_not_end_the_process(router):
    await router.start(ready=False)
    for _ in range(40):
        await asyncio.sleep(0.01)
        if router.process.returncode is None and await is_sighup_ignored(router):
            router.process.send_signal(signal.SIGHUP)
    await router.wait_ready()


async def is_sighup_ignored(router):
    """Return whether the program has started, which first sets SIGHUP to ignored."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    ignored = next(line for line in status.splitlines() if line.startswith("SigIgn"))
    return bool(int(ignored.split()[1], 16) & 1)
