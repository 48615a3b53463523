"""Background tasks that are started again when they fail."""

import asyncio
from collections.abc import Awaitable, Callable

from marjoramspool.events import Event, log

__all__ = ["keep_running"]


async def keep_running(name: str, start: Callable[[], Awaitable], pause_s: float) -> None:
    """Run a task for ever; start it again after `pause_s` seconds if it fails."""
    while True:
        try:
            await start()
        except Exception as error:
            log(Event.TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(pause_s)
