"""Listening address for clients, whose connections share the budget of the process."""

import asyncio
import socket
import ssl
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from functools import partial

from aiohttp import web

from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.admission.connection_expiry import Expiry, connection_expiry, record_unsent
from marjoramspool.admission.connection_records import ConnectionRecord
from marjoramspool.client_connection import (
    CONNECTION_BYTES,
    ClientConnection,
    ConnectionLimits,
)
from marjoramspool.events import Event, log

__all__ = ["PAGE_CONNECTIONS", "ClientListener", "serve_application"]

LISTEN_BACKLOG = 1024
# Connections accepted before any of them is counted.
ACCEPTS_AT_A_TIME = 32
# Bytes that the kernel receives ahead on a connection; it doubles this for its own overhead.
RECEIVE_BUFFER_BYTES = 32 << 10
CLOSE_TIMEOUT_S = 0.1
# Idle connections are closed by the regular check, sooner than by the library.
UNUSED_KEEPALIVE_S = 3600.0
CHECK_PERIOD_S = 0.5
# Connections of a page that is not for clients, such as the readiness probe.
PAGE_CONNECTIONS = 32
PAGE_HEADER_BYTES = 16_384
PAGE_HEADER_TIMEOUT_S = 3.0
PAGE_LINGER_S = 0.5
PAGE_RESERVED_BYTES = 64 << 10
PAGE_LIMITS = ConnectionLimits(lambda: PAGE_HEADER_BYTES, lambda: PAGE_HEADER_TIMEOUT_S)
TLS_HANDSHAKE_TIMEOUT_S = 3.0
TLS_SHUTDOWN_TIMEOUT_S = 1.0
# The TLS layer of the standard library has a read buffer of 256 KiB.
TLS_CONNECTION_BYTES = 320 << 10
ACCEPT_RETRY_S = 0.05


class ClientListener:
    """Listener of one address; `group` names it in logs, and shares `max_connections`.

    `server` handles the requests of its connections. Each connection may hold `reserved_bytes`
    also while all memory for clients is taken.
    """

    __slots__ = (
        "budget",
        "group",
        "limits",
        "linger_s",
        "listener",
        "max_connections",
        "reserved_bytes",
        "server",
        "stack",
        "tasks",
        "tls",
    )

    def __init__(
        self,
        server: web.Server,
        budget: ClientBudget,
        group: str,
        max_connections: int,
        limits: ConnectionLimits = PAGE_LIMITS,
        linger_s: float = PAGE_LINGER_S,
        reserved_bytes: int = PAGE_RESERVED_BYTES,
    ):
        self.server = server
        self.reserved_bytes = reserved_bytes
        self.budget = budget
        self.group = group
        self.max_connections = max_connections
        self.limits = limits
        self.linger_s = linger_s
        self.tls: ssl.SSLContext | None = None
        self.listener: asyncio.Server | socket.socket | None = None
        self.tasks: set[asyncio.Task] = set()
        self.stack = ExitStack()

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Listen on an address."""
        self.tls = tls
        listening = self.stack.enter_context(listening_socket(host, port))
        self.start_task(self.check_connections())
        if tls:
            listening.listen(LISTEN_BACKLOG)
            self.listener = listening
            self.start_task(self.accept_tls(listening))
            return
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.create_connection, sock=listening, backlog=ACCEPTS_AT_A_TIME
        )
        # The event loop takes one figure for both.
        listening.listen(LISTEN_BACKLOG)

    def start_task(self, work) -> asyncio.Task:
        """Start a task that ends with the listener."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.listener:
            self.listener.close()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        self.stop_listening()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.shutdown(CLOSE_TIMEOUT_S)
        for record in self.open_records():
            record.evict()
        self.stack.close()

    def open_records(self) -> list[ConnectionRecord]:
        """Return the records of the connections that are open."""
        return list(self.budget.records.get(self.group, ()))

    def create_connection(self) -> asyncio.Protocol:
        """Return the protocol of a new connection, which is closed at once without room."""
        record = self.budget.open(
            self.group, CONNECTION_BYTES, self.max_connections, self.reserved_bytes
        )
        return ClosedConnection() if record is None else self.new_connection(record)

    def new_connection(self, record: ConnectionRecord) -> ClientConnection:
        """Return the protocol of a connection that has room."""
        return ClientConnection(
            self.server,
            loop=asyncio.get_running_loop(),
            budget=self.budget,
            record=record,
            limits=self.limits,
            keepalive_timeout=UNUSED_KEEPALIVE_S,
            lingering_time=self.linger_s,
        )

    async def accept_tls(self, listening: socket.socket) -> None:
        """Accept connections that begin with a TLS handshake."""
        loop = asyncio.get_running_loop()
        while True:
            # Accepting does not wait while others have connected, and would close none.
            await asyncio.sleep(0)
            try:
                accepted, _ = await loop.sock_accept(listening)
            except OSError as error:
                log(Event.TASK_FAILED, task="accept", error=repr(error))
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            record = self.budget.open(self.group, TLS_CONNECTION_BYTES, self.max_connections)
            if record is None:
                accepted.close()
                continue
            connection = self.new_connection(record)
            task = self.start_task(self.open_tls(accepted, connection))
            record.evict = record.abort = task.cancel
            task.add_done_callback(partial(self.end_handshake, accepted, record))

    async def open_tls(self, accepted: socket.socket, connection: ClientConnection) -> None:
        """Complete a handshake, which an eviction cancels."""
        await asyncio.get_running_loop().connect_accepted_socket(
            lambda: connection,
            accepted,
            ssl=self.tls,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S,
            ssl_shutdown_timeout=TLS_SHUTDOWN_TIMEOUT_S,
        )
        connection.record.evict = connection.evict
        connection.record.abort = connection.abort

    def end_handshake(
        self, accepted: socket.socket, record: ConnectionRecord, task: asyncio.Task
    ) -> None:
        """Close a connection whose handshake failed or was cancelled, perhaps before it began."""
        if not task.cancelled() and task.exception() is None:
            return
        why = "evicted" if task.cancelled() else repr(task.exception())
        log(Event.CLIENT_REFUSED, shortage="handshake", why=why)
        self.budget.close(record)
        accepted.close()

    async def check_connections(self) -> None:
        """Close connections that clients have left, all the while."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            for record in self.open_records():
                self.check_connection(record)

    def check_connection(self, record: ConnectionRecord) -> None:
        """Close a connection that was idle, or whose answer was unread, for too long."""
        moment = self.budget.clock()
        record_unsent(record, record.unsent_bytes(), moment)
        match connection_expiry(record, moment, self.budget.idle_timeout_s()):
            case None:
                return
            case Expiry.IDLE as expiry:
                record.evict()
            case expiry:
                record.abort()
        log(Event.CLIENT_EXPIRED, why=expiry.value, phase=record.phase.value)
        self.budget.metrics.count(f"clients_expired.{expiry.value}")


@asynccontextmanager
async def serve_application(
    app: web.Application,
    budget: ClientBudget,
    group: str,
    max_connections: int,
    address: tuple[str, int],
    limits: ConnectionLimits = PAGE_LIMITS,
    linger_s: float = PAGE_LINGER_S,
    reserved_bytes: int = PAGE_RESERVED_BYTES,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[None]:
    """Serve an application at the host and port of `address`."""
    async with AsyncExitStack() as stack:
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        listener = ClientListener(runner.server, budget, group, max_connections, limits, linger_s)
        stack.push_async_callback(listener.close)
        await listener.start(*address, tls)
        yield


class ClosedConnection(asyncio.Protocol):
    """Connection for which there is no room; it is closed without having been read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.abort()


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections have small receive buffers."""
    with ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.setblocking(False)
        listening.bind((host, port))
        stack.pop_all()
    return listening
