"""A stream has begun and breaks off, and the next engine answers with an error.

Guards against the text of the error, or its head, in the middle of a stream, and against a stream
that ends as if it were complete. It goes on within an answer, at a copy of its run or after a
move, through another router, and where its caller takes it up.
"""

import asyncio

import aiohttp
import pytest
from yarl import URL

from bench.engine_cut import CutMode, cut_from_engines
from bench.platform_fleet import HOST, KEY, route
from marjoramspool.platform.tests import test_run_backups

CHAT = route("/chat/", "streaming", "model", stream_resume=True)
HEADERS = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": "aa:50,bb:10"}
PIECES = 12
TEXT = b"the error"
NAMED = b"X-Request-Id: %id\r\nX-Response-Signature: sig.9\r\n"
SSE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def whole(status, *fields, body=TEXT):
    """Return an answer with a length."""
    head = b"HTTP/1.1 " + status + b"\r\n" + NAMED + b"".join(fields)
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunked(status, *fields, body=TEXT, end=b"0\r\n\r\n"):
    """Return an answer in chunks."""
    head = b"HTTP/1.1 " + status + b"\r\n" + NAMED + b"".join(fields) + CHUNKED
    return head + b"%x\r\n" % len(body) + body + b"\r\n" + end


ERROR_EVENT = b'event: error\ndata: {"error":"the error"}\n\n'
ANSWERS = {
    "500": whole(b"500 Error"),
    "500 in chunks": chunked(b"500 Error"),
    "500 as events": chunked(b"500 Error", SSE, body=ERROR_EVENT),
    "404": whole(b"404 Not Found", b"Content-Type: text/html\r\n"),
    "302": whole(b"302 Found", b"Location: /x\r\n"),
    "502 cut": whole(b"502 Bad Gateway")[:-4],
    "503 refused": whole(b"503 Full", b"X-Not-Executed: 1\r\n"),
    "200 text": whole(b"200 OK"),
    "200 text in chunks": chunked(b"200 OK", b"Content-Type: text/plain\r\n"),
    "200 with an error event": chunked(b"200 OK", SSE, body=ERROR_EVENT),
    "200 with an error event of a length": whole(b"200 OK", SSE, body=ERROR_EVENT),
    "200 with no event": chunked(b"200 OK", SSE, body=b": nothing\n\n"),
    "200 with half an event": chunked(b"200 OK", SSE, body=b"data: the error\n"),
    "200 with a huge id": chunked(b"200 OK", SSE, body=b"id: %s\ndata: x\n\n" % (b"9" * 5000)),
    "no head": TEXT + b"\r\n\r\n",
    "nothing": b"",
}


def pieces(numbers):
    """Return the events of a stream with these numbers."""
    return b"".join(f"id: {number}\ndata: piece {number}\n\n".encode() for number in numbers)


async def read(site, path, request, index=0, **headers):
    """Send a request; return its status, its body, and whether the answer ended as complete."""
    headers = {"X-Request-Id": request, "Host": HOST, "Api-Key": KEY} | HEADERS | headers
    url = URL(f"http://{site.routers[index].settings.client_endpoint}{path}")
    received = b""
    async with site.session.post(url, headers=headers) as response:
        try:
            async for part in response.content.iter_any():
                received += part
        except aiohttp.ClientError:
            return response.status, received, False
        return response.status, received, True


def check_stream(answer, last=PIECES):
    """Check that an answer holds a beginning of the stream, and all of it if it is complete."""
    status, body, is_complete = answer
    assert status == 200
    assert TEXT not in body
    count = body.count(b"id: ")
    assert body == pieces(range(1, count + 1))
    assert count == last or not is_complete


async def start(site, answer, routers=1):
    for _ in range(2):
        await site.add_engine("model", is_stream=True, pieces=PIECES)
    await site.configure(CHAT)
    for _ in range(routers):
        await site.add_router()
    await site.wait_for_peers()
    for engine in site.engines:
        engine.resumption_answer = answer


def break_streams(site, times=1):
    for engine in site.engines:
        engine.faults["cut"] = times


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
async def test_an_error_is_no_part_of_a_stream_that_breaks(site, answer):
    await start(site, answer)
    break_streams(site)
    check_stream(await read(site, "/chat/x", "r1"))


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
async def test_an_error_is_no_part_of_a_stream_through_another_router(site, answer):
    await start(site, answer, routers=2)
    cut_from_engines(site.routers[0], CutMode.REFUSE)
    break_streams(site)
    check_stream(await read(site, "/chat/x", "r1"))
    check_stream(await read(site, "/chat/x", "r2"))


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
async def test_an_error_is_no_stream_for_a_caller_that_takes_it_up(site, answer):
    await start(site, answer)
    first = await read(site, "/chat/x", "r1")
    check_stream(first)
    resumed = {"Last-Event-Id": "3", "Resumes": "r1"}
    status, body, is_complete = await read(site, "/chat/x", "r2", **resumed)
    if status == 200:
        assert TEXT not in body
        assert not is_complete or body == pieces(range(4, PIECES + 1))


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
async def test_an_error_is_no_part_of_a_run_that_goes_on_at_its_copy(site, answer):
    await test_run_backups.start(site)
    task = asyncio.create_task(read(site, "/report/x", "r1"))
    engine = await wait_for_run(site, "r1")
    for other in site.engines:
        other.resumption_answer = answer
    await engine.stop()
    check_stream(await task, test_run_backups.PIECES)


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
async def test_an_error_is_no_part_of_a_run_that_is_moved(site, answer):
    await test_run_backups.start(site, backups=False)
    site.routers[0].forwarding.mover.moves.drain_periods_s["model"] = 0.5
    task = asyncio.create_task(read(site, "/report/x", "r1"))
    engine = await wait_for_run(site, "r1")
    for other in site.engines:
        other.resumption_answer = answer
    await site.put("servers", engine.id, engine.registration(state="draining"))
    check_stream(await task, test_run_backups.PIECES)


async def wait_for_run(site, request):
    """Return the engine that executes a request once it has sent some events."""
    while (engine := test_run_backups.engine_at_work(site, request)) is None:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    return engine
