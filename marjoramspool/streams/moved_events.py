"""Events of a stream whose run is being moved to another engine."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from marjoramspool.attempts import MoveAnswer
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.failures import MayHaveRunError
from marjoramspool.streams.event_stream import StreamEvent

__all__ = ["RunMove", "next_event"]

# An engine that has stopped a run closes its stream within this time.
CLOSE_TIMEOUT_S = 0.4


@dataclass(slots=True)
class RunMove:
    """A move at work; `answer` is the engine's answer to the call."""

    source: Engine
    destination: Engine
    answer: asyncio.Task[MoveAnswer]


async def next_event(
    events: AsyncIterator[StreamEvent], move: RunMove | None
) -> StreamEvent | None:
    """Return the next event of a stream, None at its end.

    Raise MayHaveRunError if it breaks, or if the run has been stopped and its stream stays open.
    """
    if move is None:
        return await anext(events, None)
    pull = asyncio.create_task(pull_event(events))
    try:
        await asyncio.wait({pull, move.answer}, return_when=asyncio.FIRST_COMPLETED)
        if not pull.done() and move.answer.result().handle is not None:
            await asyncio.wait({pull}, timeout=CLOSE_TIMEOUT_S)
            if not pull.done():
                raise MayHaveRunError("the engine left the stream of a stopped run open")
        return await pull
    finally:
        if not pull.done():
            pull.cancel()
            await asyncio.wait({pull})


async def pull_event(events: AsyncIterator[StreamEvent]) -> StreamEvent | None:
    """Return the next event of a stream, None at its end."""
    return await anext(events, None)
