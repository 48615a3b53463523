"""Answers without end cost a bounded amount, and end as failures of their request alone."""

import asyncio
import time

import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from standins.endless import PATTERNS, EndlessTarget
from standins.platform_engine import PlatformEngine

LOOKUP = route("/lookup/", "idempotent", "desk", timeout_ms=2000)
CHAT = route("/chat/", "streaming", "model", timeout_ms=2000, max_attempts=1)
TIMEOUT_S = 2.0
# Of one attempt: the longest answer, and what sockets hold.
MAX_RECEIVED_BYTES = 24 << 20
CLOSE_S = 1.0


async def register(site, target, service):
    engine = PlatformEngine("i-endless", service, address=f"127.0.0.1:{target.port}")
    await site.put("servers", engine.id, engine.registration())


async def send(site, path, method):
    try:
        status, _, body = await site.send(path, "r1", method=method)
    except (OSError, asyncio.IncompleteReadError):
        return 0, None
    return status, body


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize(
    ("path", "method", "service"),
    [
        ("/lookup/x", "GET", "desk"),
        ("/chat/x", "POST", "model"),
    ],
)
async def test_an_answer_without_end_fails_its_request_and_is_closed(
    site, pattern, path, method, service
):
    async with EndlessTarget(pattern) as target:
        await register(site, target, service)
        await site.configure(LOOKUP, CHAT)
        await site.add_router()
        started = time.monotonic()
        status, body = await send(site, path, method)
        assert time.monotonic() - started < TIMEOUT_S + CLOSE_S
        assert target.requests >= 1
        assert status >= 500 or body is None
        await wait_until(
            lambda: target.open_connections == 0, "the connections are closed", CLOSE_S
        )
        assert target.sent <= target.requests * MAX_RECEIVED_BYTES
        # The router serves on.
        assert await site.readiness() == 200
