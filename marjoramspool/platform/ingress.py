"""Serving clients: requests in, answers out."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from aiohttp import web
from multidict import CIMultiDict

from marjoramspool.attempts import StreamAnswer, WholeAnswer
from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.forwarding import Forwarding
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.platform.headers import pass_on, read_prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import ClientAccount, ClientLimits, RouteKind, RouteTable
from marjoramspool.startup_wait import StartupWait
from marjoramspool.store_watchers import RouteTableWatcher

__all__ = ["Ingress"]

MS = 1000.0
NO_TABLE_RETRY_S = 1.0
# What a client is taken to wait that does not say so, while no routes are known.
NO_TABLE_WAIT_S = 3.0
# Clients reuse connections that were idle for most of the limit; none may meet a close.
KEEPALIVE_S = 300.0
BACKLOG = 1024
CLOSE_S = 0.1
FINISH_CHECK_S = 0.05
LARGEST_HEADERS_BYTES = 65_536
# A name, a colon, a space, a value, and the end of the line.
HEADER_EXTRA_BYTES = 4
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class RejectedError(Exception):
    """Report a request that is not allowed as it came."""

    def __init__(self, status: int, why: str):
        super().__init__(why)
        self.status = status


class ClientConnection(web.RequestHandler):
    """Know whether bytes of a request have come that are not answered yet, and bound its head."""

    __slots__ = ("has_request", "head_s", "head_timer")

    def __init__(self, *args, head_s: Callable[[], float], **kwargs):
        super().__init__(*args, **kwargs)
        self.head_s = head_s
        self.has_request = False
        self.head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Note that a request has begun; its head must come within its time."""
        if not self.has_request:
            self.has_request = True
            wait_s = self.head_s()
            self.head_timer = self._loop.call_later(wait_s, self.cut_head, wait_s)
        super().data_received(data)

    def head_has_come(self) -> None:
        """Note that the head of a request is complete, also of one sent behind another."""
        self.has_request = True
        self.head_timer.cancel()

    def cut_head(self, wait_s: float) -> None:
        """Turn a client away whose head did not come in time."""
        log(
            Event.REQUEST_REJECTED, request="", status=408, why=f"no whole head within {wait_s:g} s"
        )
        if self.transport:
            self.transport.write(HEAD_TOO_SLOW)
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the clock of a head that will not come."""
        if self.head_timer:
            self.head_timer.cancel()
        super().connection_lost(exc)


class Ingress:
    """Serve clients, and count what is in flight so that a stop can wait for it."""

    __slots__ = (
        "busy",
        "startup_wait",
        "forwarding",
        "is_stopping",
        "listener",
        "server",
        "tables",
    )

    def __init__(
        self, forwarding: Forwarding, tables: RouteTableWatcher, startup_wait: StartupWait
    ):
        self.forwarding = forwarding
        self.tables = tables
        self.startup_wait = startup_wait
        self.busy: set[asyncio.Protocol] = set()
        self.is_stopping = False
        self.server: web.Server | None = None
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for clients."""
        self.server = web.Server(self.handle, handler_cancellation=True)
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.connection, host, port, backlog=BACKLOG)

    def connection(self) -> ClientConnection:
        """Return what serves a new connection."""
        return ClientConnection(
            self.server,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            access_log=None,
            head_s=lambda: self.limits.header_timeout_s,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=LARGEST_HEADERS_BYTES,
            max_field_size=LARGEST_HEADERS_BYTES,
        )

    @property
    def limits(self) -> ClientLimits:
        """Return what bounds clients now."""
        return self.tables.table.limits if self.tables.table else ClientLimits()

    def refuse_connections(self) -> None:
        """Take no new connections, and close those on which no request has begun."""
        self.listener.close()
        for connection in self.server.connections:
            if not connection.has_request and connection.transport:
                connection.transport.close()

    async def finish_all(self) -> None:
        """Wait until every request that has begun is answered."""
        while self.busy or any(c.has_request for c in self.server.connections):
            await asyncio.sleep(FINISH_CHECK_S)

    async def close(self) -> None:
        """Stop listening and close what is left."""
        if self.listener:
            self.listener.close()
            await self.server.shutdown(CLOSE_S)

    async def handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.busy.add(raw.protocol)
        name = raw.headers.get("X-Request-Id", "")
        try:
            return await self.serve(raw, name)
        except RejectedError as error:
            log(Event.REQUEST_REJECTED, request=name, status=error.status, why=str(error))
            return self.finish(web.Response(status=error.status, text=f"{error}\n"))
        except asyncio.CancelledError:
            log(Event.CALLER_LEFT, request=name)
            raise
        except Exception as error:
            log(Event.TASK_FAILED, task="request", request=name, error=repr(error))
            raise
        finally:
            self.busy.discard(raw.protocol)
            # What is left of a body that was turned away is no new request.
            raw.protocol.has_request = not raw.content.is_eof()

    async def serve(self, raw: web.BaseRequest, name: str) -> web.StreamResponse:
        """Check a request, forward it and pass its answer back."""
        received = now()
        raw.protocol.head_has_come()
        check_head(raw, self.limits.header_bytes)
        body = await self.read_body(raw)
        await self.startup_wait.wait(wait_of(raw, NO_TABLE_WAIT_S))
        table = self.tables.table
        if table is None:
            problem = Problem(503, "no routes are known yet", "send it again", NO_TABLE_RETRY_S)
            return self.refuse(NotRun(problem), name)
        request = checked(raw, body, name, table, received)
        async with self.forwarding.serve(request) as outcome:
            match outcome:
                case StreamAnswer():
                    return await self.pass_stream(raw, request, outcome)
                case WholeAnswer(status, headers, content):
                    log(Event.REQUEST_SERVED, request=name, status=status)
                    return self.finish(
                        web.Response(status=status, headers=as_multi(headers), body=content)
                    )
                case _:
                    return self.refuse(outcome, name)

    async def read_body(self, raw: web.BaseRequest) -> bytes:
        """Read a client's body within its bounds of size and time."""
        if not raw.can_read_body:
            return b""
        most = self.limits.body_bytes
        wait_s = self.limits.idle_timeout_s
        parts = []
        size = 0
        try:
            async with asyncio.timeout(wait_s):
                async for chunk in raw.content.iter_any():
                    size += len(chunk)
                    if size > most:
                        raise RejectedError(413, f"the body is longer than {most} bytes")
                    parts.append(chunk)
        except TimeoutError as error:
            raise RejectedError(408, f"the body took longer than {wait_s:g} s") from error
        return b"".join(parts)

    def refuse(self, outcome: NotRun | Unknown, name: str) -> web.Response:
        """Return the answer to a request that was not served."""
        problem = outcome.problem
        event = Event.REQUEST_REFUSED if isinstance(outcome, NotRun) else Event.REQUEST_FAILED
        log(event, request=name, status=problem.status, why=problem.title)
        response = web.Response(status=problem.status, text=f"{problem.title}\n")
        if problem.retry_after_s is not None and isinstance(outcome, NotRun):
            response.headers["Retry-After"] = f"{problem.retry_after_s:.2f}"
        return self.finish(response)

    def finish(self, response: web.StreamResponse) -> web.StreamResponse:
        """Ask the client to close its connection if this host is stopping."""
        if self.is_stopping:
            response.force_close()
        return response

    async def pass_stream(
        self, raw: web.BaseRequest, request: RoutedRequest, answer: StreamAnswer
    ) -> web.StreamResponse:
        """Pass events on as they come; break the transfer off if they break off."""
        response = web.StreamResponse(status=answer.status, headers=as_multi(answer.headers))
        self.finish(response)
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s())), aclosing(answer.events):
                async for event in answer.events:
                    if not response.prepared:
                        await response.prepare(raw)
                    await response.write(event.raw)
            await response.write_eof()
            # The stop may have begun after the head was sent, with its word to keep the connection.
            self.finish(response)
            log(Event.REQUEST_SERVED, request=request.id, status=answer.status)
        except (BrokenAnswerError, TimeoutError) as error:
            log(Event.REQUEST_FAILED, request=request.id, why=repr(error))
            if raw.transport:
                raw.transport.close()
        except ConnectionError:
            log(Event.CALLER_LEFT, request=request.id)
        return response


def checked(
    raw: web.BaseRequest, body: bytes, name: str, table: RouteTable, received: float
) -> RoutedRequest:
    """Return a checked request; raise RejectedError."""
    host = raw.headers.get("Host", "")
    route = table.match(host, raw.raw_path.partition("?")[0])
    if route is None:
        raise RejectedError(404, f"no route of version {table.version} matches")
    account = account_of(raw, table, route.is_public)
    wait_s = min(wait_of(raw, route.timeout_s), route.timeout_s)
    headers = raw.headers
    is_stream = route.kind is RouteKind.STREAMING
    last_event = headers.get("Last-Event-Id", "")
    return RoutedRequest(
        id=name,
        route=route,
        service=route.select_service(name),
        account=account,
        method=raw.method,
        path=raw.raw_path,
        headers=pass_on(headers.items()),
        body=body,
        received=received,
        deadline=received + wait_s,
        prompt=read_prompt(
            headers.get("X-Model"), headers.get("X-Token-Count"), headers.get("X-Prompt-Prefix")
        ),
        after_event=int(last_event) if is_stream and last_event.isdigit() else None,
    )


def check_head(raw: web.BaseRequest, most: int) -> None:
    """Raise RejectedError if the headers of a request are longer than `most` bytes."""
    size = sum(len(name) + len(value) + HEADER_EXTRA_BYTES for name, value in raw.raw_headers)
    if size > most:
        raise RejectedError(431, f"the headers have {size} bytes, more than {most}")


def account_of(raw: web.BaseRequest, table: RouteTable, is_public: bool) -> ClientAccount | None:
    """Return the account of a request's key; raise RejectedError if it has none."""
    if table.accounts is None:
        return None
    account = table.accounts.get(raw.headers.get("Api-Key", ""))
    if account is None and not is_public:
        raise RejectedError(401, f"no account of version {table.version} has the key")
    return account


def wait_of(raw: web.BaseRequest, default_s: float) -> float:
    """Return how long a client waits, in seconds."""
    try:
        return max(0.0, float(raw.headers["X-Request-Deadline-Ms"]) / MS)
    except (KeyError, ValueError):
        return default_s


def as_multi(headers: list[tuple[str, str]]) -> CIMultiDict:
    """Return headers in the form that the server wants."""
    return CIMultiDict(headers)
