"""Requests at a steady rate until the end of a block, and what reached a target of them."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count

__all__ = ["Result", "most_in_window", "traffic"]


@dataclass(slots=True, frozen=True)
class Result:
    """Status and headers of one answer, and the seconds until it was complete."""

    status: int
    headers: dict[str, str]
    waited_s: float


@asynccontextmanager
async def traffic(send: Callable[[int], Awaitable[tuple]], per_s: float):
    """Send numbered requests until the end of the block; yield the list of their results.

    `send` returns status, headers and body.
    """
    results, tasks = [], set()

    async def record(number: int) -> None:
        started = time.monotonic()
        status, headers, _ = await send(number)
        results.append(Result(status, headers, time.monotonic() - started))

    async def run() -> None:
        for number in count():
            await asyncio.sleep(1.0 / per_s)
            task = asyncio.create_task(record(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    running = asyncio.create_task(run())
    try:
        yield results
    finally:
        running.cancel()
        await asyncio.gather(running, *tasks, return_exceptions=True)


def most_in_window(times: list[float], since: float, window_s: float) -> int:
    """Return the most of some times, from `since` on, within any window."""
    times = [at for at in times if at >= since]
    return max((sum(start <= at < start + window_s for at in times) for start in times), default=0)
