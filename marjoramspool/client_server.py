"""HTTP server for clients: connections, bodies, answers and a graceful stop."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from aiohttp import web
from multidict import CIMultiDict

from marjoramspool.attempts import StreamAnswer
from marjoramspool.client_connection import ClientConnection
from marjoramspool.events import Event, log
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.outcomes import NotRun, Unknown
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import ClientLimits

__all__ = ["ClientServer", "RejectedError", "check_header_size", "to_multidict"]

# Clients reuse connections that have been idle for most of the idle limit. The timeout is longer so
# that a request does not arrive on a connection that is being closed.
KEEPALIVE_TIMEOUT_S = 300.0
LISTEN_BACKLOG = 1024
CLOSE_TIMEOUT_S = 0.1
IDLE_CHECK_PERIOD_S = 0.05
MAX_HEADER_LINE_BYTES = 65_536
# Bytes of a header line besides name and value: colon, space, CR and LF.
HEADER_OVERHEAD_BYTES = 4


class RejectedError(Exception):
    """The request is rejected before it is forwarded, with a status and a reason."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class ClientServer:
    """Server for clients; tracks the requests in flight so that a shutdown can wait for them.

    `limits` returns the current limits on client requests. Subclasses answer requests in `serve`.
    """

    __slots__ = ("active_connections", "is_draining", "limits", "listener", "server")

    def __init__(self, limits: Callable[[], ClientLimits]):
        self.limits = limits
        self.active_connections: set[asyncio.Protocol] = set()
        self.is_draining = False
        self.server: web.Server | None = None
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for clients."""
        self.server = web.Server(self.handle, handler_cancellation=True)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.create_connection, host, port, backlog=LISTEN_BACKLOG
        )

    def create_connection(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(
            self.server,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            access_log=None,
            header_timeout_s=lambda: self.limits().header_timeout_s,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )

    def refuse_connections(self) -> None:
        """Stop accepting connections, and close those without a request."""
        self.listener.close()
        for connection in self.server.connections:
            if not connection.has_request and connection.transport:
                connection.transport.close()

    async def wait_until_idle(self) -> None:
        """Wait until all requests received so far are answered."""
        while self.active_connections or any(c.has_request for c in self.server.connections):
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)

    async def close(self) -> None:
        """Stop listening and close the remaining connections."""
        if self.listener:
            self.listener.close()
            await self.server.shutdown(CLOSE_TIMEOUT_S)

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; log its rejection, its failure or the disconnect of its client."""
        self.active_connections.add(http_request.protocol)
        request_id = self.request_id(http_request)
        try:
            return await self.serve(http_request, request_id)
        except RejectedError as error:
            log(Event.REQUEST_REJECTED, request=request_id, status=error.status, why=str(error))
            return self.request_close_if_draining(
                web.Response(status=error.status, text=f"{error}\n")
            )
        except asyncio.CancelledError:
            log(Event.CALLER_LEFT, request=request_id)
            raise
        except Exception as error:
            log(Event.TASK_FAILED, task="request", request=request_id, error=repr(error))
            raise
        finally:
            self.active_connections.discard(http_request.protocol)
            # The unread rest of a rejected body must not count as a new request.
            http_request.protocol.has_request = not http_request.content.is_eof()

    def request_id(self, http_request: web.BaseRequest) -> str:
        """Return the id of a request, empty if it has none."""
        raise NotImplementedError

    async def serve(self, http_request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        """Validate a request, forward it and return its answer."""
        raise NotImplementedError

    async def read_body(self, http_request: web.BaseRequest) -> bytes:
        """Read a request body; raise RejectedError if it exceeds the size or time limit."""
        if not http_request.can_read_body:
            return b""
        max_bytes = self.limits().body_bytes
        timeout_s = self.limits().idle_timeout_s
        parts = []
        size = 0
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in http_request.content.iter_any():
                    size += len(chunk)
                    if size > max_bytes:
                        raise RejectedError(413, f"the body is longer than {max_bytes} bytes")
                    parts.append(chunk)
        except TimeoutError as error:
            raise RejectedError(408, f"the body took longer than {timeout_s:g} s") from error
        return b"".join(parts)

    def error_response(self, outcome: NotRun | Unknown, request_id: str) -> web.Response:
        """Log a request that was not served and return the answer to it."""
        problem = outcome.problem
        event = Event.REQUEST_REFUSED if isinstance(outcome, NotRun) else Event.REQUEST_FAILED
        log(event, request=request_id, status=problem.status, why=problem.title)
        response = web.Response(status=problem.status, text=f"{problem.title}\n")
        if problem.retry_after_s is not None and isinstance(outcome, NotRun):
            response.headers["Retry-After"] = f"{problem.retry_after_s:.2f}"
        return self.request_close_if_draining(response)

    def request_close_if_draining(self, response: web.StreamResponse) -> web.StreamResponse:
        """Add `Connection: close` to a response while the router is draining."""
        if self.is_draining:
            response.force_close()
        return response

    async def forward_stream(
        self, http_request: web.BaseRequest, request: RoutedRequest, answer: StreamAnswer
    ) -> web.StreamResponse:
        """Forward events as they arrive; close the connection if the stream breaks off."""
        response = web.StreamResponse(status=answer.status, headers=to_multidict(answer.headers))
        self.request_close_if_draining(response)
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s())), aclosing(answer.events):
                async for event in answer.events:
                    if not response.prepared:
                        await response.prepare(http_request)
                    await response.write(event.raw)
            await response.write_eof()
            # Draining may have started after the headers were sent, which left the connection open.
            self.request_close_if_draining(response)
            log(Event.REQUEST_SERVED, request=request.id, status=answer.status)
        except (BrokenAnswerError, TimeoutError) as error:
            log(Event.REQUEST_FAILED, request=request.id, why=repr(error))
            if http_request.transport:
                http_request.transport.close()
        except ConnectionError:
            log(Event.CALLER_LEFT, request=request.id)
        return response


def check_header_size(http_request: web.BaseRequest, max_bytes: int) -> None:
    """Raise RejectedError if the headers of a request are longer than `max_bytes` bytes."""
    size = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in http_request.raw_headers
    )
    if size > max_bytes:
        raise RejectedError(431, f"the headers have {size} bytes, more than {max_bytes}")


def to_multidict(headers: list[tuple[str, str]]) -> CIMultiDict:
    """Return headers as the multidict that aiohttp expects."""
    return CIMultiDict(headers)
