"""Answers that are broken never reach a client, and odd but legal ones are served.

An engine in trouble sends what is no answer in the protocol. Guards against a client that gets it
as its answer, with a body that is not the engine's, that believes that a request has not run which
has, or that reads the bytes of the engine in the text of an error.
"""

from contextlib import asynccontextmanager

import pytest

from bench.local import wait_until
from bench.platform_fleet import HOST, KEY, route
from bench.raw_http import ask, request_bytes
from standins.answer_forms import (
    BODY,
    BROKEN,
    BROKEN_STREAMS,
    LAST_EVENT,
    ODD,
    ODD_STREAMS,
    STOPPED,
    STREAM,
    ending_of,
)
from standins.platform_engine import PlatformEngine
from standins.raw_target import Ending, RawTarget

ROUTES = {
    "lookup": route("/lookup/", "idempotent", "desk", timeout_ms=1000),
    "order": route("/order/", "non_idempotent", "desk", max_attempts=1, timeout_ms=1000),
    "chat": route("/chat/", "streaming", "model", stream_resume=True, timeout_ms=1000),
    "report": route("/report/", "streaming", "model", max_attempts=1, timeout_ms=1000),
}
UNTOLD = (BODY[:8], KEY.encode(), b"127.0.0.1", b"Error", b"HTTP/", b"sig.9", b"\\x", b"Host")
NOT_RUN_STATUSES = (408, 421, 429, 503)


@asynccontextmanager
async def serving(site, answer, ending, **options):
    """Start a router and an engine of each service that sends the answer; yield the engines."""
    async with (
        RawTarget(answer, ending, **options) as desk,
        RawTarget(answer, ending, **options) as model,
    ):
        for service, target in (("desk", desk), ("model", model)):
            engine = PlatformEngine(f"i-{service}", service, address=target.address)
            await site.put("servers", engine.id, engine.registration())
        await site.configure(*ROUTES.values())
        router = await site.add_router()
        await wait_until(lambda: len(router.engines.engines) == 2, "the engines are listed")
        yield desk, model


async def play(site, kind, method="POST", body=b"question"):
    """Send a request of a kind; return the answer as its client reads it."""
    endpoint = site.routers[0].settings.client_endpoint
    fields = {"Host": HOST, "Api-Key": KEY}
    return await ask(endpoint, request_bytes(method, f"/{kind}/x", f"r-{kind}", fields, body))


def is_own_failure(received):
    """Return whether an answer is a failure of the router that does not say "not run".

    Its text quotes neither the engine nor the request, and does not name an address.
    """
    return (
        received.is_complete
        and received.status >= 500
        and received.status not in NOT_RUN_STATUSES
        and b"sig.9" not in received.head
        and not any(quoted in received.body for quoted in UNTOLD)
    )


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.OPEN, Ending.RESET])
@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_a_broken_answer_is_a_failure_of_its_engine(site, broken, ending):
    async with serving(site, broken, ending) as (desk, model):
        for kind in ROUTES:
            received = await play(site, kind)
            assert is_own_failure(received), (kind, received)
        assert {f"r-{kind}" for kind in ROUTES} <= {*desk.requests, *model.requests}
        assert await site.readiness() == 200


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("beginning", STOPPED.values(), ids=STOPPED.keys())
async def test_an_engine_that_stops_in_a_head_has_sent_no_answer(site, beginning, ending):
    async with serving(site, beginning, ending):
        for kind in ROUTES:
            received = await play(site, kind)
            assert is_own_failure(received), (kind, received)
        sound = await site.add_engine("desk")
        await wait_until(lambda: len(site.routers[0].engines.engines) == 3, "one more is listed")
        status, _, body = await site.send("/lookup/x", "r-next", method="GET")
        assert (status, body) == (200, b"answer to r-next")
        assert sound.runs("r-next") == 1


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_an_odd_answer_is_served(site, odd):
    async with serving(site, odd, ending_of(odd)):
        for kind in ("lookup", "order"):
            received = await play(site, kind)
            assert received.status in range(200, 300)
            assert received.is_complete
            assert received.body == BODY
            assert b"sig.9" in received.head


@pytest.mark.parametrize("odd", ODD_STREAMS.values(), ids=ODD_STREAMS.keys())
async def test_an_odd_stream_is_served(site, odd):
    async with serving(site, odd, ending_of(odd)):
        for kind in ("chat", "report"):
            received = await play(site, kind)
            assert (received.status, received.body) == (200, STREAM)
            assert received.is_complete


@pytest.mark.parametrize("broken", BROKEN_STREAMS.values(), ids=BROKEN_STREAMS.keys())
async def test_a_stream_that_is_broken_midway_does_not_look_complete(site, broken):
    async with serving(site, broken, Ending.CLOSE):
        for kind in ("chat", "report"):
            received = await play(site, kind)
            assert received.status >= 500 or not received.is_complete
            assert received.status >= 500 or (STREAM + LAST_EVENT).startswith(received.body)
