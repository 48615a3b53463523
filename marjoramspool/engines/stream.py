"""Server-sent events of an engine: split, checked against the attempt and numbered."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from marjoramspool.events import Event as LogEvent
from marjoramspool.events import log

__all__ = [
    "IncompleteStreamError",
    "Event",
    "MismatchedAttemptError",
    "IdleTimeoutError",
    "StreamError",
    "check_events",
    "read_events",
]

TERMINAL_MARKER = b"[DONE]"
MAX_EVENT_BYTES = 1 << 20
EVENT_SEPARATOR = b"\n\n"


class StreamError(Exception):
    """Report that a connection gives no more events of an attempt."""


class IncompleteStreamError(StreamError):
    """Report that a stream ended before its terminal marker."""


class IdleTimeoutError(StreamError):
    """Report that nothing came over a connection for too long."""


class MismatchedAttemptError(StreamError):
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
        return self.data == TERMINAL_MARKER


class IdleTimer:
    """Fail the reads of a stream that stay idle; one timer serves all reads.

    A timeout set anew for each read would cost more than the rest of the relay.
    """

    __slots__ = ("content", "handle", "idle_timeout_s", "loop", "read_started_at")

    def __init__(self, content: aiohttp.StreamReader, idle_timeout_s: float):
        self.content = content
        self.idle_timeout_s = idle_timeout_s
        self.loop = asyncio.get_running_loop()
        self.read_started_at: float | None = None
        self.handle: asyncio.TimerHandle | None = None

    def __enter__(self):
        self.handle = self.loop.call_later(self.idle_timeout_s, self.check)
        return self

    def __exit__(self, *details):
        self.handle.cancel()

    def start_read(self) -> None:
        """Note that a read begins."""
        self.read_started_at = self.loop.time()

    def end_read(self) -> None:
        """Note that a read has ended."""
        self.read_started_at = None

    def check(self) -> None:
        """Fail the read if it has waited too long, else look again when it may have."""
        now = self.loop.time()
        started_at = self.read_started_at if self.read_started_at is not None else now
        remaining_s = started_at + self.idle_timeout_s - now
        if remaining_s <= 0:
            self.content.set_exception(
                IdleTimeoutError(f"nothing came for {self.idle_timeout_s:g} s")
            )
        else:
            self.handle = self.loop.call_later(remaining_s, self.check)


chunk_decoder = msgspec.json.Decoder(ChunkId)


async def read_events(content: aiohttp.StreamReader, idle_timeout_s: float) -> AsyncIterator[Event]:
    """Yield the events of a stream; raise CutError or SilentError where it stops short."""
    remainder = b""
    with IdleTimer(content, idle_timeout_s) as timer:
        while True:
            try:
                timer.start_read()
                chunk = await content.readany()
            except (aiohttp.ClientError, OSError) as error:
                raise IncompleteStreamError(f"the connection broke: {error!r}") from error
            finally:
                timer.end_read()
            if not chunk:
                raise IncompleteStreamError("the stream ended without its terminal marker")
            *complete, remainder = (remainder + chunk).split(EVENT_SEPARATOR)
            if len(remainder) > MAX_EVENT_BYTES:
                raise IncompleteStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
            for raw in complete:
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
    return Event(number, data, raw + EVENT_SEPARATOR) if data is not None else None


async def check_events(
    events: AsyncIterator[Event], attempt: str, after: int
) -> AsyncIterator[Event]:
    """Yield the events of an attempt in order, each once.

    Raise ForeignAnswerError for another attempt's content and CutError for a gap.
    """
    async for event in events:
        if not event.is_last and chunk_id(event) != attempt:
            log(LogEvent.ANSWER_REJECTED, attempt=attempt)
            raise MismatchedAttemptError(f"an event is not of attempt {attempt}")
        if event.number >= 0:
            if event.number <= after:
                continue
            if event.number != after + 1:
                raise IncompleteStreamError(
                    f"event {after + 1} is missing before event {event.number}"
                )
            after = event.number
        yield event
        if event.is_last:
            return


def chunk_id(event: Event) -> str | None:
    """Return the attempt that an event belongs to, None if it is malformed."""
    try:
        return chunk_decoder.decode(event.data).id
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
