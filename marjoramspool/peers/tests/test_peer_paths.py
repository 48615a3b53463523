"""Which router is asked to serve requests for one that reaches no engine."""

import asyncio

import pytest

from marjoramspool.failures import MayHaveRunError
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.forwarded_messages import (
    AnswerBody,
    AnswerEnd,
    AnswerEvent,
    AnswerHead,
    encode_frame,
    read_frames,
)
from marjoramspool.peers.messages import service_id
from marjoramspool.peers.peer_paths import MAX_OUTSTANDING, PeerPaths, checked_frames, read_answer

SERVICE = "s"


@pytest.fixture
def paths():
    directory = Directory("r0", "near", 100, lambda: 0.0)
    for number in range(1, 7):
        peer = directory.record_heartbeat(f"r{number}", "near" if number < 4 else "far")
        peer.takes_forwarded = True
        peer.table_version = 5
    return PeerPaths(directory, 1, lambda: 5)


def selected(paths, exclude=()):
    return {paths.select(SERVICE, set(exclude)).address for _ in range(60)}


def test_routers_of_the_own_domain_go_first(paths):
    assert selected(paths) == {"r1", "r2", "r3"}


def test_a_whole_domain_that_is_cut_off_uses_another(paths):
    for number in range(1, 4):
        paths.directory.peers[f"r{number}"].cut_off = (service_id(SERVICE),)
    assert selected(paths) == {"r4", "r5", "r6"}
    assert paths.select("another service", set()).address in {"r1", "r2", "r3"}


def test_routers_with_much_to_do_are_relieved(paths):
    for number in range(1, 4):
        paths.directory.peers[f"r{number}"].in_flight = 30
    assert selected(paths) == {"r4", "r5", "r6"}


def test_no_router_is_asked_that_would_answer_wrongly_or_not(paths):
    peers = paths.directory.peers
    peers["r1"].takes_forwarded = False
    peers["r2"].table_version = 4
    paths.avoid("r3")
    paths.outstanding["r4"] = MAX_OUTSTANDING
    assert selected(paths, exclude=["r5"]) == {"r6"}
    assert paths.select(SERVICE, {"r5", "r6"}) is None


async def test_an_answer_that_breaks_off_is_not_taken_for_complete(paths):
    peer = paths.directory.peers["r1"]
    frames = [AnswerHead(200, (), True), AnswerEvent(1, b"id: 1\n\n"), AnswerEnd()]
    for count, is_complete in ((3, True), (2, False), (1, False)):
        reader = asyncio.StreamReader()
        reader.feed_data(b"".join(map(encode_frame, frames[:count])))
        reader.feed_eof()
        answer = await read_answer(checked_frames(read_frames(reader), peer), peer)
        if is_complete:
            assert [event.event_id async for event in answer.events] == [1]
        else:
            with pytest.raises(MayHaveRunError):
                _ = [event async for event in answer.events]


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize(
    ("status", "headers"),
    [(0, ()), (99, ()), (101, ()), (600, ()), (200, (("X-Other", "a\x01b"),))],
)
async def test_a_broken_answer_that_an_earlier_revision_passes_on_is_none(
    paths, status, headers, is_stream
):
    peer = paths.directory.peers["r1"]
    frames = [AnswerHead(status, headers, is_stream), AnswerBody(b"text"), AnswerEnd()]
    reader = asyncio.StreamReader()
    reader.feed_data(b"".join(map(encode_frame, frames)))
    reader.feed_eof()
    with pytest.raises(MayHaveRunError):
        await read_answer(checked_frames(read_frames(reader), peer), peer)
