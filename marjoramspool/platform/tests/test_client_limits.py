"""Limits on the size of client requests and on the time to receive them.

Without them slow or large requests occupy the router; enforced wrongly, they reject the rest of a
body as a new request or break connections that clients may still reuse.
"""

import asyncio
from contextlib import suppress

import pytest

from bench.local import wait_until
from bench.platform_fleet import HOST, KEY, PlatformFleet, route

LIMITS = {
    "max_header_bytes": 4_000,
    "max_body_bytes": 50_000,
    "header_timeout_ms": 400,
    "idle_timeout_ms": 800,
}


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        await fleet.add_engine("desk")
        await fleet.configure(route("/lookup/", "idempotent", "desk"), limits=LIMITS)
        await fleet.add_router()
        yield fleet


async def connect(fleet):
    host, port = fleet.routers[0].settings.client_endpoint.split(":")
    return await asyncio.open_connection(host, int(port))


async def test_a_body_and_headers_within_the_limits_pass(fleet):
    headers = {"X-Long": "h" * 3_000}
    status, _, _ = await fleet.send("/lookup/a", "r1", data=b"b" * 50_000, headers=headers)
    assert status == 200


async def test_a_longer_body_or_header_is_rejected_and_never_runs(fleet):
    assert (await fleet.send("/lookup/a", "r1", data=b"b" * 50_001))[0] == 413
    assert (await fleet.send("/lookup/a", "r2", headers={"X-Long": "h" * 4_000}))[0] == 431
    assert not fleet.engines[0].arrivals
    assert (await fleet.send("/lookup/a", "r3"))[0] == 200


async def test_incomplete_headers_are_rejected_after_the_timeout(fleet):
    reader, writer = await connect(fleet)
    writer.write(b"GET /lookup/a HTTP/1.1\r\nHost: ")
    async with asyncio.timeout(5.0):
        answer = await reader.read()
    assert answer.startswith(b"HTTP/1.1 408")
    writer.close()
    router = fleet.routers[0]
    await wait_until(
        lambda: not any(c.has_request for c in router.ingress.server.connections),
        "the request is dropped",
    )


async def test_the_rest_of_a_rejected_body_is_no_new_request(fleet):
    reader, writer = await connect(fleet)
    fields = f"Host: {HOST}\r\nApi-Key: {KEY}\r\nContent-Length: 90000\r\n"
    head = f"POST /lookup/a HTTP/1.1\r\n{fields}\r\n"
    writer.write(head.encode() + b"b" * 60_000)
    async with asyncio.timeout(5.0):
        assert b" 413 " in await reader.readline()
    writer.write(b"b" * 10_000)
    await asyncio.sleep(1.0)
    writer.write(b"b" * 20_000)
    with suppress(ConnectionError):
        async with asyncio.timeout(0.5):
            assert b"408" not in await reader.read(65_536)
    writer.close()


async def test_headers_in_pieces_are_served_and_the_connection_is_kept(fleet):
    reader, writer = await connect(fleet)
    head = f"GET /lookup/a HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\nX-Request-Id: r%d\r\n\r\n"
    for number in range(2):
        # The second request follows an idle time within the limit.
        await asyncio.sleep(0.6 * number)
        text = (head % number).encode()
        writer.write(text[:30])
        await asyncio.sleep(0.1)
        writer.write(text[30:])
        async with asyncio.timeout(5.0):
            assert b" 200 " in await reader.readline()
            while (await reader.readline()).strip():
                pass
            await reader.read(65_536)
        await asyncio.sleep(0.5)
    writer.close()


async def test_a_missing_body_is_answered_with_a_timeout(fleet):
    reader, writer = await connect(fleet)
    fields = f"Host: {HOST}\r\nApi-Key: {KEY}\r\nContent-Length: 9\r\n"
    writer.write(f"POST /lookup/a HTTP/1.1\r\n{fields}\r\n".encode())
    async with asyncio.timeout(5.0):
        assert b" 408 " in await reader.readline()
    writer.close()


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/none/a", KEY, 404), ("/lookup/a", "k", 401)]
)
async def test_what_is_known_before_the_body_is_decided_without_it(fleet, path, key, status):
    reader, writer = await connect(fleet)
    fields = f"Host: {HOST}\r\nApi-Key: {key}\r\nContent-Length: 9\r\n"
    writer.write(f"POST {path} HTTP/1.1\r\n{fields}\r\n".encode())
    async with asyncio.timeout(5.0):
        assert f" {status} ".encode() in await reader.readline()
    writer.close()


@pytest.mark.parametrize("end", [b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"])
@pytest.mark.parametrize("split", [1, 2, 3, 5])
async def test_a_request_whose_last_bytes_come_apart_keeps_its_connection(fleet, end, split):
    """Guards against a connection that is taken for one with the start of a next request."""
    reader, writer = await connect(fleet)
    fields = f"Host: {HOST}\r\nApi-Key: {KEY}\r\nX-Request-Id: r1"
    request = f"POST /lookup/a HTTP/1.1\r\n{fields}".encode() + end
    for _ in range(2):
        writer.write(request[:-split])
        await asyncio.sleep(0.05)
        writer.write(request[-split:])
        async with asyncio.timeout(5.0):
            assert b" 200 " in await reader.readline()
            await reader.readuntil(b"answer to ")
        # Longer than the time limit of a head.
        await asyncio.sleep(0.6)
    writer.close()
