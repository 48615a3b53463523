"""Bodies of answers that are read to their end, or fail if they break off before it."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import aiohttp

from marjoramspool.failure_causes import describe_cause
from marjoramspool.failures import MayHaveRunError
from marjoramspool.streams.event_stream import EventSplitter, StreamEvent

__all__ = [
    "SLICE_BYTES",
    "AnswerMemory",
    "body_slices",
    "read_body",
    "read_events",
    "read_success",
]

MAX_ANSWER_BYTES = 16 << 20
MAX_EVENT_BYTES = 1 << 20
# Answers up to this size are always received, whatever memory others take.
SMALL_ANSWER_BYTES = 32 << 10
DEFAULT_MEMORY_BYTES = 48 << 20
SLICE_BYTES = 32 << 10
ROOM_POLL_PERIOD_S = 0.02
HTTP_OK = 200


class AnswerMemory:
    """Bound on the memory of all answers that one process receives or sends.

    Faults: a target sends bytes without end to many requests at once, each within its own limit;
    clients read long answers slowly.
    """

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int = DEFAULT_MEMORY_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def has_room(self, size: int, added: int) -> bool:
        """Return whether an answer of now `size` bytes may take the bytes that were added."""
        return size <= SMALL_ANSWER_BYTES or self.used_bytes + added <= self.max_bytes

    def reserve(self, size: int, added: int) -> None:
        """Add bytes to an answer of now `size` bytes; raise MayHaveRunError beyond a limit."""
        if size > MAX_ANSWER_BYTES:
            raise MayHaveRunError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
        if not self.has_room(size, added):
            raise MayHaveRunError(f"the answers take more than {self.max_bytes} bytes together")
        self.used_bytes += added

    async def wait_for_room(self, size: int, added: int) -> None:
        """Wait until others have left room for bytes that were added, then reserve it.

        The caller bounds the wait. Raise MayHaveRunError if the answer is too long.
        """
        while size <= MAX_ANSWER_BYTES and not self.has_room(size, added):
            await asyncio.sleep(ROOM_POLL_PERIOD_S)
        self.reserve(size, added)

    @contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count a complete answer until it is sent."""
        self.used_bytes += size
        try:
            yield
        finally:
            self.used_bytes -= size


async def read_body(response: aiohttp.ClientResponse, memory: AnswerMemory) -> bytes:
    """Read the body of an answer; raise MayHaveRunError if it is incomplete or too long.

    While the answers of others take all memory, the rest is left to its sender.
    """
    body = bytearray()
    try:
        async for chunk in read_chunks(response):
            await memory.wait_for_room(len(body) + len(chunk), len(chunk))
            body += chunk
    finally:
        memory.used_bytes -= len(body)
    return bytes(body)


async def read_success(response: aiohttp.ClientResponse, memory: AnswerMemory) -> bytes:
    """Read the body of an answer of status 200; raise MayHaveRunError for any other answer."""
    body = await read_body(response, memory)
    if response.status != HTTP_OK:
        raise MayHaveRunError(f"the status is {response.status}")
    return body


def body_slices(body: bytes) -> Iterator[memoryview]:
    """Yield a body in parts that are written one after the other."""
    view = memoryview(body)
    for start in range(0, len(view), SLICE_BYTES):
        yield view[start : start + SLICE_BYTES]


async def read_events(response: aiohttp.ClientResponse) -> AsyncIterator[StreamEvent]:
    """Yield the complete events of a stream; raise MayHaveRunError if it breaks off.

    A stream that ends within an event has broken off, and one of which an event does not end.
    """
    splitter = EventSplitter()
    async for chunk in read_chunks(response):
        for event in splitter.feed(chunk):
            yield event
        if len(splitter.incomplete) > MAX_EVENT_BYTES:
            raise MayHaveRunError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
    if splitter.incomplete:
        raise MayHaveRunError("the stream ended in the middle of an event")


async def read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raise MayHaveRunError if it breaks off."""
    try:
        while chunk := await response.content.readany():
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise MayHaveRunError(f"the answer broke off: {describe_cause(error)}") from error
