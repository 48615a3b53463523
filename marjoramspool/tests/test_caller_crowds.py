"""Crowds of callers that misbehave at the own interface of a real router process.

Each kept bodies, answers or connections without a bound for the whole process. The bounds are those
of `examples/router.ini`, which names no memory: the default counts.
"""

import asyncio
import resource
import ssl
from contextlib import AsyncExitStack, contextmanager

import aiohttp
import pytest
import trustme

from bench.crowd import Crowd, Meter, repeat, retry
from bench.documents import plain_document
from bench.fleet import Fleet
from marjoramspool.operators.client import OperatorClient

pytestmark = pytest.mark.crowd

MEMORY_MB = 300
DESCRIPTORS = 600
BODY_BYTES = 4 << 20
SETTLE_S = 6.0
RETRIES_S = 12.0
ATTEMPT_TIMEOUT_S = 5.0
ANSWER_BYTES = 3_000_000
LENGTH = f"Content-Length: {BODY_BYTES}\r\n"


def head(path="/services/desk/look", fields="", method="POST"):
    lines = f"{method} {path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer crews-key\r\n"
    return f"{lines}{fields}\r\n".encode()


@contextmanager
def descriptor_limit(count):
    """Have processes that are started meanwhile open at most `count` descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class Site:
    """One router process of the own interface, its stand-ins, and an ordinary caller."""

    def __init__(self, fleet, stack):
        self.fleet = fleet
        self.stack = stack
        self.context = None

    async def start(self, extra=""):
        await self.fleet.standin("platform", "platform")
        port = await self.fleet.standin("service", "desk", answer_bytes=ANSWER_BYTES)
        with descriptor_limit(DESCRIPTORS):
            self.router = await self.fleet.router("router-0", "domain-0", extra=extra)
        async with OperatorClient(f"127.0.0.1:{self.fleet.platform}") as operator:
            await operator.apply(plain_document("desk", [port], deadline="3s"), "tester", None)
        assert await retry(self.readiness, RETRIES_S) == 200
        assert await retry(self.request, RETRIES_S) == 200
        self.meter = await self.stack.enter_async_context(
            Meter(self.router.popen.pid, self.router.ports)
        )

    async def crowd(self, port=0):
        return await self.stack.enter_async_context(Crowd("127.0.0.1", self.router.ports[port]))

    async def attempt(self, method, path, **options):
        scheme = "https" if self.context else "http"
        url = f"{scheme}://127.0.0.1:{self.router.ports[0]}{path}"
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, ssl=self.context or True, **options) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def request(self):
        headers = {"Authorization": "Bearer crews-key"}
        return await self.attempt("POST", "/services/desk/look", headers=headers, data=b"road")

    async def readiness(self):
        return await self.attempt("GET", "/readyz")

    async def operators(self):
        url = f"http://127.0.0.1:{self.router.ports[2]}/status"
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def check(self):
        """Check that the process lives within its limits and serves an ordinary request."""
        attempts = (self.request, self.readiness, self.operators)
        answers = [await retry(attempt, RETRIES_S) for attempt in attempts]
        assert self.router.popen.poll() is None, "the process has ended"
        peak = self.meter.sample()
        assert peak.bytes < MEMORY_MB << 20, f"{peak.bytes >> 20} MB of {MEMORY_MB} MB"
        assert peak.descriptors < DESCRIPTORS, f"{peak.descriptors} of {DESCRIPTORS} descriptors"
        text = f"request, readiness and operators: {answers}\n{self.fleet.logs()[-2000:]}"
        assert answers == [200] * 3, text


@pytest.fixture
async def site():
    async with Fleet() as fleet, AsyncExitStack() as stack:
        yield Site(fleet, stack)


@pytest.mark.parametrize(
    "path", ["/services/desk/look", "/services/none/look", "/v1/chat/completions", "/none"]
)
async def test_bodies_that_stop_short_of_their_end(site, path):
    await site.start()
    crowd = await site.crowd()
    parts = [head(path, LENGTH), *repeat(b"b" * 65_536, 63)]
    await crowd.send(100, lambda _: parts, SETTLE_S)
    await site.check()


SILENT_FORMS = {
    "no byte": [],
    "half a head": [b"POST /services/desk/look HTTP/1.1\r\nHost: "],
    "one answered request": [head("/readyz", method="GET")],
}


@pytest.mark.parametrize("port", [0, 2], ids=["callers", "operators"])
@pytest.mark.parametrize("form", SILENT_FORMS)
async def test_connections_that_stay_open(site, form, port):
    await site.start()
    crowd = await site.crowd(port)
    await crowd.send(700, lambda _: SILENT_FORMS[form], SETTLE_S, reads=True)
    await site.check()


async def test_one_request_of_many_fields_within_the_limit_is_served(site):
    await site.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", site.router.ports[0])
    writer.write(head(fields="".join(f"f{n % 10}:\r\n" for n in range(1_000))))
    async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
        assert b" 200 " in await reader.readline()
    writer.close()
    await site.check()


async def test_slow_readers_of_long_answers(site):
    await site.start()
    crowd = await site.crowd()
    await crowd.send(150, lambda _: [head("/services/desk/long")], SETTLE_S)
    await site.check()


async def test_heads_that_do_not_end(site):
    await site.start()
    crowd = await site.crowd()
    parts = [head()[:-2], *(b"f%d: " % n + b"v" * 16_000 + b"\r\n" for n in range(120))]
    await crowd.send(200, lambda _: parts, SETTLE_S)
    await site.check()


@pytest.mark.parametrize("sent", [b"", b"\x16\x03\x01\x02\x00\x01\x00"], ids=["nothing", "half"])
async def test_tls_handshakes_that_stop(site, tmp_path, sent):
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    (tmp_path / "cert.pem").write_bytes(issued.cert_chain_pems[0].bytes())
    site.context = ssl.create_default_context()
    authority.configure_trust(site.context)
    extra = f"[callers-tls]\ncertificate = {tmp_path}/cert.pem\nkey = {tmp_path}/key.pem\n"
    await site.start(extra)
    crowd = await site.crowd()
    await crowd.send(700, lambda _: [sent], SETTLE_S)
    await site.check()
