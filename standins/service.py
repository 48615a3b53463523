"""Stand-in for a plain service that counts the executions of each request."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

import msgspec
from aiohttp import web

from standins.faults import Faults, abort_connection, hang
from standins.replies import reply

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Plain service; executions are counted by request body, or by path if it is empty."""

    def __init__(
        self, work_s: float = 0.0, executions: Counter | None = None, padding_bytes: int = 0
    ):
        self.work_s = work_s
        # Bytes that are added to the answer to each request whose path ends with "long".
        self.padding_bytes = padding_bytes
        self.faults = Faults()
        self.executions = executions if executions is not None else Counter()
        self.attempts: Counter = Counter()
        self.in_flight = 0
        self.incarnation = 1
        self.is_draining = False
        self.silent_connections: set[int] = set()
        # Body that ends the target, and what ends it.
        self.poison = ""
        self.on_poison: Callable[[], None] = lambda: None
        # Requests per second that each answer names as the limit.
        self.limit_per_s: float | None = None
        self.arrived_at: list[float] = []

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(self.name_limit)
        app.router.add_get("/load", self.load)
        app.router.add_get("/_executions", self.read_executions)
        self.faults.add_routes(app)
        app.router.add_route("*", "/{path:.*}", self.run)
        return app

    async def name_limit(self, _: web.Request, response: web.StreamResponse) -> None:
        """Name the limit in an answer."""
        if self.limit_per_s is not None:
            response.headers["X-Requests-Per-Second"] = f"{self.limit_per_s}"

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Execute one request, with the armed faults before or after it."""
        self.arrived_at.append(time.monotonic())
        await self.faults.thawed.wait()
        if id(request.transport) in self.silent_connections:
            await hang()
        body = (await request.read()).decode()
        if self.poison and body == self.poison:
            self.on_poison()
            abort_connection(request)
            return web.Response(status=503)
        if self.faults.consume("silent"):
            self.silent_connections.add(id(request.transport))
            await hang()
        if self.faults.consume("cut-before-run"):
            abort_connection(request)
            return web.Response(status=503)
        self.executions[body or request.raw_path] += 1
        self.attempts[request.headers.get("X-Request-Id", "")] += 1
        self.in_flight += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.in_flight -= 1
        if self.faults.consume("cut-after-run"):
            abort_connection(request)
            return web.Response(status=503)
        if self.faults.consume("silent-after-run"):
            await hang()
        return await self.answer(request, body)

    async def answer(self, request: web.Request, body: str) -> web.StreamResponse:
        """Send a response with the number of executions."""
        count = self.executions[body or request.raw_path]
        data = msgspec.json.encode({"ran": body or request.raw_path, "count": count})
        if request.path.endswith("long"):
            data += b" " * self.padding_bytes
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        if self.faults.consume("cross"):
            headers["X-Request-Id"] = "another-attempt"
        if self.faults.consume("cut-midway"):
            response = web.StreamResponse(headers=headers | {"Content-Length": str(len(data))})
            await response.prepare(request)
            await response.write(data[: len(data) // 2])
            abort_connection(request)
            return response
        return web.Response(body=data, content_type="application/json", headers=headers)

    async def load(self, request: web.Request) -> web.Response:
        """Return the current load."""
        report = {
            "incarnation": self.incarnation,
            "in_flight": self.in_flight,
            "queued": 0,
            "leaving": self.is_draining,
        }
        return reply(report)

    async def read_executions(self, request: web.Request) -> web.Response:
        """Return the number of executions of each request."""
        return reply(dict(self.executions))
