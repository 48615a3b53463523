"""An engine answers a long upload before it has read it, and breaks off while it is written.

Guards against a part of an answer that reaches its client as the whole: without length or chunks,
the end of the connection is all that shows the end of a body.
"""

import pytest

from marjoramspool.platform.tests.test_broken_answers import is_own_failure, play, serving
from standins.answer_forms import BODY, answer, chunk, chunked
from standins.raw_target import Ending

# What the kernel of the engine receives ahead, which is far less than the uploads.
RECEIVE_BUFFER_BYTES = 4096
EARLY = {"reads_body": False, "receive_buffer_bytes": RECEIVE_BUFFER_BYTES}
UPLOADS = [60_000, 900_000]
BROKEN_ENDINGS = [Ending.RESET, Ending.CLOSE, Ending.SHUT, Ending.SHUT_AND_RESET]
DELIMITED = {
    "length": answer(),
    "chunks": chunked(chunk(BODY) + b"0\r\n\r\n"),
}


@pytest.mark.parametrize("ending", BROKEN_ENDINGS)
@pytest.mark.parametrize("size", UPLOADS)
@pytest.mark.parametrize("kind", ["lookup", "order"])
async def test_a_part_of_an_early_answer_is_not_taken_for_the_whole(site, kind, size, ending):
    async with serving(site, answer(length=b""), ending, **EARLY):
        assert is_own_failure(await play(site, kind, body=b"u" * size))


@pytest.mark.parametrize("kind", ["lookup", "order"])
async def test_a_reset_after_the_end_breaks_an_answer_whose_request_is_unread(site, kind):
    """The kernel of the engine has received the request, so that only the reset tells."""
    async with serving(site, answer(length=b""), Ending.SHUT_AND_RESET, reads_body=False):
        assert is_own_failure(await play(site, kind, body=b"u" * UPLOADS[0]))


@pytest.mark.parametrize("size", UPLOADS)
@pytest.mark.parametrize("kind", ["lookup", "order"])
async def test_an_early_answer_is_whole_once_its_request_was_read(site, kind, size):
    async with serving(site, answer(length=b""), Ending.READ_AND_CLOSE, **EARLY):
        received = await play(site, kind, body=b"u" * size)
        assert (received.status, received.body) == (200, BODY)
        assert received.is_complete


@pytest.mark.parametrize("ending", [Ending.OPEN, Ending.SHUT])
@pytest.mark.parametrize("delimited", DELIMITED.values(), ids=DELIMITED.keys())
async def test_an_early_answer_whose_end_is_marked_is_served(site, delimited, ending):
    async with serving(site, delimited, ending, **EARLY):
        received = await play(site, "order", body=b"u" * UPLOADS[1])
        assert (received.status, received.body) == (200, BODY)
        assert received.is_complete
