"""Answers that another router passes on, maybe one of an earlier revision that checks less.

Guards against a broken answer that reaches a caller by way of another router.
"""

import time
from types import SimpleNamespace

import grpc
import pytest

from marjoramspool.failures import MayHaveRunError
from marjoramspool.membership import Member
from marjoramspool.routers.path_messages import AnswerBody, AnswerEnd, AnswerStart, encode
from marjoramspool.routers.paths import RouterPaths

TEXT = (("Content-Type", "text/plain"),)
PEER = Member("r1", "127.0.0.1:1", "near", "", 1)


class Call:
    """Call whose replies are given."""

    def __init__(self, *replies):
        self.replies = [encode(reply) for reply in replies]

    async def read(self):
        return self.replies.pop(0) if self.replies else grpc.aio.EOF


async def read(status, headers, length, body=b"text"):
    request = SimpleNamespace(deadline=time.monotonic() + 1.0)
    call = Call(AnswerStart(status, headers, length, ()), AnswerBody(body), AnswerEnd())
    return await RouterPaths(None, None).read_answer(call, request, PEER)


@pytest.mark.parametrize("length", [4, None])
async def test_a_sound_answer_is_passed_on(length):
    answer = await read(200, TEXT, length)
    assert answer.status == 200
    assert [part async for part in answer.parts] == [b"text"]


@pytest.mark.parametrize("length", [4, None])
@pytest.mark.parametrize(
    ("status", "headers"),
    [(0, TEXT), (99, TEXT), (101, TEXT), (600, TEXT), (200, (("X-Other", "a\x01"),))],
)
async def test_a_broken_head_is_no_answer(status, headers, length):
    with pytest.raises(MayHaveRunError):
        await read(status, headers, length)


@pytest.mark.parametrize("length", [3, 5])
async def test_a_body_of_another_length_is_no_answer(length):
    with pytest.raises(MayHaveRunError):
        await read(200, TEXT, length)
