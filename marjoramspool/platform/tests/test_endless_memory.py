"""A real router process keeps little of what engines send without end, and serves on.

Guards against a machine that runs out of memory, and whose other requests end with it.
"""

import asyncio
from contextlib import AsyncExitStack

import pytest

from bench.platform_fleet import HOST, KEY, route
from marjoramspool.platform.tests.test_crowds import site  # noqa: F401
from standins.endless import EndlessTarget
from standins.platform_engine import PlatformEngine

pytestmark = pytest.mark.crowd

TARGETS = 2
REQUESTS = 60
TIMEOUT_S = 3.0
# One in which no head begins, one whose head does not end, and two whose bodies do not.
SORTS = ("binary", "headers", "body", "chunks")


@pytest.mark.parametrize("pattern", SORTS)
async def test_bytes_without_end_of_engines(site, pattern):  # noqa: F811
    fleet = site.fleet
    async with AsyncExitStack() as stack:
        for number in range(TARGETS):
            target = await stack.enter_async_context(EndlessTarget(pattern))
            engine = PlatformEngine(f"i-e{number}", "endless", address=f"127.0.0.1:{target.port}")
            await fleet.put("servers", engine.id, engine.registration())
        await fleet.configure(
            route("/lookup/", "idempotent", "desk"),
            route("/endless/", "idempotent", "endless", timeout_ms=int(1000 * TIMEOUT_S)),
        )
        await site.start()
        endpoint = site.settings.client_endpoint
        answers = await asyncio.gather(
            *[
                site.attempt(
                    "POST",
                    endpoint,
                    "/endless/a",
                    headers={"Host": HOST, "Api-Key": KEY, "X-Request-Id": f"r{number}"},
                )
                for number in range(REQUESTS)
            ]
        )
        assert all(status is None or status >= 500 for status in answers)
        await site.check()
