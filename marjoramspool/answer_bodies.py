"""Bodies of answers that are read to their end, or fail if they break off before it."""

from collections.abc import AsyncIterator

import aiohttp

from marjoramspool.event_stream import EventSplitter, StreamEvent
from marjoramspool.failures import MayHaveRunError

__all__ = ["read_body", "read_events"]

MAX_ANSWER_BYTES = 16 << 20


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read the body of an answer; raise MayHaveRunError if it is incomplete or too long."""
    parts = []
    size = 0
    async for chunk in read_chunks(response):
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise MayHaveRunError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
        parts.append(chunk)
    return b"".join(parts)


async def read_events(response: aiohttp.ClientResponse) -> AsyncIterator[StreamEvent]:
    """Yield the complete events of a stream; raise MayHaveRunError if it breaks off."""
    splitter = EventSplitter()
    async for chunk in read_chunks(response):
        for event in splitter.feed(chunk):
            yield event
    if splitter.incomplete:
        raise MayHaveRunError("the stream ended in the middle of an event")


async def read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raise MayHaveRunError if it breaks off."""
    try:
        while chunk := await response.content.readany():
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise MayHaveRunError(f"the answer broke off: {error!r}") from error
