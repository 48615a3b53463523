"""Attempts to send a request to an engine, and the answers of engines."""

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, AsyncExitStack, aclosing
from dataclasses import dataclass, field
from typing import Protocol

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.failures import MayHaveRunError
from marjoramspool.requests import RoutedRequest
from marjoramspool.streams.event_stream import StreamEvent

__all__ = [
    "SUCCESS_STATUSES",
    "Attempt",
    "EngineAnswer",
    "EngineClient",
    "MoveAnswer",
    "RunState",
    "StreamAnswer",
    "WholeAnswer",
    "continuation",
    "wait_for_first_event",
]

SUCCESS_STATUSES = range(200, 300)


@dataclass(slots=True)
class EngineAnswer:
    """Status and headers of an engine's answer."""

    status: int
    headers: list[tuple[str, str]]


@dataclass(slots=True)
class WholeAnswer(EngineAnswer):
    """Answer whose body was received completely."""

    body: bytes = b""


@dataclass(slots=True)
class StreamAnswer(EngineAnswer):
    """Answer streamed as events; `events` raises AttemptError if the stream breaks."""

    events: AsyncIterator[StreamEvent] = field(default=None)
    # Whether its end is marked, so that one that breaks off is not taken for whole.
    is_delimited: bool = True


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt to send a request to an engine.

    `queue_rank` is the rank of the request in the engine's queue. A stream is resumed after the
    event `after_event`. The engine may copy cached prompt parts from `cache_source`. It copies the
    memory of the run to `backup`; with `run_memory`, it goes on with the run whose memory that is,
    named by the address of an engine and a handle or the id of the request. If the engine
    `is_doubted`, it has to show that it is the incarnation that is listed.
    """

    engine: Engine
    queue_rank: int
    after_event: int | None = None
    cache_source: Engine | None = None
    backup: Engine | None = None
    run_memory: str | None = None
    is_doubted: bool = False


class RunState(enum.Enum):
    """What is known of a run at an engine.

    `UNLISTED` means that its report of some hundred ms ago neither lists the run nor names waiting
    requests, `REFUSED` that it takes no connection.
    """

    AT_WORK = "at work"
    UNLISTED = "unlisted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class MoveAnswer:
    """Answer to the call that moves a run.

    `handle` names its memory, None if the engine has not stopped the run; `is_copied` says whether
    the memory is at the destination, with the first `events` events of the run.
    """

    handle: str | None = None
    is_copied: bool = False
    events: int | None = None


class EngineClient(Protocol):
    """Client that sends attempts to engines."""

    def open(
        self, request: RoutedRequest, attempt: Attempt
    ) -> AbstractAsyncContextManager[WholeAnswer | StreamAnswer]:
        """Send an attempt and yield its answer.

        Raise NotSentError, TargetRefusedError or MayHaveRunError.
        """

    async def has_ended(self, engine: Engine) -> bool:
        """Return whether an engine refuses connections, as after the end of its process."""

    async def run_state(self, engine: Engine, request_id: str) -> RunState:
        """Return what the present report of an engine says of the run of a request."""

    async def move_run(
        self, source: Engine, destination: Engine, request_id: str, timeout_s: float
    ) -> MoveAnswer:
        """Stop a run and move its memory to another engine."""


def continuation(
    answer: WholeAnswer | StreamAnswer, after_event: int | None
) -> WholeAnswer | StreamAnswer:
    """Return an answer to an attempt that goes on with a stream after an event, if it does so.

    Fault: the engine answers with an error, as a success or as an event. Raise MayHaveRunError if
    the answer is a success and no stream; its stream raises it for an event that is not of the
    series. An attempt that begins a stream, with `after_event` None, gets the answer as it is.
    """
    if after_event is None or answer.status not in SUCCESS_STATUSES:
        return answer
    if isinstance(answer, WholeAnswer):
        raise MayHaveRunError(f"the answer, status {answer.status}, does not go on with the stream")
    answer.events = numbered_events(answer.events)
    return answer


async def numbered_events(events: AsyncIterator[StreamEvent]) -> AsyncIterator[StreamEvent]:
    """Yield the events with an id; raise MayHaveRunError at another that is no comment."""
    async with aclosing(events):
        async for event in events:
            if event.event_id is not None:
                yield event
            elif not event.is_comment:
                raise MayHaveRunError("an event without an id does not go on with the stream")


async def wait_for_first_event(
    events: AsyncIterator[StreamEvent], stack: AsyncExitStack
) -> AsyncIterator[StreamEvent]:
    """Wait for the first event; return the stream of all events, the first included."""
    stack.push_async_callback(events.aclose)
    try:
        first = await anext(events)
    except StopAsyncIteration:
        raise MayHaveRunError("stream ended before its first event") from None
    stream = prepend_event(first, events)
    stack.push_async_callback(stream.aclose)
    return stream


async def prepend_event(
    first: StreamEvent, events: AsyncIterator[StreamEvent]
) -> AsyncIterator[StreamEvent]:
    """Yield `first`, then all other events."""
    yield first
    async for event in events:
        yield event
