"""The fleet of a soak: router processes, the store, engines, and the links between them."""

import asyncio
import signal
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from pathlib import Path

import aiohttp

from bench.platform_fleet import PlatformFleet, route
from bench.router_process import RouterProcess
from marjoramspool.background import BackgroundTasks
from marjoramspool.bounds import Bounds
from soak.links import Link
from soak.observed import Change, Observed
from soak.promises import EVENTS
from standins.platform_engine import PlatformEngine

__all__ = ["Fleet", "SoakRouter"]

GRACE_S = 6.0
RESTART_S = 0.3
START_S = 3.0
ROTATION_S = 1.0
EVENT_S = 0.02
SOAK_NETWORK = "127.0.40"
ENGINES = (("desk", 3), ("model", 4))


@dataclass(slots=True)
class SoakRouter:
    """Hold one router process, its link to the store, and how often it was started."""

    process: RouterProcess
    store_link: Link
    starts: int = 0
    # Whether the soak itself has ended the process or asks it to stop.
    is_ended: bool = False


class Fleet:
    """Own everything of one soak; use as an async context manager."""

    def __init__(self, count: int, folder: Path):
        self.count = count
        self.folder = folder
        self.stack = AsyncExitStack()
        self.site = PlatformFleet()
        self.observed = Observed(self.site)
        self.routers: list[SoakRouter] = []
        self.links: dict[str, Link] = {}
        self.ready: set[int] = set()
        self.keys: tuple[str, ...] = ("key-0", "key-1", "key-2")
        # Keys that callers still use, also some that were taken away.
        self.keys_in_use: tuple[str, ...] = self.keys
        self.tasks = BackgroundTasks(ROTATION_S)

    async def __aenter__(self):
        try:
            await self.open()
        except BaseException:
            await self.stack.aclose()
            raise
        return self

    async def __aexit__(self, *details):
        await self.stack.aclose()

    async def open(self) -> None:
        """Open every part; the stack closes them in reverse order."""
        await self.stack.enter_async_context(self.site)
        self.stack.push_async_callback(self.end)
        for service, count in ENGINES:
            for _ in range(count):
                await self.add_engine(service)
        await self.change()
        for number in range(self.count):
            await self.add_router(number)
        self.tasks.start(self.poll)

    async def end(self) -> None:
        """End all tasks and processes."""
        await self.tasks.stop()
        await asyncio.gather(*[router.process.end() for router in self.routers])

    async def add_engine(self, service: str) -> PlatformEngine:
        """Start an engine behind a link of its own and register it."""
        is_stream = service == "model"
        engine = await self.site.add_engine(
            service, register=False, is_stream=is_stream, pieces=EVENTS, piece_s=EVENT_S
        )
        link = Link(lambda: engine.address)
        self.links[engine.id] = await self.stack.enter_async_context(link)
        await self.register(engine)
        return engine

    async def register(self, engine: PlatformEngine, **changes) -> None:
        """Write what an engine says of itself."""
        entry = engine.entry(address=self.links[engine.id].address, **changes)
        await self.site.put("servers", engine.id, entry)

    async def change(self) -> None:
        """Write a new desired state with a probe route of its own, and record its confirmation."""
        probe = f"/probe-{self.site.version + 3}/"
        await self.site.configure(
            route("/lookup/", "idempotent", "desk"),
            route("/order/", "non_idempotent", "desk", max_attempts=1),
            route("/report/", "streaming", "model", stream_resume=True),
            route("/digest/", "streaming", "model", max_attempts=1),
            route(probe, "idempotent", "desk"),
            keys=self.keys,
        )
        version = self.site.version
        self.observed.changes.append(Change(version, probe, self.keys, time.monotonic()))

    async def add_router(self, number: int) -> None:
        """Start a router and keep it running."""
        link = Link(lambda: f"127.0.0.1:{self.site.store_port}")
        await self.stack.enter_async_context(link)
        address = f"{SOAK_NETWORK}.{number + 1}"
        settings = self.site.settings(f"front-{number}", address, f"zone-{number % 3}")
        settings = replace(settings, store=link.address, bounds=Bounds(shutdown_grace_s=GRACE_S))
        log = self.stack.enter_context((self.folder / f"front-{number}.log").open("ab"))
        process = RouterProcess(settings, self.folder / f"front-{number}.json", log)
        process.write_settings()
        router = SoakRouter(process, link)
        self.routers.append(router)
        self.tasks.start(lambda: self.keep_up(number, router), router.process.settings.name)

    async def keep_up(self, number: int, router: SoakRouter) -> None:
        """Start a router again whenever it ends, for ever; record ends of its own."""
        while True:
            router.starts += 1
            router.is_ended = False
            self.observed.disturb(number, time.monotonic(), START_S, "start")
            await router.process.launch()
            code = await router.process.process.wait()
            if not router.is_ended:
                self.observed.ends.append(f"router {number} ended by itself with {code}")
            await asyncio.sleep(RESTART_S)

    async def poll(self) -> None:
        """Ask the routers whether they are ready, as the balancer does, for ever."""
        misses = [0] * self.count
        limit = aiohttp.ClientTimeout(total=0.8)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                answers = await asyncio.gather(
                    *[self.is_ready(session, router) for router in self.routers]
                )
                for number, is_ready in enumerate(answers):
                    misses[number] = 0 if is_ready else misses[number] + 1
                self.ready = {number for number, count in enumerate(misses) if count < 2}
                await asyncio.sleep(ROTATION_S)

    async def is_ready(self, session: aiohttp.ClientSession, router: SoakRouter) -> bool:
        """Ask one router."""
        url = f"http://{router.process.settings.readiness_endpoint}/marjoramspool/readyz"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def rotation(self) -> list[int]:
        """Return the routers that new connections go to."""
        return sorted(self.ready) or list(range(self.count))

    def stop(self, number: int) -> None:
        """Ask a router to stop."""
        router = self.routers[number]
        router.is_ended = True
        self.observed.disturb(number, time.monotonic(), GRACE_S + 1.0, "stop", is_planned=True)
        router.process.signal(signal.SIGTERM)

    def kill(self, number: int) -> None:
        """Kill a router."""
        router = self.routers[number]
        router.is_ended = True
        self.observed.disturb(number, time.monotonic(), START_S, "kill")
        router.process.signal(signal.SIGKILL)
