"""Fleet of a soak: router processes, the store, engines and the links between them."""

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
from soak.history import ConfigurationChange, History
from soak.invariants import STREAM_EVENTS
from soak.links import Link
from standins.platform_engine import PlatformEngine

__all__ = ["Fleet", "SoakRouter"]

SHUTDOWN_GRACE_S = 6.0
RESTART_DELAY_S = 0.3
ENGINE_RESTART_S = 1.5
STARTUP_S = 3.0
POLL_INTERVAL_S = 1.0
EVENT_INTERVAL_S = 0.02
ROUTER_NETWORK = "127.0.40"
COLD_START_S = 6.0
ENGINE_COUNTS = (("desk", 3), ("model", 4))


@dataclass(slots=True)
class SoakRouter:
    """One router process, its link to the store and the number of its starts."""

    process: RouterProcess
    store_link: Link
    starts: int = 0
    # Whether the soak has killed the process or told it to stop.
    is_exit_expected: bool = False


class Fleet:
    """All processes, servers and links of one soak, as an async context manager."""

    def __init__(self, count: int, folder: Path):
        self.count = count
        self.folder = folder
        self.stack = AsyncExitStack()
        self.platform = PlatformFleet()
        self.history = History(self.platform)
        self.routers: list[SoakRouter] = []
        self.links: dict[str, Link] = {}
        self.ready: set[int] = set()
        self.restoring = asyncio.Lock()
        self.ended_engines: set[str] = set()
        self.restarts: set[asyncio.Task] = set()
        # Contents that end the targets that run them.
        self.poison_bodies: frozenset[bytes] = frozenset()
        # Requests a second that cold targets sustain, 0 before the first is cold.
        self.cold_per_s = 0.0
        self.keys: tuple[str, ...] = ("key-0", "key-1", "key-2")
        # API keys that callers use, including revoked ones.
        self.caller_keys: tuple[str, ...] = self.keys
        self.tasks = BackgroundTasks(POLL_INTERVAL_S)

    async def __aenter__(self):
        try:
            await self.open_all()
        except BaseException:
            await self.stack.aclose()
            raise
        return self

    async def __aexit__(self, *details):
        await self.stack.aclose()

    async def open_all(self) -> None:
        """Start the store, engines and routers; the exit stack closes them in reverse order."""
        await self.stack.enter_async_context(self.platform)
        self.stack.push_async_callback(self.stop_all)
        for service, count in ENGINE_COUNTS:
            for _ in range(count):
                await self.add_engine(service)
        await self.write_desired_state()
        for number in range(self.count):
            await self.add_router(number)
        self.tasks.start(self.poll)

    async def stop_all(self) -> None:
        """Stop all tasks and router processes."""
        for task in self.restarts:
            task.cancel()
        await self.tasks.stop()
        await asyncio.gather(*[router.process.end() for router in self.routers])

    async def add_engine(self, service: str, version: str = "v1") -> PlatformEngine:
        """Start an engine behind its own link and register it."""
        is_stream = service == "model"
        engine = await self.platform.add_engine(
            service,
            register=False,
            is_stream=is_stream,
            version=version,
            pieces=STREAM_EVENTS,
            piece_interval_s=EVENT_INTERVAL_S,
            poison_bodies=self.poison_bodies,
        )
        link = Link(lambda: engine.address)
        self.links[engine.id] = await self.stack.enter_async_context(link)
        engine.on_poisoned = lambda: self.replace_ended(engine)
        await self.register(engine)
        return engine

    def replace_ended(self, engine: PlatformEngine) -> None:
        """Refuse connections to an engine that ends, and start another later."""
        if engine.id in self.ended_engines:
            return
        self.ended_engines.add(engine.id)
        self.links[engine.id].server.close()
        task = asyncio.create_task(self.restart_engine(engine))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart_engine(self, engine: PlatformEngine) -> None:
        """Remove the registration of an engine that ended, and start another."""
        await asyncio.sleep(ENGINE_RESTART_S)
        self.history.drain_starts.setdefault(engine.id, time.monotonic())
        if engine.id in self.platform.store.objects["servers"]:
            await self.platform.remove_object("servers", engine.id)
        await self.add_engine(engine.service)

    async def register(self, engine: PlatformEngine, **changes) -> None:
        """Write an engine's registry entry, with the address of its link."""
        entry = engine.registration(address=self.links[engine.id].address, **changes)
        await self.platform.put("servers", engine.id, entry)

    async def write_desired_state(self) -> None:
        """Write a new desired state with a unique probe route and record its confirmation."""
        probe_prefix = f"/probe-{self.platform.version + 3}/"
        engine = {"slots": 16, "kv_capacity_tokens": 100_000}
        cold = {"cold_start_s": COLD_START_S, "cold_per_s": self.cold_per_s}
        await self.platform.configure(
            route("/lookup/", "idempotent", "desk"),
            route("/order/", "non_idempotent", "desk", max_attempts=1),
            route("/report/", "streaming", "model", stream_resume=True),
            route("/digest/", "streaming", "model", max_attempts=1),
            route(probe_prefix, "idempotent", "desk"),
            keys=self.keys,
            services=[{"name": "model", "engine": engine}, {"name": "desk"} | cold],
        )
        version = self.platform.version
        self.history.changes.append(
            ConfigurationChange(version, probe_prefix, self.keys, time.monotonic())
        )

    async def add_router(self, number: int) -> None:
        """Add a router with a link to the store, and keep its process running."""
        link = Link(lambda: f"127.0.0.1:{self.platform.store_port}")
        await self.stack.enter_async_context(link)
        address = f"{ROUTER_NETWORK}.{number + 1}"
        settings = self.platform.settings(f"front-{number}", address, f"zone-{number % 3}")
        settings = replace(
            settings, store_endpoint=link.address, bounds=Bounds(shutdown_grace_s=SHUTDOWN_GRACE_S)
        )
        log = self.stack.enter_context((self.folder / f"front-{number}.log").open("ab"))
        process = RouterProcess(settings, self.folder / f"front-{number}.json", log)
        process.write_settings()
        router = SoakRouter(process, link)
        self.routers.append(router)
        self.tasks.start(lambda: self.run_router(number, router), router.process.settings.name)

    async def run_router(self, number: int, router: SoakRouter) -> None:
        """Restart a router whenever its process exits; record exits that the soak did not cause."""
        while True:
            router.starts += 1
            router.is_exit_expected = False
            self.history.record_disturbance(number, time.monotonic(), STARTUP_S, "start")
            await router.process.launch()
            code = await router.process.process.wait()
            if not router.is_exit_expected:
                self.history.unexpected_exits.append(
                    f"router {number} exited unexpectedly with code {code}"
                )
            await asyncio.sleep(RESTART_DELAY_S)

    async def poll(self) -> None:
        """Poll the readiness of the routers, as a load balancer does."""
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
                await asyncio.sleep(POLL_INTERVAL_S)

    async def is_ready(self, session: aiohttp.ClientSession, router: SoakRouter) -> bool:
        """Return whether a router answers its readiness endpoint with 200."""
        url = f"http://{router.process.settings.readiness_endpoint}/marjoramspool/readyz"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def routers_in_rotation(self) -> list[int]:
        """Return the routers for new connections: the ready ones, or all if none is."""
        return sorted(self.ready) or list(range(self.count))

    def stop(self, number: int) -> None:
        """Stop a router with SIGTERM."""
        router = self.routers[number]
        router.is_exit_expected = True
        self.history.record_disturbance(
            number, time.monotonic(), SHUTDOWN_GRACE_S + 1.0, "stop", is_planned=True
        )
        router.process.signal(signal.SIGTERM)

    def kill(self, number: int) -> None:
        """Kill a router with SIGKILL."""
        router = self.routers[number]
        router.is_exit_expected = True
        self.history.record_disturbance(number, time.monotonic(), STARTUP_S, "kill")
        router.process.signal(signal.SIGKILL)
