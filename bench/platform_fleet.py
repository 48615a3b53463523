"""Fleet on the platform inside one process: routers, store and engines on loopback."""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
from yarl import URL

from bench.local import wait_until
from bench.ports import free_ports
from marjoramspool.bounds import Bounds
from marjoramspool.fleet_router import FleetRouter
from marjoramspool.platform.settings import HostSettings
from standins.faults import Fault
from standins.platform import Entry, PlatformStandin
from standins.platform_engine import PlatformEngine
from standins.run import serve

__all__ = ["HOST", "KEY", "PlatformFleet", "route"]

HOST = "desk.example"
KEY = "key-one"


def route(prefix: str, kind: str, service: str | None, **changes) -> dict:
    """Return a route of the desired state."""
    fields = {
        "name": f"r{prefix}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    return fields | changes


class PlatformFleet:
    """Routers and stand-ins of one test; use as an async context manager."""

    def __init__(self):
        self.stack = AsyncExitStack()
        self.store = PlatformStandin()
        self.store_port = 0
        self.engines: list[PlatformEngine] = []
        self.routers: list[FleetRouter] = []
        self.ports = free_ports(3)
        self.version = 0
        self.bounds = Bounds(shutdown_grace_s=3.0)
        self.started = 0
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        (self.store_port,) = free_ports(1)
        runner = await serve(self.store.app(), self.store_port)
        self.stack.push_async_callback(runner.cleanup)
        return self

    async def __aexit__(self, *details):
        await asyncio.gather(*[router.__aexit__(None, None, None) for router in self.routers])
        for engine in self.engines:
            await engine.stop()
        await self.stack.aclose()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as an operator or an engine does; return its revision."""
        entry = self.store.objects.get(kind, {}).get(name)
        entry = entry or Entry(name, 0, self.store.revision + 1)
        entry.spec = spec
        await self.store.record_change(kind, entry)
        return entry.revision

    async def remove_object(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self.store.objects[kind].pop(name)
        await self.store.record_change(kind, entry, is_removed=True)

    async def add_engine(self, service: str, register: bool = True, **options) -> PlatformEngine:
        """Start an engine and, with `register`, write its registry entry."""
        engine = PlatformEngine(f"i-{len(self.engines)}", service, **options)
        await engine.start()
        self.engines.append(engine)
        if register:
            await self.put("servers", engine.id, engine.registration())
        return engine

    async def configure(self, *routes: dict, keys: tuple[str, ...] = (KEY,), **changes) -> int:
        """Write a desired state; return its revision."""
        self.version += 3
        engine = {"slots": 16, "kv_capacity_tokens": 100_000}
        spec = {
            "version": self.version,
            "routes": list(routes),
            "services": [{"name": "model", "engine": engine}, {"name": "desk"}],
            "tenants": [{"name": "crews", "api_keys": list(keys)}],
        }
        return await self.put("config", "main", spec | changes)

    def settings(self, name: str, address: str, domain: str) -> HostSettings:
        """Return the settings of a router."""
        callers, readiness, peers = self.ports
        return HostSettings(
            name=name,
            address=address,
            failure_domain=domain,
            client_endpoint=f"{address}:{callers}",
            readiness_endpoint=f"{address}:{readiness}",
            peers_port=peers,
            store_endpoint=f"127.0.0.1:{self.store_port}",
            link_mbps=1000,
            bounds=self.bounds,
        )

    async def add_router(self, wait: bool = True) -> FleetRouter:
        """Start a router on an address of its own."""
        self.started += 1
        number = self.started
        settings = self.settings(f"front-{number}", f"127.0.0.{10 + number}", f"zone-{number % 2}")
        router = FleetRouter(settings)
        await router.__aenter__()
        self.routers.append(router)
        if wait:
            await wait_until(lambda: router.is_ready, "the router is ready")
        return router

    async def wait_for_peers(self) -> None:
        """Wait until every router lists all others as live."""
        count = len(self.routers) - 1
        await wait_until(
            lambda: all(len(r.directory.live_peers()) >= count for r in self.routers),
            "every router lists the others as live",
        )

    async def send(self, path: str, request: str, index: int = 0, **options):
        """Send one request; return status, headers and body, None for an incomplete body."""
        headers = {"X-Request-Id": request, "Host": HOST, "Api-Key": KEY}
        headers |= options.pop("headers", {})
        url = URL(f"http://{self.routers[index].settings.client_endpoint}{path}", encoded=True)
        method = options.pop("method", "POST")
        async with self.session.request(method, url, headers=headers, **options) as response:
            try:
                return response.status, response.headers, await response.read()
            except aiohttp.ClientError:
                return response.status, response.headers, None

    async def readiness(self, index: int = 0) -> int:
        """Return the readiness status that the load balancer sees."""
        url = f"http://{self.routers[index].settings.readiness_endpoint}/marjoramspool/readyz"
        async with self.session.get(url) as response:
            return response.status

    def arm(self, kind: str, **details) -> None:
        """Arm a fault at the store."""
        self.store.faults.arm(Fault(kind, **details))
