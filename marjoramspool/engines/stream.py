"""Parsing of an engine's server-sent events, and checks of their attempt and order."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from marjoramspool.events import Event as LogEvent
from marjoramspool.events import log
from marjoramspool.failure_causes import describe_cause
from marjoramspool.untrusted_json import decode_json

__all__ = [
    "Event",
    "IdleTimeoutError",
    "IncompleteStreamError",
    "MismatchedAttemptError",
    "StreamError",
    "check_events",
    "read_events",
]

TERMINAL_MARKER = b"[DONE]"
MAX_EVENT_BYTES = 1 << 20
EVENT_SEPARATOR = b"\n\n"
MAX_ID_LINE_BYTES = 22


class StreamError(Exception):
    """The connection delivers no further events of the attempt."""


class IncompleteStreamError(StreamError):
    """The stream ended before its terminal marker, lacks an event or exceeds the size limit."""


class IdleTimeoutError(StreamError):
    """No data was received within the idle timeout."""


class MismatchedAttemptError(StreamError):
    """The stream carries content of another attempt."""


class ChunkId(msgspec.Struct):
    """The `id` of a completion chunk; its other fields are not decoded."""

    id: str


@dataclass(slots=True, frozen=True)
class Event:
    """Event of a stream: its number, -1 if it has none, its data and its bytes as received."""

    number: int
    data: bytes
    raw: bytes

    @property
    def is_last(self) -> bool:
        """Return whether this is the terminal marker."""
        return self.data == TERMINAL_MARKER


class IdleTimer:
    """Idle timeout of a stream, with one timer for all reads.

    A new timeout for each read would cost more than the rest of forwarding the stream. Only a
    complete event with data ends the idle time: a stalled engine may go on to send a byte or a
    comment now and then. Time in which the caller keeps the stream waiting does not count.
    """

    __slots__ = ("content", "handle", "idle_s", "idle_timeout_s", "loop", "read_started_at")

    def __init__(self, content: aiohttp.StreamReader, idle_timeout_s: float):
        self.content = content
        self.idle_timeout_s = idle_timeout_s
        # Time spent in finished reads since the last event.
        self.idle_s = 0.0
        self.loop = asyncio.get_running_loop()
        self.read_started_at: float | None = None
        self.handle: asyncio.TimerHandle | None = None

    def __enter__(self):
        self.handle = self.loop.call_later(self.idle_timeout_s, self.check)
        return self

    def __exit__(self, *details):
        self.handle.cancel()

    def start_read(self) -> None:
        """Record the start of a read."""
        self.read_started_at = self.loop.time()

    def end_read(self) -> None:
        """Record the end of a read."""
        self.idle_s += self.loop.time() - self.read_started_at
        self.read_started_at = None

    def record_event(self) -> None:
        """Record that an event is complete."""
        self.idle_s = 0.0

    def check(self) -> None:
        """Fail the stream if it exceeded the idle timeout, else schedule the next check."""
        now = self.loop.time()
        reading_s = now - self.read_started_at if self.read_started_at is not None else 0.0
        remaining_s = self.idle_timeout_s - self.idle_s - reading_s
        if remaining_s <= 0:
            self.content.set_exception(
                IdleTimeoutError(f"no event received for {self.idle_timeout_s:g} s")
            )
        else:
            self.handle = self.loop.call_later(remaining_s, self.check)


async def read_events(content: aiohttp.StreamReader, idle_timeout_s: float) -> AsyncIterator[Event]:
    """Yield the events of a stream.

    Raise IncompleteStreamError if the stream breaks off, an event exceeds the size limit or as many
    bytes come without one, and IdleTimeoutError if no event is received within the idle timeout.
    """
    remainder = b""
    bytes_without_event = 0
    with IdleTimer(content, idle_timeout_s) as timer:
        while True:
            try:
                timer.start_read()
                chunk = await content.readany()
            except (aiohttp.ClientError, OSError) as error:
                raise IncompleteStreamError(describe_cause(error)) from error
            finally:
                timer.end_read()
            if not chunk:
                raise IncompleteStreamError("the stream ended without its terminal marker")
            bytes_without_event += len(chunk)
            *complete, remainder = (remainder + chunk).split(EVENT_SEPARATOR)
            for raw in complete:
                event = parse_event(raw)
                if event:
                    bytes_without_event = len(remainder)
                    timer.record_event()
                    yield event
            if bytes_without_event > MAX_EVENT_BYTES:
                raise IncompleteStreamError(f"{MAX_EVENT_BYTES} bytes came without an event")


def parse_event(raw: bytes) -> Event | None:
    """Return the parsed event, or None if it has no data, as a comment."""
    number = -1
    data = None
    for line in raw.split(b"\n"):
        if line.startswith(b"data: "):
            data = line[6:]
        elif line.startswith(b"id: ") and line[4:].isdigit() and len(line) <= MAX_ID_LINE_BYTES:
            number = int(line[4:])
    return Event(number, data, raw + EVENT_SEPARATOR) if data is not None else None


async def check_events(
    events: AsyncIterator[Event], attempt: str, after: int
) -> AsyncIterator[Event]:
    """Yield the events of an attempt with numbers above `after`, in order and without duplicates.

    Raise MismatchedAttemptError for content of another attempt and IncompleteStreamError for a
    missing event, or for one without a number in a stream that is resumed.
    """
    is_resumed = after >= 0
    async for event in events:
        if not event.is_last and chunk_id(event) != attempt:
            log(LogEvent.ANSWER_REJECTED, attempt=attempt)
            raise MismatchedAttemptError(
                f"received an event that does not belong to attempt {attempt}"
            )
        if event.number < 0 and is_resumed:
            raise IncompleteStreamError(f"an event without a number follows event {after}")
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
    """Return the id of the attempt that an event belongs to, or None if it is malformed."""
    try:
        return decode_json(event.data, ChunkId).id
    except msgspec.DecodeError:
        return None
