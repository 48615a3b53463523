"""Server-sent events of an engine: split, checked against the attempt and numbered."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

__all__ = [
    "CutError",
    "Event",
    "ForeignAnswerError",
    "SilentError",
    "check_events",
    "read_events",
]

DONE = b"[DONE]"
EVENT_BYTES = 1 << 20
BREAK = b"\n\n"


class CutError(Exception):
    """Report that a stream ended before its terminal marker."""


class SilentError(Exception):
    """Report that nothing came over a connection for too long."""


class ForeignAnswerError(Exception):
    """Report content of another attempt."""


class ChunkId(msgspec.Struct):
    """Decode the id of a chunk, and leave the rest."""

    id: str


@dataclass(slots=True, frozen=True)
class Event:
    """Hold one event as it came, with its number in the stream."""

    number: int
    data: bytes
    raw: bytes

    @property
    def is_last(self) -> bool:
        """Tell whether this is the terminal marker."""
        return self.data == DONE


decoder = msgspec.json.Decoder(ChunkId)


async def read_events(content: aiohttp.StreamReader, idle_s: float) -> AsyncIterator[Event]:
    """Yield the events of a stream; raise CutError or SilentError where it stops short."""
    rest = b""
    while True:
        try:
            async with asyncio.timeout(idle_s):
                chunk = await content.readany()
        except TimeoutError as error:
            raise SilentError(f"nothing came for {idle_s:g} s") from error
        except (aiohttp.ClientError, OSError) as error:
            raise CutError(f"the connection broke: {error!r}") from error
        if not chunk:
            raise CutError("the stream ended without its terminal marker")
        *whole, rest = (rest + chunk).split(BREAK)
        if len(rest) > EVENT_BYTES:
            raise CutError(f"an event is longer than {EVENT_BYTES} bytes")
        for raw in whole:
            event = parse_event(raw)
            if event:
                yield event


def parse_event(raw: bytes) -> Event | None:
    """Parse one event; None for a comment."""
    number = -1
    data = None
    for line in raw.split(b"\n"):
        if line.startswith(b"data: "):
            data = line[6:]
        elif line.startswith(b"id: ") and line[4:].isdigit():
            number = int(line[4:])
    return Event(number, data, raw + BREAK) if data is not None else None


async def check_events(
    events: AsyncIterator[Event], attempt: str, after: int
) -> AsyncIterator[Event]:
    """Yield the events of an attempt in order, each once.

    Raise ForeignAnswerError for another attempt's content and CutError for a gap.
    """
    async for event in events:
        if not event.is_last and chunk_id(event) != attempt:
            raise ForeignAnswerError(f"an event is not of attempt {attempt}")
        if event.number >= 0:
            if event.number <= after:
                continue
            if event.number != after + 1:
                raise CutError(f"event {after + 1} is missing before event {event.number}")
            after = event.number
        yield event
        if event.is_last:
            return


def chunk_id(event: Event) -> str | None:
    """Return the attempt that an event belongs to, None if it is malformed."""
    try:
        return decoder.decode(event.data).id
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
