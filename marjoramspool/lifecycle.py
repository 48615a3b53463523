"""Base class for the ordered startup and shutdown of a router."""

from contextlib import AsyncExitStack

from marjoramspool.background import BackgroundTasks
from marjoramspool.events import Event, log

__all__ = ["Lifecycle"]


class Lifecycle:
    """Resources and background tasks of one router; use as an async context manager."""

    __slots__ = ("name", "stack", "tasks")

    def __init__(self, name: str, restart_delay_s: float):
        self.name = name
        self.stack = AsyncExitStack()
        self.tasks = BackgroundTasks(restart_delay_s)

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all components; the stack stops them in reverse order."""
        raise NotImplementedError

    async def __aenter__(self):
        async with AsyncExitStack() as stack:
            await self.open(stack)
            self.stack = stack.pop_all()
        return self

    async def __aexit__(self, *details):
        await self.stack.aclose()
        log(Event.ROUTER_STOPPED, router=self.name)
