"""Answers without end, at the product's own interface, fail their request alone."""

import asyncio
import time

import pytest

from bench.documents import model_document, plain_document
from bench.local import wait_until
from standins.endless import PATTERNS, EndlessTarget

DEADLINE_S = 2.0
# Of one attempt: the longest answer, and what sockets hold.
MAX_RECEIVED_BYTES = 24 << 20
CLOSE_S = 1.0


async def ask(fleet, kind):
    """Send one request; return its status, 0 if its answer broke off."""
    try:
        if kind == "plain":
            return (await fleet.post_closure("order"))[0]
        return (await fleet.chat("question", stream=kind == "stream"))[0]
    except (OSError, asyncio.IncompleteReadError):
        return 0


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("kind", ["plain", "chat", "stream"])
async def test_an_answer_without_end_fails_its_request_and_is_closed(fleet, pattern, kind):
    await fleet.add_routers(1)
    async with EndlessTarget(pattern) as target:
        document = plain_document if kind == "plain" else model_document
        name = "field-desk" if kind == "plain" else "grip-model"
        await fleet.apply(
            document(name, [target.port], deadline=f"{DEADLINE_S:g}s", idle_timeout="300ms")
        )
        started = time.monotonic()
        status = await ask(fleet, kind)
        assert time.monotonic() - started < DEADLINE_S + CLOSE_S
        assert status != 200
        await wait_until(
            lambda: target.open_connections == 0, "the connections are closed", CLOSE_S
        )
        assert target.sent <= target.requests * MAX_RECEIVED_BYTES
