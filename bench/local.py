"""Fleet inside one process: routers and stand-ins on free loopback ports."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack

import aiohttp
import msgspec

from bench.documents import model_document, plain_document, router_settings
from bench.ports import free_ports
from marjoramspool.operators.client import OperatorClient
from marjoramspool.router import Router
from marjoramspool.settings import read_settings
from standins.engine import EngineProfile, EngineStandin
from standins.faults import Fault
from standins.platform import PlatformStandin
from standins.run import serve
from standins.service import ServiceStandin

__all__ = ["LocalFleet", "wait_until"]

DEFAULT_WAIT_S = 15.0
POLL_INTERVAL_S = 0.01
TIMINGS = {
    "probe_period": "100ms",
    "probe_timeout": "300ms",
    "suspect": "400ms",
    "owner_answer": "400ms",
    "poll_period": "100ms",
    "router_period": "100ms",
    "watch": "500ms",
    "platform_timeout": "600ms",
    "connect": "500ms",
    "drain_delay": "50ms",
}


async def wait_until(
    condition: Callable[[], bool], what: str, wait_s: float = DEFAULT_WAIT_S
) -> None:
    """Wait until a condition is true; raise TimeoutError with `what` if it stays false."""
    deadline = time.monotonic() + wait_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what}: not within {wait_s:g} s")
        await asyncio.sleep(POLL_INTERVAL_S)


class LocalFleet:
    """Routers and stand-ins of one test; use as an async context manager."""

    def __init__(self):
        self.stack = AsyncExitStack()
        self.platform = PlatformStandin()
        self.platform_port = 0
        self.engines: list[EngineStandin] = []
        self.engine_ports: list[int] = []
        self.engine_runners: list = []
        self.services: list[ServiceStandin] = []
        self.service_ports: list[int] = []
        self.service_runners: list = []
        self.routers: list[Router] = []
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=60))
        )
        self.platform_port, _ = await self.serve(self.platform.app())
        return self

    async def __aexit__(self, *details):
        await asyncio.gather(*[router.__aexit__(None, None, None) for router in self.routers])
        await self.stack.aclose()

    async def serve(self, app) -> tuple[int, object]:
        """Serve a stand-in until the fleet is closed."""
        (port,) = free_ports(1)
        runner = await serve(app, port)
        self.stack.push_async_callback(runner.cleanup)
        return port, runner

    async def add_engines(
        self, count: int, profile: EngineProfile | None = None, **options
    ) -> None:
        """Start engines."""
        for _ in range(count):
            engine = EngineStandin(profile, seed=len(self.engines) + 1, **options)
            port, runner = await self.serve(engine.app())
            self.engines.append(engine)
            self.engine_ports.append(port)
            self.engine_runners.append(runner)

    async def add_services(self, count: int, work_s: float = 0.0) -> Counter:
        """Start targets of a plain service that share one counter of executions."""
        executions: Counter = Counter()
        for _ in range(count):
            service = ServiceStandin(work_s, executions)
            port, runner = await self.serve(service.app())
            self.services.append(service)
            self.service_ports.append(port)
            self.service_runners.append(runner)
        return executions

    async def add_routers(self, count: int, extra: str = "", domains: int = 4, **timings) -> None:
        """Start routers."""
        for _ in range(count):
            number = len(self.routers)
            await self.add_router(
                f"router-{number}", f"domain-{number % domains}", extra, **timings
            )

    async def add_router(self, name: str, domain: str, extra: str = "", **timings) -> Router:
        """Start one router."""
        ports = free_ports(3)
        text = router_settings(
            name, domain, ports, self.platform_port, extra, **(TIMINGS | timings)
        )
        text += "calls-per-second = 200\n"
        router = Router(read_settings(f"{name}.ini", text))
        await router.__aenter__()
        self.routers.append(router)
        return router

    def url(self, index: int = 0) -> str:
        """Return the base URL of a router for callers."""
        return f"http://127.0.0.1:{self.routers[index].settings.callers_port}"

    async def apply(self, text: str) -> int:
        """Apply a document and wait until it is in force on every router."""
        async with OperatorClient(f"127.0.0.1:{self.platform_port}") as operator:
            version = await operator.apply(text, "tester", None)
        service = next(line for line in text.splitlines() if line.startswith("name"))[7:]
        await wait_until(
            lambda: all(
                r.configuration.versions().get(service, 0) >= version for r in self.routers
            ),
            f"{service} version {version} in force on every router",
        )
        return version

    async def apply_model(self, **options) -> int:
        """Apply the document of the engines, named grip-model."""
        return await self.apply(model_document("grip-model", self.engine_ports, **options))

    async def apply_plain(self, **options) -> int:
        """Apply the document of the plain targets, named field-desk."""
        return await self.apply(plain_document("field-desk", self.service_ports, **options))

    async def wait_for_peers(self) -> None:
        """Wait until every router lists all others as live."""
        count = len(self.routers) - 1
        await wait_until(
            lambda: all(len(r.membership.live_peers()) >= count for r in self.routers),
            "every router knows the others",
        )

    async def post(self, path: str, body: bytes, index: int = 0, **headers):
        """Post to a router; return the status, the headers and the body."""
        headers = {"Authorization": "Bearer crews-key"} | headers
        url = self.url(index) + path
        async with self.session.post(url, data=body, headers=headers) as response:
            return response.status, response.headers, await response.read()

    async def post_closure(self, tag: str, index: int = 0, key: str | None = None):
        """Send a closure order, which is non-idempotent."""
        headers = {"Idempotency-Key": key} if key else {}
        return await self.post("/services/field-desk/closures", tag.encode(), index, **headers)

    async def chat(self, text: str, index: int = 0, stream: bool = False, **options):
        """Ask one question of the model."""
        body = {"model": "grip-model", "messages": [{"role": "user", "content": text}]}
        headers = options.pop("headers", {})
        data = msgspec.json.encode(body | {"stream": stream} | options)
        return await self.post("/v1/chat/completions", data, index, **headers)

    def arm(self, standin, kind: str, **details) -> None:
        """Arm a fault at a stand-in."""
        standin.faults.arm(Fault(kind, **details))

    async def stop_engine(self, index: int) -> None:
        """Close the listener and the connections of an engine."""
        await self.engine_runners[index].cleanup()

    async def remove_router(self, index: int) -> None:
        """Close a router without notifying the others."""
        router = self.routers.pop(index)
        await router.__aexit__(None, None, None)
