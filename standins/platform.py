"""Stand-in for the platform's store: objects by kind and name, with watches and faults."""

import asyncio
import copy
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from standins.faults import Faults, abort_connection, hang
from standins.replies import reply

__all__ = ["PlatformStandin"]

OBJECTS_PATH = "/marjoramspool/objects"
MAX_VALUE_BYTES = 1 << 20
PAGE_ITEMS = 500
RATE_WINDOW_S = 1.0
MAX_CALL_TIMES = 10_000
WRITE_METHODS = ("POST", "PUT", "DELETE")


@dataclass(slots=True)
class Entry:
    """One stored object."""

    name: str
    revision: int
    create_revision: int
    spec: object = None
    status: object = None

    def as_body(self) -> dict:
        """Return the object as the body of a store response."""
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "create_revision": self.create_revision,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


@dataclass(slots=True)
class Change:
    """One change in the history."""

    revision: int
    kind: str
    body: dict
    is_removed: bool


@dataclass(slots=True)
class Snapshot:
    """Copy of the store, from which it may be restored later."""

    objects: dict[str, dict[str, Entry]]
    revision: int


class PlatformStandin:
    """Object store with one revision counter for all kinds.

    `era` counts the times that the store was restored from a copy; every response names it.
    """

    def __init__(self, writes_per_s: float = 1e9):
        self.page_items = PAGE_ITEMS
        # Called with the kind after each page of a listing but the last, before the next is read.
        self.on_page: Callable[[str], Awaitable[None]] | None = None
        self.objects: dict[str, dict[str, Entry]] = {}
        self.revision = 1
        self.era = 1
        self.history: list[Change] = []
        self.compacted_revision = 0
        self.changed = asyncio.Condition()
        self.faults = Faults()
        self.writes_per_s = writes_per_s
        self.write_times: deque[float] = deque()
        self.times: deque[float] = deque(maxlen=MAX_CALL_TIMES)
        self.calls: dict[str, int] = {"read": 0, "write": 0, "watch": 0}
        self.previous: dict[tuple[str, str], dict] = {}
        self.silent_connections: set[int] = set()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            client_max_size=MAX_VALUE_BYTES + 4096,
            middlewares=[self.name_era, self.apply_faults],
        )
        app.router.add_get(OBJECTS_PATH + "/{kind}", self.list_or_watch)
        app.router.add_post(OBJECTS_PATH + "/{kind}", self.create)
        app.router.add_get(OBJECTS_PATH + "/{kind}/{name}", self.read)
        app.router.add_put(OBJECTS_PATH + "/{kind}/{name}", self.replace)
        app.router.add_put(OBJECTS_PATH + "/{kind}/{name}/status", self.replace_status)
        app.router.add_delete(OBJECTS_PATH + "/{kind}/{name}", self.remove)
        app.router.add_get("/_calls", self.read_calls)
        self.faults.add_routes(app)
        return app

    @web.middleware
    async def name_era(self, request: web.Request, handler):
        """Name the era in a response; one that is under way during a restoration keeps its own."""
        era = self.era
        response = await handler(request)
        response.headers["Store-Era"] = str(era)
        return response

    def snapshot(self) -> Snapshot:
        """Return a copy of the present contents."""
        return Snapshot(copy.deepcopy(self.objects), self.revision)

    async def restore(self, snapshot: Snapshot) -> None:
        """Return to the contents of a copy; what was written since is gone."""
        self.objects = copy.deepcopy(snapshot.objects)
        self.revision = snapshot.revision
        self.history = [c for c in self.history if c.revision <= snapshot.revision]
        self.previous.clear()
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    @web.middleware
    async def apply_faults(self, request: web.Request, handler):
        """Apply the armed faults; those for watches have a path that starts with /watch."""
        if request.path.startswith("/_"):
            return await handler(request)
        self.times.append(time.monotonic())
        await self.faults.thawed.wait()
        path = f"/watch{request.path}" if "watch" in request.query else request.path
        connection = id(request.transport)
        if self.faults.consume("silent", path):
            self.silent_connections.add(connection)
        if connection in self.silent_connections:
            await hang()
        if self.faults.consume("outage", path):
            return web.Response(status=503)
        if request.method in WRITE_METHODS and self.faults.consume("lose-write", path):
            abort_connection(request)
            return web.Response(status=503)
        slow = self.faults.consume("slow", path)
        if slow:
            await asyncio.sleep(slow.seconds)
        response = await handler(request)
        if request.method in WRITE_METHODS and self.faults.consume("lose-reply", path):
            abort_connection(request)
        return response

    def compact_history(self) -> None:
        """Discard the history, so that watches from an older revision must list again."""
        self.history.clear()
        self.compacted_revision = self.revision

    async def read(self, request: web.Request) -> web.Response:
        """Read one object."""
        self.calls["read"] += 1
        kind, name = request.match_info["kind"], request.match_info["name"]
        previous = self.previous.get((kind, name))
        if previous is not None and self.faults.consume("stale-read", request.path):
            return reply(previous) if previous else web.Response(status=404)
        entry = self.objects.get(kind, {}).get(name)
        return reply(entry.as_body()) if entry else web.Response(status=404)

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """List the objects of a kind, or watch for changes."""
        if "watch" in request.query:
            return await self.watch(request)
        self.calls["read"] += 1
        kind, after = request.match_info["kind"], request.query.get("since_revision", "")
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name].as_body() for name in names[: self.page_items]]
        if self.faults.consume("stale-read", request.path):
            items = [self.previous.get((kind, i["metadata"]["name"])) or i for i in items]
        has_more = len(names) > self.page_items
        answer = reply({"items": items, "more": has_more, "at": self.revision})
        if has_more and self.on_page:
            await self.on_page(kind)
        return answer

    def changes(self, kind: str, after: int) -> list[Change]:
        """Return the changes of a kind after a revision."""
        return [c for c in self.history if c.kind == kind and c.revision > after]

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes of a kind."""
        self.calls["watch"] += 1
        kind, after = request.match_info["kind"], int(request.query["watch"])
        if after < self.compacted_revision or after > self.revision:
            return web.Response(status=410)
        era = self.era
        wait_s = float(request.query.get("wait_ms", 0)) / 1000.0
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.era != era or self.changes(kind, after))
        except TimeoutError:
            pass
        if after < self.compacted_revision or self.era != era:
            return web.Response(status=410)
        events = [{"object": c.body, "removed": c.is_removed} for c in self.changes(kind, after)]
        return reply({"events": events, "at": self.revision})

    async def create(self, request: web.Request) -> web.Response:
        """Create an object, unless it exists."""
        kind = request.match_info["kind"]
        body = msgspec.json.decode(await request.read())
        name = body["metadata"]["name"]
        if refusal := self.refusal(await request.read()):
            return refusal
        existing = self.objects.get(kind, {}).get(name)
        if existing:
            return reply(existing.as_body(), 409)
        return await self.record_change(kind, Entry(name, 0, self.revision + 1, body.get("spec")))

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the spec of an object, unless the request names an outdated revision."""
        return await self.change(request, "spec")

    async def replace_status(self, request: web.Request) -> web.Response:
        """Replace the status of an object, unless the request names an outdated revision."""
        return await self.change(request, "status")

    async def change(self, request: web.Request, field: str) -> web.Response:
        """Replace the spec or the status of an object."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        data = await request.read()
        if refusal := self.refusal(data):
            return refusal
        body = msgspec.json.decode(data)
        entry = self.objects.get(kind, {}).get(name)
        if entry is None:
            return web.Response(status=404)
        if body.get("metadata", {}).get("revision") not in (None, entry.revision):
            return reply(entry.as_body(), 409)
        if getattr(entry, field) == body.get(field):
            return reply(entry.as_body())
        self.previous[kind, name] = entry.as_body()
        setattr(entry, field, body.get(field))
        return await self.record_change(kind, entry)

    async def remove(self, request: web.Request) -> web.Response:
        """Remove an object, unless the request names an outdated revision."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        if refusal := self.refusal(b""):
            return refusal
        entry = self.objects.get(kind, {}).get(name)
        if entry is None:
            return web.Response(status=404)
        if int(request.query.get("revision", entry.revision)) != entry.revision:
            return reply(entry.as_body(), 409)
        self.previous[kind, name] = entry.as_body()
        del self.objects[kind][name]
        return await self.record_change(kind, entry, is_removed=True)

    async def record_change(
        self, kind: str, entry: Entry, is_removed: bool = False
    ) -> web.Response:
        """Record a change and notify the watches."""
        self.revision += 1
        if not is_removed:
            entry.revision = self.revision
            self.previous.setdefault((kind, entry.name), {})
            self.objects.setdefault(kind, {})[entry.name] = entry
        self.history.append(Change(self.revision, kind, entry.as_body(), is_removed))
        async with self.changed:
            self.changed.notify_all()
        return reply(entry.as_body())

    def refusal(self, data: bytes) -> web.Response | None:
        """Count a write; return an error response if it exceeds the rate or size limit."""
        self.calls["write"] += 1
        if not within_rate(self.write_times, self.writes_per_s):
            return web.Response(status=429)
        return web.Response(status=413) if len(data) > MAX_VALUE_BYTES else None

    async def read_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls of each type."""
        return reply(self.calls)


def within_rate(times: deque, rate_per_s: float) -> bool:
    """Return whether the rate over the last second allows an event, and count it if so."""
    now = time.monotonic()
    while times and now - times[0] > RATE_WINDOW_S:
        times.popleft()
    if len(times) >= rate_per_s:
        return False
    times.append(now)
    return True
