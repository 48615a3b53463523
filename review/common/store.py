"""Stand-in for the platform's store: objects by kind and name, listings in pages, and watches."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from aiohttp import web

__all__ = ["Store"]

ANSWER_S = 0.004
MAX_WAIT_S = 30.0


class Store:
    """Linearizable object store with one revision counter.

    `page_items` bounds a page of a listing. `on_page` is awaited after a page has been answered,
    with the kind, the peer's address and whether more pages follow.
    """

    def __init__(self, page_items: int = 500):
        self.page_items = page_items
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Condition()
        self.on_page: Callable[[str, str, bool], Awaitable[None]] | None = None
        self.runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        app = web.Application(client_max_size=2 << 20)
        path = "/marjoramspool/objects"
        app.router.add_get(path + "/{kind}", self.list_or_watch)
        app.router.add_post(path + "/{kind}", self.create)
        app.router.add_get(path + "/{kind}/{name}", self.read)
        app.router.add_put(path + "/{kind}/{name}", self.replace)
        app.router.add_put(path + "/{kind}/{name}/status", self.replace)
        app.router.add_delete(path + "/{kind}/{name}", self.remove)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.runner.cleanup()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or an engine does; return its revision."""
        old = self.objects.get(kind, {}).get(name)
        if old and old["spec"] == spec:
            return old["metadata"]["revision"]
        created = old["metadata"]["create_revision"] if old else self.revision + 1
        return await self.record(kind, name, created, spec, old["status"] if old else None)

    async def record(self, kind, name, created, spec, status) -> int:
        """Write an object and notify the watches; return its revision."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects.setdefault(kind, {})[name] = stored
        self.history.append((self.revision, kind, stored, False))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def delete(self, kind: str, name: str) -> dict | None:
        """Remove an object and notify the watches; return it."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored:
            self.revision += 1
            self.history.append((self.revision, kind, stored, True))
            async with self.changed:
                self.changed.notify_all()
        return stored

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """Answer one page of a listing, or a watch."""
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self.watch(request, kind)
        await asyncio.sleep(ANSWER_S / 2)
        after = request.query.get("since_revision", "")
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = [self.objects[kind][name] for name in names[: self.page_items]]
        more = len(names) > self.page_items
        at = self.revision
        body = json.dumps({"items": items, "more": more, "at": at}).encode()
        if self.on_page:
            await self.on_page(kind, request.remote, more)
        await asyncio.sleep(ANSWER_S / 2)
        return web.Response(body=body, content_type="application/json")

    async def watch(self, request: web.Request, kind: str) -> web.Response:
        """Wait for changes of a kind."""
        after = int(request.query["watch"])
        wait_s = min(MAX_WAIT_S, float(request.query.get("wait_ms", 0)) / 1000.0)

        def changes() -> list:
            return [h for h in self.history if h[0] > after and h[1] == kind]

        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(changes)
        except TimeoutError:
            pass
        events = [{"object": stored, "removed": gone} for _, _, stored, gone in changes()]
        body = json.dumps({"events": events, "at": self.revision}).encode()
        await asyncio.sleep(ANSWER_S)
        return web.Response(body=body, content_type="application/json")

    async def read(self, request: web.Request) -> web.Response:
        """Answer one object."""
        await asyncio.sleep(ANSWER_S)
        stored = self.find(request)
        return web.json_response(stored) if stored else web.Response(status=404)

    def find(self, request: web.Request) -> dict | None:
        """Return the object that a request names."""
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects.get(kind, {}).get(name)

    async def create(self, request: web.Request) -> web.Response:
        """Create an object, unless it exists."""
        await asyncio.sleep(ANSWER_S)
        kind, body = request.match_info["kind"], await request.json()
        name = body["metadata"]["name"]
        stored = self.objects.get(kind, {}).get(name)
        if stored:
            return web.json_response(stored, status=409)
        await self.record(kind, name, self.revision + 1, body.get("spec"), None)
        return web.json_response(self.objects[kind][name])

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the spec or the status of an object conditionally."""
        await asyncio.sleep(ANSWER_S)
        kind, body = request.match_info["kind"], await request.json()
        stored = self.find(request)
        if stored is None:
            return web.Response(status=404)
        expected = body.get("metadata", {}).get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return web.json_response(stored, status=409)
        field = "status" if request.path.endswith("/status") else "spec"
        if stored[field] == body.get(field):
            return web.json_response(stored)
        name, created = stored["metadata"]["name"], stored["metadata"]["create_revision"]
        fields = {"spec": stored["spec"], "status": stored["status"], field: body.get(field)}
        await self.record(kind, name, created, fields["spec"], fields["status"])
        return web.json_response(self.objects[kind][name])

    async def remove(self, request: web.Request) -> web.Response:
        """Remove an object conditionally."""
        await asyncio.sleep(ANSWER_S)
        stored = self.find(request)
        if stored is None:
            return web.Response(status=404)
        expected = request.query.get("revision")
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return web.json_response(stored, status=409)
        await self.delete(request.match_info["kind"], stored["metadata"]["name"])
        return web.json_response(stored)
