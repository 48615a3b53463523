"""Background tasks that are restarted when they fail."""

import asyncio
from collections.abc import Awaitable, Callable

from marjoramspool.events import Event, log

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Tasks that run until they are stopped; a restart follows after `restart_delay_s`."""

    __slots__ = ("restart_delay_s", "tasks")

    def __init__(self, restart_delay_s: float):
        self.restart_delay_s = restart_delay_s
        self.tasks: list[asyncio.Task] = []

    def start(self, work: Callable[[], Awaitable], name: str | None = None) -> None:
        """Run `work` in a supervised task, named by its qualified name if `name` is not given."""
        name = name or work.__qualname__
        self.tasks.append(asyncio.create_task(self.supervise(name, work), name=name))

    async def supervise(self, name: str, work: Callable[[], Awaitable]) -> None:
        """Run `work` until cancelled; log its errors, and restart it whenever it ends."""
        while True:
            try:
                await work()
            except Exception as error:
                log(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(self.restart_delay_s)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
