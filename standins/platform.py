"""Stand-in for the platform: object API, host list and weight store."""

import asyncio
import time
from collections import deque

import msgspec
from aiohttp import web

from standins.faults import Faults, hang, sever
from standins.replies import reply

__all__ = ["PlatformStandin"]

LARGEST_VALUE = 1 << 20
RATE_WINDOW_S = 1.0
CALLS_KEPT = 10_000


class PlatformStandin:
    """Keep objects with versions that rise over the whole store."""

    def __init__(self, writes_per_s: float = 1e9, weight_loads_per_s: float = 1e9):
        self.objects: dict[str, dict[str, tuple[int, str | None]]] = {}
        self.version = 0
        self.hosts: list[dict] = []
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.writes_per_s = writes_per_s
        self.weight_loads_per_s = weight_loads_per_s
        self.write_times: deque[float] = deque()
        self.weight_times: deque[float] = deque()
        self.times: deque[float] = deque(maxlen=CALLS_KEPT)
        self.calls: dict[str, int] = {"read": 0, "write": 0, "watch": 0, "hosts": 0, "weights": 0}
        self.previous: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.silent: set[int] = set()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=LARGEST_VALUE + 4096, middlewares=[self.spoil])
        app.router.add_get("/v1/objects/{kind}/{name:.+}", self.read)
        app.router.add_put("/v1/objects/{kind}/{name:.+}", self.write)
        app.router.add_delete("/v1/objects/{kind}/{name:.+}", self.write)
        app.router.add_get("/v1/objects/{kind}", self.list)
        app.router.add_get("/v1/watch/{kind}", self.watch)
        app.router.add_get("/v1/hosts", self.read_hosts)
        app.router.add_put("/v1/hosts", self.write_hosts)
        app.router.add_post("/v1/weights", self.weights)
        app.router.add_get("/_calls", self.read_calls)
        self.faults.add_routes(app)
        return app

    @web.middleware
    async def spoil(self, request: web.Request, handler):
        """Show the armed faults."""
        if request.path.startswith("/_"):
            return await handler(request)
        self.times.append(time.monotonic())
        await self.faults.thawed.wait()
        connection = id(request.transport)
        if self.faults.take("silent", request.path):
            self.silent.add(connection)
        if connection in self.silent:
            await hang()
        if self.faults.take("outage", request.path):
            return web.Response(status=503)
        if request.method in ("PUT", "DELETE") and self.faults.take("lose-write", request.path):
            sever(request)
            return web.Response(status=503)
        slow = self.faults.take("slow", request.path)
        if slow:
            await asyncio.sleep(slow.seconds)
        response = await handler(request)
        if request.method in ("PUT", "DELETE") and self.faults.take("lose-reply", request.path):
            sever(request)
        return response

    async def read(self, request: web.Request) -> web.Response:
        """Read one object."""
        self.calls["read"] += 1
        kind, name = request.match_info["kind"], request.match_info["name"]
        version, value = self.objects.get(kind, {}).get(name, (0, None))
        if (kind, name) in self.previous and self.faults.take("stale-read", request.path):
            version, value = self.previous[kind, name]
        return reply(
            {"name": name, "version": version, "value": value}, 200 if value is not None else 404
        )

    async def write(self, request: web.Request) -> web.Response:
        """Write or delete one object if it still has the expected version."""
        self.calls["write"] += 1
        if not within_rate(self.write_times, self.writes_per_s):
            return web.Response(status=503)
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = (await request.read()).decode()
        if len(body) > LARGEST_VALUE:
            return web.Response(status=413)
        objects = self.objects.setdefault(kind, {})
        version, value = objects.get(name, (0, None))
        if int(request.headers["If-Match"]) != version:
            return reply({"version": version}, 409)
        self.previous[kind, name] = (version, value)
        self.version += 1
        objects[name] = (self.version, body if request.method == "PUT" else None)
        async with self.changed:
            self.changed.notify_all()
        return reply({"version": self.version})

    def listing(self, kind: str, after: int) -> dict:
        """Return the objects of a kind that are newer than a version."""
        objects = [
            {"name": name, "version": version, "value": value}
            for name, (version, value) in self.objects.get(kind, {}).items()
            if version > after
        ]
        return {"version": self.version, "objects": objects}

    async def list(self, request: web.Request) -> web.Response:
        """List the objects of a kind."""
        self.calls["read"] += 1
        kind = request.match_info["kind"]
        listing = self.listing(kind, 0)
        if self.faults.take("stale-read", request.path):
            for entry in listing["objects"]:
                old = self.previous.get((kind, entry["name"]))
                if old:
                    entry["version"], entry["value"] = old
        return reply(listing)

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for newer objects of a kind."""
        self.calls["watch"] += 1
        kind = request.match_info["kind"]
        after, wait_s = int(request.query["after"]), float(request.query["wait"])
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.listing(kind, after)["objects"])
        except TimeoutError:
            pass
        return reply(self.listing(kind, after))

    async def read_hosts(self, request: web.Request) -> web.Response:
        """Return the host list."""
        self.calls["hosts"] += 1
        return reply({"hosts": self.hosts})

    async def write_hosts(self, request: web.Request) -> web.Response:
        """Replace the host list."""
        self.hosts = msgspec.json.decode(await request.read())
        return web.Response()

    async def weights(self, request: web.Request) -> web.Response:
        """Grant a load from the weight store if its rate allows one."""
        self.calls["weights"] += 1
        allowed = within_rate(self.weight_times, self.weight_loads_per_s)
        return web.Response(status=200 if allowed else 429)

    async def read_calls(self, request: web.Request) -> web.Response:
        """Return how many calls of each sort came."""
        return reply(self.calls)


def within_rate(times: deque, rate_per_s: float) -> bool:
    """Count an event if the rate over the last second allows it."""
    now = time.monotonic()
    while times and now - times[0] > RATE_WINDOW_S:
        times.popleft()
    if len(times) >= rate_per_s:
        return False
    times.append(now)
    return True
