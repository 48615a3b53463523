"""Bodies of answers that are read to their end, or fail if they break off before it."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from marjoramspool.event_stream import EventSplitter, StreamEvent
from marjoramspool.failures import MayHaveRunError

__all__ = ["connection_closed", "read_body", "read_events"]

MAX_ANSWER_BYTES = 16 << 20


def connection_closed(response: aiohttp.ClientResponse) -> asyncio.Future | None:
    """Return the future of the connection's close if only the close delimits the body, else None.

    The future fails if the connection breaks. Raise MayHaveRunError if the connection is already
    closed, since it is then unknown whether the body is complete.
    """
    if "Content-Length" in response.headers or "Transfer-Encoding" in response.headers:
        return None
    connection = response.connection
    closed = connection.protocol.closed if connection and connection.protocol else None
    if closed is None:
        raise MayHaveRunError(
            "connection closed before an answer without a length could be verified"
        )
    return closed


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read the body of an answer; raise MayHaveRunError if it is incomplete or too long."""
    closed = connection_closed(response)
    parts = []
    size = 0
    async for chunk in read_chunks(response, closed):
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise MayHaveRunError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
        parts.append(chunk)
    return b"".join(parts)


async def read_events(
    response: aiohttp.ClientResponse, closed: asyncio.Future | None
) -> AsyncIterator[StreamEvent]:
    """Yield the complete events of a stream; raise MayHaveRunError if it breaks off."""
    splitter = EventSplitter()
    async for chunk in read_chunks(response, closed):
        for event in splitter.feed(chunk):
            yield event
    if splitter.incomplete:
        raise MayHaveRunError("the stream ended in the middle of an event")


async def read_chunks(
    response: aiohttp.ClientResponse, closed: asyncio.Future | None
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raise MayHaveRunError if it breaks off."""
    try:
        while chunk := await response.content.readany():
            yield chunk
        if closed is not None:
            await closed
    except (aiohttp.ClientError, OSError) as error:
        raise MayHaveRunError(f"the answer broke off: {error!r}") from error
