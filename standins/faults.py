"""Faults that a stand-in can be told to show."""

import asyncio
from collections import deque

import msgspec
from aiohttp import web

__all__ = ["Fault", "Faults"]


class Fault(msgspec.Struct):
    """Describe a fault.

    It shows `times` times (-1: until cleared) after `skip` chances were let pass; a stream shows it
    at event number `after`.
    """

    kind: str
    times: int = 1
    after: int = 0
    skip: int = 0
    path: str = ""
    seconds: float = 0.0


class Faults:
    """Hold the armed faults of one stand-in."""

    __slots__ = ("armed", "thawed")

    def __init__(self):
        self.armed: deque[Fault] = deque()
        self.thawed = asyncio.Event()
        self.thawed.set()

    def arm(self, fault: Fault) -> None:
        """Arm a fault, or clear all."""
        match fault.kind:
            case "clear":
                self.armed.clear()
                self.thawed.set()
            case "freeze":
                self.thawed.clear()
            case _:
                self.armed.append(fault)

    def consume(self, kind: str, path: str = "") -> Fault | None:
        """Use up one showing of a kind of fault, at a path that starts as the fault says."""
        for fault in self.armed:
            if fault.kind == kind and path.startswith(fault.path):
                if fault.skip > 0:
                    fault.skip -= 1
                    return None
                if fault.times > 0:
                    fault.times -= 1
                    if not fault.times:
                        self.armed.remove(fault)
                return fault
        return None

    def add_routes(self, app: web.Application) -> None:
        """Let a test arm faults over HTTP."""
        app.router.add_post("/_fault", self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Arm the fault in the body."""
        self.arm(msgspec.json.decode(await request.read(), type=Fault))
        return web.Response(text="armed\n")


def abort_connection(request: web.Request) -> None:
    """Cut the connection of a request without a word."""
    if request.transport:
        request.transport.abort()


def hang() -> asyncio.Future:
    """Return something that never ends."""
    return asyncio.get_running_loop().create_future()
