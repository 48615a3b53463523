"""Streams that stall and trickle are ended; slow ones that are sound are not."""

import asyncio
from contextlib import suppress

import pytest

from marjoramspool.engines.stream import IdleTimeoutError, read_events

IDLE_S = 0.25
EVENT = b'id: 1\ndata: {"id": "a"}\n\n'


class Content:
    """Body of an answer, as far as `read_events` uses it."""

    def __init__(self):
        self.pieces = asyncio.Queue()
        self.failure = asyncio.get_running_loop().create_future()

    def feed_data(self, piece):
        self.pieces.put_nowait(piece)

    def set_exception(self, error):
        self.failure.set_result(error)

    async def readany(self):
        getting = asyncio.create_task(self.pieces.get())
        await asyncio.wait([getting, self.failure], return_when=asyncio.FIRST_COMPLETED)
        if self.failure.done():
            getting.cancel()
            raise self.failure.result()
        return getting.result()


async def feed(content, pieces, period_s):
    for piece in pieces:
        await asyncio.sleep(period_s)
        content.feed_data(piece)


async def read(content, pieces, period_s, consumer_s=0.0):
    feeder = asyncio.create_task(feed(content, pieces, period_s))
    events = []
    try:
        async for event in read_events(content, IDLE_S):
            events.append(event)
            await asyncio.sleep(consumer_s)
            if len(events) == len(pieces):
                return events
    finally:
        feeder.cancel()
        with suppress(asyncio.CancelledError):
            await feeder
    return events


@pytest.mark.parametrize("piece", [b": still here\n\n", b"x", b"id: 9\n"])
async def test_a_stalled_stream_that_trickles_is_ended(piece):
    content = Content()
    content.feed_data(EVENT)
    started = asyncio.get_running_loop().time()
    with pytest.raises(IdleTimeoutError):
        await read(content, [piece] * 60, IDLE_S / 5)
    assert asyncio.get_running_loop().time() - started < 6 * IDLE_S


async def test_a_slow_stream_is_read_to_its_end():
    assert len(await read(Content(), [EVENT] * 6, IDLE_S * 0.6)) == 6


async def test_an_event_in_many_small_pieces_is_read():
    pieces = [EVENT[:8], EVENT[8:14], EVENT[14:]] * 3
    content = Content()
    feeder = asyncio.create_task(feed(content, pieces, IDLE_S / 5))
    events = read_events(content, IDLE_S)
    assert [(await anext(events)).number for _ in range(3)] == [1, 1, 1]
    await feeder


async def test_a_slow_caller_is_no_idle_engine():
    content = Content()
    for _ in range(4):
        content.feed_data(EVENT)
    assert len(await read(content, [EVENT] * 4, 0.0, consumer_s=IDLE_S * 1.4)) == 4
