"""Faults that tests arm at a stand-in."""

import asyncio
import socket
import struct
from collections import deque

import msgspec
from aiohttp import web

__all__ = ["Fault", "Faults", "abort_connection", "hang", "reset_connection"]

LINGER_NONE = struct.pack("ii", 1, 0)


class Fault(msgspec.Struct):
    """One kind of fault and when it occurs.

    It occurs `times` times (-1: until cleared), after `skip` opportunities have passed; in a
    stream it occurs at event number `after`.
    """

    kind: str
    times: int = 1
    after: int = 0
    skip: int = 0
    path: str = ""
    seconds: float = 0.0


class Faults:
    """Armed faults of one stand-in."""

    __slots__ = ("armed", "thawed")

    def __init__(self):
        self.armed: deque[Fault] = deque()
        self.thawed = asyncio.Event()
        self.thawed.set()

    def arm(self, fault: Fault) -> None:
        """Arm a fault; `freeze` blocks all requests, and `clear` removes every fault."""
        match fault.kind:
            case "clear":
                self.armed.clear()
                self.thawed.set()
            case "freeze":
                self.thawed.clear()
            case _:
                self.armed.append(fault)

    def consume(self, kind: str, path: str = "") -> Fault | None:
        """Return the armed fault of this kind and count one occurrence, or return None.

        A fault with a path applies only to requests whose path starts with it.
        """
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
        """Add the control route by which tests arm faults."""
        app.router.add_post("/_fault", self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Arm the fault in the request body."""
        self.arm(msgspec.json.decode(await request.read(), type=Fault))
        return web.Response(text="armed\n")


def abort_connection(request: web.Request) -> None:
    """Abort the connection of a request without a response."""
    if request.transport:
        request.transport.abort()


def hang() -> asyncio.Future:
    """Return a future that never completes."""
    return asyncio.get_running_loop().create_future()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset, which the other side must not take for its end."""
    connection = writer.get_extra_info("socket")
    is_open = connection is not None and connection.fileno() >= 0
    if is_open:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    writer.transport.abort()
