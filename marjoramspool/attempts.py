"""One attempt at an engine, and what an engine answers."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from dataclasses import dataclass, field
from typing import Protocol

from marjoramspool.engine_list import Engine
from marjoramspool.event_stream import StreamEvent
from marjoramspool.failures import MayHaveRunError
from marjoramspool.requests import RoutedRequest

__all__ = [
    "Attempt",
    "EngineAnswer",
    "EngineClient",
    "StreamAnswer",
    "WholeAnswer",
    "wait_for_first_event",
]


@dataclass(slots=True)
class EngineAnswer:
    """Hold the head of an engine's answer."""

    status: int
    headers: list[tuple[str, str]]


@dataclass(slots=True)
class WholeAnswer(EngineAnswer):
    """Hold an answer whose body has come completely."""

    body: bytes = b""


@dataclass(slots=True)
class StreamAnswer(EngineAnswer):
    """Hold an answer that comes as events; `events` raises AttemptError where it breaks off."""

    events: AsyncIterator[StreamEvent] = field(default=None)


@dataclass(slots=True, frozen=True)
class Attempt:
    """Say to which engine a request goes, and how.

    `queue_rank` is its place among those that wait there; the engine may copy the prompt from
    `cache_source`.
    """

    engine: Engine
    queue_rank: int
    after_event: int | None = None
    cache_source: Engine | None = None


class EngineClient(Protocol):
    """Send one attempt to an engine."""

    def open(
        self, request: RoutedRequest, attempt: Attempt
    ) -> AbstractAsyncContextManager[WholeAnswer | StreamAnswer]:
        """Send an attempt and yield its answer.

        Raise NotSentError, TargetRefusedError or MayHaveRunError.
        """


async def wait_for_first_event(
    events: AsyncIterator[StreamEvent], stack: AsyncExitStack
) -> AsyncIterator[StreamEvent]:
    """Wait for the first event; return all events with it."""
    stack.push_async_callback(events.aclose)
    try:
        first = await anext(events)
    except StopAsyncIteration:
        raise MayHaveRunError("the stream ended without an event") from None
    stream = prepend_event(first, events)
    stack.push_async_callback(stream.aclose)
    return stream


async def prepend_event(
    first: StreamEvent, events: AsyncIterator[StreamEvent]
) -> AsyncIterator[StreamEvent]:
    """Yield one event, then the others."""
    yield first
    async for event in events:
        yield event
