"""What an engine says of itself beside an answer that is broken is not believed.

Guards against a sound engine that gets no requests since an answer was garbled, and against a
request that may have run and is reported as not run.
"""

import pytest

from marjoramspool.platform.tests.test_broken_answers import is_own_failure, play, serving
from standins.answer_forms import BODY, LENGTH, OK, answer, chunk, chunked
from standins.raw_target import Ending

NOTICES = (
    b"Server-Leaving: 1\r\nServer-Limit: 0.5\r\nX-Cold-Ms: 4000\r\n"
    b"X-Server-Load: 3, 2, 16\r\nServer-Brittle: 5\r\nRetry-After: 2\r\n"
)
NOT_EXECUTED = b"X-Not-Executed: 1\r\n"

REFUSALS = {
    "full": b"HTTP/1.1 503 Full\r\n",
    "too many": b"HTTP/1.1 429 Too Many\r\n",
    "too late": b"HTTP/1.1 408 Late\r\n",
    "misdirected": b"HTTP/1.1 421 Misdirected\r\n",
}
CUT = b"Content-Length: %d\r\n" % (len(BODY) + 1)
# What is broken in an answer with a status line: its bytes.
BROKEN = {
    "cut": lambda line, *fields: answer(line, *fields, length=CUT),
    "cut in the chunks": lambda line, *fields: chunked(chunk(BODY), *fields, status_line=line),
    "malformed chunk": lambda line, *fields: chunked(
        chunk(BODY) + b"x\r\n", *fields, status_line=line
    ),
    "control byte": lambda line, *fields: answer(line, *fields, b"X-Other: \x01\r\n"),
    "two lengths": lambda line, *fields: answer(line, *fields, LENGTH),
}
FOREIGN = {
    "encoded": answer(OK, b"Content-Encoding: gzip\r\n", NOTICES),
    "unsigned": answer(OK, NOTICES).replace(b"X-Response-Signature: sig.9\r\n", b""),
}


def record_notices(site):
    """Return the names of the notices that the router believes, as they come."""
    believed = set()
    sessions = site.routers[0].sessions
    sessions.on_departure.append(lambda engine: believed.add("departure"))
    sessions.on_cold.append(lambda engine, cold_s, sent_at: believed.add("cold"))
    sessions.on_load.append(lambda engine, load: believed.add("load"))
    sessions.on_pause.append(lambda engine, pause_s: believed.add("pause"))
    sessions.on_limit.append(lambda key, limit, sent_at: limit and believed.add("limit"))
    sessions.on_brittle.append(lambda engine, is_brittle: is_brittle and believed.add("brittle"))
    return believed


@pytest.mark.parametrize("line", [OK, *REFUSALS.values()], ids=["success", *REFUSALS])
@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_notices_of_a_broken_answer_are_not_believed(site, broken, line):
    fields = [NOTICES] if line == OK else [NOTICES, NOT_EXECUTED]
    async with serving(site, broken(line, *fields), Ending.CLOSE):
        believed = record_notices(site)
        for kind in ("lookup", "order", "report"):
            received = await play(site, kind)
            assert is_own_failure(received), (kind, received)
        assert believed == set()


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN.keys())
async def test_notices_of_an_answer_that_is_not_the_engine_s_are_not_believed(site, foreign):
    async with serving(site, foreign, Ending.CLOSE):
        believed = record_notices(site)
        assert is_own_failure(await play(site, "order"))
        assert believed == set()


@pytest.mark.parametrize("line", REFUSALS.values(), ids=REFUSALS.keys())
async def test_a_whole_refusal_is_believed(site, line):
    async with serving(site, answer(line, NOTICES, NOT_EXECUTED), Ending.OPEN):
        believed = record_notices(site)
        received = await play(site, "order")
        assert received.status == 503
        if b"421" not in line:
            assert {"departure", "cold", "load", "limit", "brittle"} <= believed
