"""Bodies of answers that are read to their end, or fail if they break off before it."""

from collections.abc import AsyncIterator

import aiohttp

from marjoramspool.failures import MayHaveRunError
from marjoramspool.streams.event_stream import EventSplitter, StreamEvent

__all__ = ["AnswerMemory", "read_body", "read_events"]

MAX_ANSWER_BYTES = 16 << 20
MAX_EVENT_BYTES = 1 << 20
# Answers up to this size are always received, whatever memory others take.
SMALL_ANSWER_BYTES = 256 << 10
MAX_MEMORY_BYTES = 48 << 20


class AnswerMemory:
    """Bound on the memory of all answers that one process is receiving.

    Fault: a target sends bytes without end to many requests at once, each within its own limit.
    """

    __slots__ = ("used_bytes",)

    def __init__(self):
        self.used_bytes = 0

    def reserve(self, size: int, added: int) -> None:
        """Add bytes to an answer of now `size` bytes; raise MayHaveRunError beyond a limit."""
        if size > MAX_ANSWER_BYTES:
            raise MayHaveRunError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
        if size > SMALL_ANSWER_BYTES and self.used_bytes + added > MAX_MEMORY_BYTES:
            raise MayHaveRunError(
                f"the answers being received take more than {MAX_MEMORY_BYTES} bytes together"
            )
        self.used_bytes += added


async def read_body(response: aiohttp.ClientResponse, memory: AnswerMemory) -> bytes:
    """Read the body of an answer; raise MayHaveRunError if it is incomplete or too long."""
    parts = []
    size = 0
    reserved = 0
    try:
        async for chunk in read_chunks(response):
            size += len(chunk)
            memory.reserve(size, len(chunk))
            reserved = size
            parts.append(chunk)
    finally:
        memory.used_bytes -= reserved
    return b"".join(parts)


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
        raise MayHaveRunError(f"the answer broke off: {error!r}") from error
