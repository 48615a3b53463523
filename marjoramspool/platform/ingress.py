"""Server side of the router: receives client requests and sends answers."""

import asyncio
from contextlib import aclosing

from aiohttp import web
from multidict import CIMultiDict

from marjoramspool.attempts import StreamAnswer, WholeAnswer
from marjoramspool.client_connection import ClientConnection
from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.forwarding import Forwarding
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.platform.headers import (
    filter_request_headers,
    parse_first_request,
    parse_last_event,
    parse_prompt,
)
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import ClientAccount, ClientLimits, RouteKind, RouteTable
from marjoramspool.startup_wait import StartupWait
from marjoramspool.store_watchers import RouteTableWatcher

__all__ = ["Ingress"]

MS = 1000.0
NO_TABLE_RETRY_AFTER_S = 1.0
# Timeout assumed for a client that sends no deadline, while no route table is known.
DEFAULT_CLIENT_TIMEOUT_S = 3.0
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


class Ingress:
    """Server for clients; tracks the requests in flight so that a shutdown can wait for them."""

    __slots__ = (
        "active_connections",
        "startup_wait",
        "forwarding",
        "is_draining",
        "listener",
        "server",
        "table_watcher",
    )

    def __init__(
        self, forwarding: Forwarding, table_watcher: RouteTableWatcher, startup_wait: StartupWait
    ):
        self.forwarding = forwarding
        self.table_watcher = table_watcher
        self.startup_wait = startup_wait
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
            header_timeout_s=lambda: self.limits.header_timeout_s,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )

    @property
    def limits(self) -> ClientLimits:
        """Return the current limits on client requests, defaults while no route table is known."""
        return self.table_watcher.table.limits if self.table_watcher.table else ClientLimits()

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
        request_id = http_request.headers.get("X-Request-Id", "")
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

    async def serve(self, http_request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        """Validate a request, forward it and return its answer."""
        received = now()
        http_request.protocol.record_complete_headers()
        check_header_size(http_request, self.limits.header_bytes)
        body = await self.read_body(http_request)
        await self.startup_wait.wait(client_timeout_s(http_request, DEFAULT_CLIENT_TIMEOUT_S))
        table = self.table_watcher.table
        if table is None:
            problem = Problem(
                503, "route table not loaded yet", "retry the request", NO_TABLE_RETRY_AFTER_S
            )
            return self.error_response(NotRun(problem), request_id)
        request = route_request(http_request, body, request_id, table, received)
        async with self.forwarding.serve(request) as outcome:
            match outcome:
                case StreamAnswer():
                    return await self.forward_stream(http_request, request, outcome)
                case WholeAnswer(status, headers, content):
                    log(Event.REQUEST_SERVED, request=request_id, status=status)
                    return self.request_close_if_draining(
                        web.Response(status=status, headers=to_multidict(headers), body=content)
                    )
                case _:
                    return self.error_response(outcome, request_id)

    async def read_body(self, http_request: web.BaseRequest) -> bytes:
        """Read a request body; raise RejectedError if it exceeds the size or time limit."""
        if not http_request.can_read_body:
            return b""
        max_bytes = self.limits.body_bytes
        timeout_s = self.limits.idle_timeout_s
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


def route_request(
    http_request: web.BaseRequest, body: bytes, request_id: str, table: RouteTable, received: float
) -> RoutedRequest:
    """Return the request with its route and account; raise RejectedError."""
    host = http_request.headers.get("Host", "")
    route = table.match(host, http_request.raw_path.partition("?")[0])
    if route is None:
        raise RejectedError(404, f"no route of version {table.version} matches")
    account = authenticate(http_request, table, route.is_public)
    timeout_s = min(client_timeout_s(http_request, route.timeout_s), route.timeout_s)
    headers = http_request.headers
    is_stream = route.kind is RouteKind.STREAMING
    after_event, first_request = parse_resumption(http_request) if is_stream else (None, None)
    return RoutedRequest(
        id=request_id,
        route=route,
        # A stream goes on at the service that its first request was drawn for.
        service=route.select_service(first_request or request_id),
        account=account,
        method=http_request.method,
        path=http_request.raw_path,
        headers=filter_request_headers(headers.items()),
        body=body,
        received=received,
        deadline=received + timeout_s,
        prompt=parse_prompt(
            headers.get("X-Model"), headers.get("X-Token-Count"), headers.get("X-Prompt-Prefix")
        ),
        after_event=after_event,
        first_request=first_request,
    )


def parse_resumption(http_request: web.BaseRequest) -> tuple[int | None, str | None]:
    """Return the last event that a caller has, and the request that brought the first one.

    Both are None for a new stream; raise RejectedError if one is malformed.
    """
    headers = http_request.headers
    try:
        return (
            parse_last_event(headers.get("Last-Event-Id")),
            parse_first_request(headers.getall("Resumes", [])),
        )
    except ValueError as error:
        raise RejectedError(400, str(error)) from error


def check_header_size(http_request: web.BaseRequest, max_bytes: int) -> None:
    """Raise RejectedError if the headers of a request are longer than `max_bytes` bytes."""
    size = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in http_request.raw_headers
    )
    if size > max_bytes:
        raise RejectedError(431, f"the headers have {size} bytes, more than {max_bytes}")


def authenticate(
    http_request: web.BaseRequest, table: RouteTable, is_public: bool
) -> ClientAccount | None:
    """Return the client account of the API key.

    Return None if the table has no accounts, or the key is unknown and the route public; raise
    RejectedError if the key is unknown on another route.
    """
    if table.accounts is None:
        return None
    account = table.accounts.get(http_request.headers.get("Api-Key", ""))
    if account is None and not is_public:
        raise RejectedError(401, f"no account of version {table.version} has the key")
    return account


def client_timeout_s(http_request: web.BaseRequest, default_s: float) -> float:
    """Return the timeout that a client sent, `default_s` if it sent none or a malformed one."""
    try:
        return max(0.0, float(http_request.headers["X-Request-Deadline-Ms"]) / MS)
    except (KeyError, ValueError):
        return default_s


def to_multidict(headers: list[tuple[str, str]]) -> CIMultiDict:
    """Return headers as the multidict that aiohttp expects."""
    return CIMultiDict(headers)
