"""Engines that end under a part of a prompt, and are back under their ids after some seconds."""

import asyncio

from review.common2.fleet import Fleet, Record
from standins.platform_engine import PlatformEngine

__all__ = ["PoisonedEngines"]

BACK_AFTER_S = 3.0


class PoisonedEngines:
    """Engines of one service that a part ends; `ends` has the time of each end."""

    def __init__(self, fleet: Fleet, record: Record, part: str):
        self.fleet = fleet
        self.record = record
        self.part = part
        self.engines: list[PlatformEngine] = []
        self.ends: list[float] = []
        self.restarts: set[asyncio.Task] = set()

    async def start(self, count: int, **options) -> None:
        """Start the engines and register them."""
        for _ in range(count):
            engine = await self.fleet.add_engine(
                "model", is_stream=True, poison=frozenset({self.part}), **options
            )
            engine.on_poisoned = lambda engine=engine: self.end(engine)
            self.engines.append(engine)

    def end(self, engine: PlatformEngine) -> None:
        """Record the end of an engine, and start it again later."""
        if not engine.server.is_serving():
            return
        self.ends.append(self.record.now_s())
        self.record.add(f"engine: {engine.id} ends, end number {len(self.ends)}")
        task = asyncio.create_task(self.restart(engine))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart(self, engine: PlatformEngine) -> None:
        """Start an engine again under its id and address, and register it."""
        await asyncio.sleep(BACK_AFTER_S)
        engine.started_ms += 1
        host, _, port = engine.address.rpartition(":")
        await engine.start(host, int(port))
        await self.fleet.register(engine)
        self.record.add(f"engine: {engine.id} is back")

    def arrivals(self) -> list[tuple[float, str, str]]:
        """Return when each request with the part reached an engine, its id and that of the engine.

        The times are seconds since the start.
        """
        return sorted(
            (arrival.at - self.record.started, arrival.id, engine.id)
            for engine in self.engines
            for arrival in engine.arrivals
            if self.part in arrival.headers.get("x-prompt-prefix", "")
        )
