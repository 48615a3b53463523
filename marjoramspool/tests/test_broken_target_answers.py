"""Answers of targets that are broken never reach a caller of the product's own interface.

Guards against a caller that gets what is no answer as `completed`, that is told that a request has
not run which may have, or that reads the bytes of the target in the text of an error.
"""

import gzip

import msgspec
import pytest

from bench.documents import model_document, plain_document
from bench.raw_http import ask, request_bytes
from standins.answer_forms import (
    BODY,
    BROKEN,
    LENGTH,
    ODD,
    OK,
    answer,
    ending_of,
)
from standins.raw_target import Ending, RawTarget

DEADLINE_S = 2.0
CHAT = {"model": "grip-model", "messages": [{"role": "user", "content": "question"}]}
REQUESTS = {
    "order": ("POST", "/services/field-desk/closures", b"order"),
    "lookup": ("GET", "/services/field-desk/runs", b""),
    "chat": ("POST", "/v1/chat/completions", msgspec.json.encode(CHAT)),
    "stream": ("POST", "/v1/chat/completions", msgspec.json.encode(CHAT | {"stream": True})),
}
PLAIN = ("order", "lookup")
UNTOLD = (BODY[:8], b"crews-key", b"127.0.0.1", b"Error", b"HTTP/", b"sig.9", b"Authorization")


async def start(fleet, target):
    """Let a target serve a plain service and a model."""
    port = int(target.address.rpartition(":")[2])
    await fleet.add_routers(1)
    options = {"deadline": f"{DEADLINE_S:g}s", "idle_timeout": "300ms"}
    await fleet.apply(plain_document("field-desk", [port], **options))
    await fleet.apply(model_document("grip-model", [port], **options))


async def play(fleet, kind, body=None, **fields):
    """Send a request of a kind; return the answer as its caller reads it."""
    method, path, usual = REQUESTS[kind]
    fields = {"Host": "router", "Authorization": "Bearer crews-key"} | fields
    endpoint = fleet.url().removeprefix("http://")
    return await ask(endpoint, request_bytes(method, path, f"r-{kind}", fields, body or usual))


def is_unknown(received):
    """Return whether an answer says, in words of the router, that the request may have run."""
    return (
        received.is_complete
        and received.status >= 500
        and received.status != 503
        and b"Marjoramspool-Outcome: unknown" in received.head
        and not any(quoted in received.body for quoted in UNTOLD)
    )


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_a_broken_answer_is_a_failure_of_its_target(fleet, broken):
    async with RawTarget(broken, Ending.CLOSE) as target:
        await start(fleet, target)
        for kind in REQUESTS:
            received = await play(fleet, kind)
            assert is_unknown(received), (kind, received)


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_an_odd_answer_is_served(fleet, odd):
    async with RawTarget(odd, ending_of(odd)) as target:
        await start(fleet, target)
        for kind in PLAIN:
            received = await play(fleet, kind)
            assert received.status in range(200, 300)
            assert (received.body, received.is_complete) == (BODY, True)


@pytest.mark.parametrize("ending", [Ending.RESET, Ending.SHUT, Ending.SHUT_AND_RESET])
async def test_a_part_of_an_early_answer_is_not_taken_for_the_whole(fleet, ending):
    early = {"reads_body": False, "receive_buffer_bytes": 4096}
    async with RawTarget(answer(length=b""), ending, **early) as target:
        await start(fleet, target)
        assert is_unknown(await play(fleet, "order", b"u" * 900_000))


@pytest.mark.parametrize("status", [429, 503])
@pytest.mark.parametrize("kind", ["chat", "stream"])
async def test_a_refusal_that_is_broken_does_not_say_not_run(fleet, kind, status):
    line = b"HTTP/1.1 %d Full\r\n" % status
    cut = answer(line, length=LENGTH.replace(b"22", b"23"))
    async with RawTarget(cut, Ending.CLOSE) as target:
        await start(fleet, target)
        assert is_unknown(await play(fleet, kind))


async def test_a_failure_in_the_form_of_a_stream_is_no_success(fleet):
    events = b'id: 0\ndata: {"id": "%id"}\n\ndata: [DONE]\n\n'
    line, kind = b"HTTP/1.1 500 Failure\r\n", b"Content-Type: text/event-stream\r\n"
    failure = answer(line, kind, body=events, length=b"")
    async with RawTarget(failure, Ending.CLOSE) as target:
        await start(fleet, target)
        assert (await play(fleet, "stream")).status >= 500


def encoded(line):
    """Return an answer whose body is encoded."""
    body = gzip.compress(BODY)
    length = b"Content-Length: %d\r\n" % len(body)
    return answer(line, b"Content-Encoding: gzip\r\n", body=body, length=length)


async def test_an_engine_that_encodes_its_answer_unasked_has_failed(fleet):
    async with RawTarget(encoded(b"HTTP/1.1 400 Bad Request\r\n"), Ending.OPEN) as target:
        await start(fleet, target)
        assert is_unknown(await play(fleet, "chat"))


async def test_an_encoded_answer_of_a_plain_service_is_passed_on_as_it_is(fleet):
    """Callers and targets agree on encodings; the router passes on what both say of them."""
    async with RawTarget(encoded(OK), Ending.OPEN) as target:
        await start(fleet, target)
        received = await play(fleet, "lookup", **{"Accept-Encoding": "gzip"})
        assert (received.status, gzip.decompress(received.body)) == (200, BODY)
        assert b"Content-Encoding: gzip" in received.head
