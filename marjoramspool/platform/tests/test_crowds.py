"""Crowds of clients that misbehave at the entrance of a real router process.

Each crowd ended a process, or kept it from serving anybody: it kept bodies, headers, answers and
connections without a bound for the whole process. The bounds are those of the settings.
"""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack

import aiohttp
import pytest

from bench.crowd import Crowd, Meter, limit_descriptors, repeat, retry
from bench.local import wait_until
from bench.platform_fleet import HOST, KEY, PlatformFleet, route
from bench.router_process import RouterProcess

pytestmark = pytest.mark.crowd

MEMORY_MB = 160
DESCRIPTORS = 600
BODY_BYTES = 1_000_000
HEADER_BYTES = 32_000
LIMITS = {
    "max_header_bytes": HEADER_BYTES,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 8_000,
}
SETTLE_S = 6.0
# As long as clients may go on to try.
RETRIES_S = 12.0
ATTEMPT_TIMEOUT_S = 5.0
STREAM_TIMEOUT_S = 20.0
METRICS_PORT_OFFSET = 3
READINESS_PATH = "/marjoramspool/readyz"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def head(path="/lookup/a", fields="", method="POST", host=HOST, key=KEY):
    lines = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nApi-Key: {key}\r\nX-Request-Id: crowd\r\n"
    return f"{lines}{fields}\r\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Site:
    """One router process with limits, its stand-ins, and an ordinary client."""

    def __init__(self, fleet, folder):
        self.fleet = fleet
        self.folder = folder
        self.stack = AsyncExitStack()
        self.process = None
        self.meter = None

    async def start(self, wait=True, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
        settings = self.fleet.settings("front-1", "127.0.0.21", "zone-1")
        self.settings = settings
        with (self.folder / "router.log").open("ab") as log:
            self.process = RouterProcess(settings, self.folder / "settings.json", log)
            self.process.write_settings(
                limits={"memory_mb": memory_mb, "max_fds": descriptors, "link_mbps": 1000.0}
            )
            self.metrics_port = self.fleet.metrics_port
            await self.process.launch("--metrics", f"{self.metrics_port}/metrics")
        self.stack.push_async_callback(self.process.end)
        limit_descriptors(self.process.process.pid, descriptors)
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        if wait:
            await self.wait_until_ready()
        ports = [self.port(self.settings.client_endpoint), self.readiness_port, self.metrics_port]
        self.meter = await self.stack.enter_async_context(Meter(self.process.process.pid, ports))

    @staticmethod
    def port(endpoint):
        return int(endpoint.rpartition(":")[2])

    @property
    def readiness_port(self):
        return self.port(self.settings.readiness_endpoint)

    @property
    def client_port(self):
        return self.port(self.settings.client_endpoint)

    async def crowd(self, port=None):
        crowd = Crowd(self.settings.address, port or self.client_port)
        return await self.stack.enter_async_context(crowd)

    async def wait_until_ready(self):
        async with asyncio.timeout(RETRIES_S):
            while await self.readiness() != 200:
                await asyncio.sleep(0.05)

    async def readiness(self):
        return await self.attempt("GET", self.settings.readiness_endpoint, READINESS_PATH)

    async def attempt(self, method, endpoint, path, timeout_s=ATTEMPT_TIMEOUT_S, **options):
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, f"http://{endpoint}{path}", **options) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def request(self, headers=None, path="/lookup/ordinary", **options):
        headers = {"Host": HOST, "Api-Key": KEY, "X-Request-Id": "ordinary"} | (headers or {})
        endpoint = self.settings.client_endpoint
        return await self.attempt("POST", endpoint, path, headers=headers, **options)

    async def metrics(self):
        url = f"http://{self.settings.address}:{self.metrics_port}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return await response.text()

    async def check(self, is_served=True):
        """Check that the process lives within its limits and serves an ordinary request."""
        answers = []
        if is_served:
            answers = [await retry(self.request, RETRIES_S), await retry(self.readiness, RETRIES_S)]
        assert self.process.is_running, "the process has ended"
        peak = self.meter.sample()
        assert peak.bytes < self.memory_mb << 20, f"{peak.bytes >> 20} MB of {self.memory_mb} MB"
        text = f"{peak.descriptors} of {self.descriptors} descriptors"
        assert peak.descriptors < self.descriptors, text
        assert answers in ([], [200, 200]), f"request and readiness: {answers}"


@pytest.fixture
async def site(tmp_path):
    async with PlatformFleet() as fleet, AsyncExitStack() as stack:
        fleet.metrics_port = fleet.ports[-1] + METRICS_PORT_OFFSET
        await fleet.add_engine("desk")
        await fleet.add_engine("model", is_stream=True)
        await fleet.configure(
            route("/lookup/", "idempotent", "desk"),
            route("/slow/", "idempotent", "desk", timeout_ms=20_000),
            route("/wide/", "idempotent", "wide", timeout_ms=20_000, target_latency_ms=15_000),
            route("/chat/", "streaming", "model", timeout_ms=20_000),
            limits=LIMITS,
        )
        site = Site(fleet, tmp_path)
        stack.push_async_callback(site.stack.aclose)
        yield site


LENGTH = f"Content-Length: {BODY_BYTES}\r\n"
BODY_FORMS = {
    "whole": lambda path: [head(path, LENGTH), b"b" * (BODY_BYTES - 1)],
    "pieces": lambda path: [
        head(path, LENGTH),
        *repeat(b"b" * 999, BODY_BYTES // 1000),
    ],
    "chunks": lambda path: [
        head(path, CHUNKED),
        *repeat(chunk(b"b" * 10_000) * 10, BODY_BYTES // 100_000 - 1),
    ],
    "byte chunks": lambda path: [
        head(path, CHUNKED),
        *repeat(chunk(b"b") * 10_000, BODY_BYTES // 10_000 - 1),
    ],
}


@pytest.mark.parametrize("path", ["/lookup/a", "/none/a"])
@pytest.mark.parametrize("form", BODY_FORMS)
async def test_bodies_that_stop_short_of_their_end(site, form, path):
    await site.start()
    crowd = await site.crowd()
    await crowd.send(200, lambda _: BODY_FORMS[form](path), SETTLE_S)
    await site.check()


async def test_bodies_of_an_unknown_key_that_stop_short_of_their_end(site):
    await site.start()
    crowd = await site.crowd()
    parts = [head("/lookup/a", LENGTH, key="unknown"), b"b" * (BODY_BYTES - 1)]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    await site.check()


@pytest.mark.parametrize("form", ["length", "chunks"])
async def test_bodies_far_over_the_limit(site, form):
    await site.start()
    crowd = await site.crowd()
    size = 40 * BODY_BYTES
    if form == "length":
        parts = [head(fields=f"Content-Length: {size}\r\n"), *repeat(b"b" * 100_000, 400)]
    else:
        parts = [head(fields=CHUNKED), *repeat(chunk(b"b" * 100_000), 400)]
    await crowd.send(40, lambda _: parts, SETTLE_S)
    await site.check()


SILENT_FORMS = {
    "no byte": [],
    "half a head": [b"POST /lookup/a HTTP/1.1\r\nHost: "],
    "one answered request": [head()],
}


@pytest.mark.parametrize("form", SILENT_FORMS)
async def test_connections_that_stay_open(site, form):
    await site.start()
    crowd = await site.crowd()
    await crowd.send(700, lambda _: SILENT_FORMS[form], SETTLE_S, reads=True)
    await site.check()


READINESS_FORMS = {
    "no byte": [],
    "half a head": [f"GET {READINESS_PATH} HTTP/1.1\r\nHost: ".encode()],
    "one answered request": [head(READINESS_PATH, method="GET")],
}


@pytest.mark.parametrize("form", READINESS_FORMS)
async def test_connections_that_stay_open_at_the_readiness_address(site, form):
    await site.start()
    crowd = await site.crowd(site.readiness_port)
    await crowd.send(700, lambda _: READINESS_FORMS[form], SETTLE_S, reads=True)
    await site.check()


@pytest.mark.parametrize("form", BODY_FORMS)
async def test_bodies_at_the_readiness_address(site, form):
    await site.start()
    crowd = await site.crowd(site.readiness_port)
    await crowd.send(200, lambda _: BODY_FORMS[form](READINESS_PATH), SETTLE_S)
    await site.check()


@pytest.mark.parametrize("form", READINESS_FORMS)
async def test_connections_that_stay_open_at_the_metrics_address(site, form):
    await site.start()
    crowd = await site.crowd(site.metrics_port)
    await crowd.send(700, lambda _: READINESS_FORMS[form], SETTLE_S, reads=True)
    await site.check()


def fields(count):
    return "".join(f"f{number % 10}:\r\n" for number in range(count))


@pytest.mark.parametrize("count", [100, 1_000, 5_000])
async def test_one_request_of_many_fields_within_the_limit_is_served(site, count):
    """In calm, whatever the number: the pages limit only the bytes of the headers."""
    await site.start()
    reader, writer = await asyncio.open_connection(site.settings.address, site.client_port)
    writer.write(head(fields=fields(count)))
    async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
        assert b" 200 " in await reader.readline()
    writer.close()
    await site.check()


async def test_many_requests_of_many_fields(site):
    await site.start()
    crowd = await site.crowd()
    parts = [head(fields=fields(5_000) + "Content-Length: 9\r\n")]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    await site.check()


async def test_many_heads_of_many_fields_that_do_not_end(site):
    await site.start()
    crowd = await site.crowd()
    parts = [head(fields=fields(6_000))[:-2]]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    await site.check()


async def test_requests_sent_ahead_without_reading_the_answers(site):
    await site.start()
    crowd = await site.crowd()
    await crowd.send(40, lambda _: [head() * 8_000], SETTLE_S)
    await site.check()


async def test_bodies_sent_ahead_without_reading_the_answers(site):
    await site.start()
    site.fleet.engines[0].work_s = 2.0
    crowd = await site.crowd()
    request = head("/slow/a", "Content-Length: 60000\r\n") + b"b" * 60_000
    await crowd.send(200, lambda _: [request * 40], SETTLE_S)
    site.fleet.engines[0].work_s = 0.0
    await site.check()


async def test_senders_of_a_few_bytes_a_second(site):
    await site.start()
    crowd = await site.crowd()
    await crowd.send(
        350, lambda _: [head(fields=LENGTH), *repeat(b"b", 200, pause_s=0.3)], SETTLE_S
    )
    await site.check()


ODD_FORMS = {
    "long fields": lambda: [
        head()[:-2],
        *(b"f%d: " % n + b"v" * 60_000 + b"\r\n" for n in range(120)),
    ],
    "one field without end": lambda: [head()[:-2], b"f: ", *repeat(b"v" * 10_000, 400)],
    "a path without end": lambda: [b"GET /", *repeat(b"a" * 10_000, 400)],
    "empty lines": lambda: repeat(b"\r\n" * 10_000, 200, pause_s=0.01),
    "trailers without end": lambda: [
        head(fields=CHUNKED),
        b"0\r\n",
        *repeat(b"t: " + b"v" * 60_000 + b"\r\n", 120),
    ],
    "many short trailers": lambda: [
        head(fields=CHUNKED),
        b"0\r\n",
        *repeat(b"t:\r\n" * 10_000, 100),
    ],
    "a chunk extension without end": lambda: [
        head(fields=CHUNKED),
        b"1;",
        *repeat(b"e" * 10_000, 400),
    ],
    "long chunk extensions": lambda: [
        head(fields=CHUNKED),
        *repeat((b"1;" + b"e" * 9_000 + b"\r\nb\r\n") * 10, 50),
    ],
    "a chunk size of many digits": lambda: [head(fields=CHUNKED), b"f" * 100_000],
    "bytes after the last request": lambda: [
        head("/slow/a", "Connection: close\r\n"),
        *repeat(b"\x00" * 250_000, 60, pause_s=0.02),
    ],
    "bytes that are no request": lambda: repeat(b"\x00" * 250_000, 60, pause_s=0.02),
    "bytes that are no request behind a request": lambda: [
        head("/slow/a"),
        *repeat(b"\x00" * 250_000, 60, pause_s=0.02),
    ],
    "a change of protocol": lambda: [
        head("/slow/a", "Connection: Upgrade\r\nUpgrade: websocket\r\n"),
        *repeat(b"u" * 250_000, 60, pause_s=0.02),
    ],
    "a tunnel": lambda: [
        f"CONNECT {HOST}:80 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(),
        *repeat(b"u" * 250_000, 60, pause_s=0.02),
    ],
    "two lengths": lambda: [
        head(fields="Content-Length: 9\r\nContent-Length: 10\r\n"),
        *repeat(b"b" * 250_000, 60, pause_s=0.02),
    ],
    "a compressed body": lambda: [
        head(fields=LENGTH + "Content-Encoding: gzip\r\n"),
        b"b" * (BODY_BYTES - 1),
    ],
}


@pytest.mark.parametrize("form", ODD_FORMS)
async def test_odd_framing(site, form):
    await site.start()
    site.fleet.engines[0].work_s = 2.0
    crowd = await site.crowd()
    await crowd.send(200, lambda _: ODD_FORMS[form](), SETTLE_S)
    site.fleet.engines[0].work_s = 0.0
    await site.check()


async def test_slow_readers_of_long_answers(site):
    """Guards against answers that are kept for clients which read nothing."""
    await site.start()
    site.fleet.engines[0].padding_bytes = 900_000
    crowd = await site.crowd()
    await crowd.send(150, lambda _: [head("/slow/a")], SETTLE_S)
    site.fleet.engines[0].padding_bytes = 0
    await site.check()


async def test_slow_readers_of_long_streams(site):
    await site.start()
    site.fleet.engines[1].padding_bytes = 60_000
    site.fleet.engines[1].pieces = 100
    crowd = await site.crowd()
    await crowd.send(150, lambda _: [head("/chat/a")], SETTLE_S)
    await site.check()


async def test_resets(site):
    """Guards against what a connection holds after its client has reset it."""
    await site.start()
    for _ in range(5):
        async with Crowd(site.settings.address, site.client_port) as crowd:
            parts = [head(fields=LENGTH), b"b" * 500_000]
            await crowd.send(200, lambda _, parts=parts: parts, 1.0)
    await site.check()


async def test_bodies_at_targets_that_read_slowly(site):
    """Guards against complete bodies that are kept until their target reads them."""
    await site.start()
    site.fleet.engines[0].body_delay_s = 4.0
    crowd = await site.crowd()
    parts = [head("/slow/a", LENGTH), b"b" * BODY_BYTES]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    site.fleet.engines[0].body_delay_s = 0.0
    await site.check()


async def test_bodies_while_no_route_table_is_known(site):
    site.fleet.arm("outage", times=-1)
    await site.start(wait=False)
    await asyncio.sleep(2.0)
    crowd = await site.crowd()
    parts = [head(fields=LENGTH), b"b" * (BODY_BYTES - 1)]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    site.fleet.arm("clear")
    await site.check()


async def test_bodies_while_the_store_is_away(site):
    await site.start()
    site.fleet.arm("outage", times=-1)
    crowd = await site.crowd()
    parts = [head(fields=LENGTH), b"b" * (BODY_BYTES - 1)]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    await site.check()


@pytest.mark.parametrize("form", ["bodies", "half a head", "no byte"])
async def test_a_router_that_drains_ends(site, form):
    await site.start()
    crowd = await site.crowd()
    parts = {"bodies": [head(fields=LENGTH), b"b" * (BODY_BYTES - 1)]} | SILENT_FORMS
    await crowd.send(200, lambda _: parts[form], SETTLE_S)
    site.process.signal(signal.SIGTERM)
    await crowd.send(100, lambda _: parts[form], 1.0)
    peak = site.meter.sample()
    async with asyncio.timeout(RETRIES_S):
        assert await site.process.process.wait() == 0
    assert peak.bytes < MEMORY_MB << 20, f"{peak.bytes >> 20} MB of {MEMORY_MB} MB"


async def test_ordinary_streams_are_not_cut_for_a_crowd(site):
    """Guards against room that is made at the cost of requests which have run."""
    await site.start()
    site.fleet.engines[1].pieces = 1_000
    site.fleet.engines[1].piece_interval_s = 0.01
    streams = [
        asyncio.create_task(
            site.request(
                {"X-Request-Id": f"s{number}"},
                f"/chat/{number}",
                data=b"s",
                timeout_s=STREAM_TIMEOUT_S,
            )
        )
        for number in range(10)
    ]
    await wait_until(lambda: len(site.fleet.engines[1].at_work) == 10, "the streams are at work")
    crowds = [await site.crowd() for _ in range(2)]
    parts = [head(fields=LENGTH), b"b" * (BODY_BYTES - 1)]
    await crowds[0].send(200, lambda _: parts, 2.0)
    await crowds[1].send(700, lambda _: [], 2.0)
    assert await asyncio.gather(*streams) == [200] * len(streams)
    await site.check()


async def test_a_burst_of_ordinary_clients_finds_room(site):
    """Guards against defaults that clients within the limits meet.

    It is what docs/CAPACITY.md works out for the busiest sheet with hosts of this size: half of the
    hosts gone, twice the mean on one host, four times the usual rate, all for their whole time.
    """
    await site.start(memory_mb=300, descriptors=4_100)
    # Several, since each accepts few connections at a time.
    wide = [
        await site.fleet.add_engine(
            "wide", is_stream=True, work_slots=100, piece_interval_s=1.0, pieces=16
        )
        for _ in range(32)
    ]
    crowd = await site.crowd()
    fields = "".join(f"X-Field-{number}: {'v' * 40}\r\n" for number in range(12))
    await crowd.send(1_024, lambda _: [head("/wide/a", fields)], SETTLE_S, reads=True)
    await wait_until(
        lambda: sum(engine.running for engine in wide) >= 1_000, "the requests are at work"
    )
    await site.check()
    assert "clients_refused" not in await site.metrics()
    assert "clients_evicted" not in await site.metrics()


async def test_a_crowd_of_each_kind_at_once(site):
    await site.start()
    bodies, silent, heads = [await site.crowd() for _ in range(3)]
    parts = [head(fields=LENGTH), b"b" * (BODY_BYTES - 1)]
    await asyncio.gather(
        bodies.send(150, lambda _: parts, SETTLE_S),
        silent.send(400, lambda _: [], SETTLE_S),
        heads.send(150, lambda _: [head(fields=fields(5_000))[:-2]], SETTLE_S),
    )
    await site.check()


if sys.platform != "linux":
    pytest.skip("the meters read /proc", allow_module_level=True)
