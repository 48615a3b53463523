"""Client side of the router: sends requests to engines and reads their answers."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

import aiohttp
import msgspec
from yarl import URL

from marjoramspool.answer_bodies import (
    AnswerMemory,
    read_body,
    read_events,
    read_success,
)
from marjoramspool.answer_grammar import MalformedAnswerError
from marjoramspool.attempts import (
    SUCCESS_STATUSES,
    Attempt,
    MoveAnswer,
    RunState,
    StreamAnswer,
    WholeAnswer,
)
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.reported_speed import LoadFigures
from marjoramspool.events import Event, log
from marjoramspool.failure_causes import describe_cause
from marjoramspool.failures import (
    DisplacedError,
    MayHaveRunError,
    NotSentError,
    ResetError,
)
from marjoramspool.http import (
    LimitCallback,
    can_connect,
    is_refusing_connections,
    new_session,
    report_limit,
)
from marjoramspool.keepalive import keepalive_socket
from marjoramspool.malformed_notices import MalformedNotices
from marjoramspool.platform.answer_checks import (
    check_content,
    check_executed,
    check_identity,
    requested_pause_s,
)
from marjoramspool.platform.cold_times import read_cold_time
from marjoramspool.platform.headers import filter_answer_headers, parse_load
from marjoramspool.prompts import Part
from marjoramspool.requests import RoutedRequest
from marjoramspool.untrusted_json import decode_json

__all__ = ["EngineSessions"]

MS = 1000.0
CONNECT_TIMEOUT_S = 0.4
POOL_IDLE_TIMEOUT_S = 3.0
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
CACHE_LIST_PATH = "/marjoramspool/kv-list"
CACHE_LIST_TIMEOUT_S = 1.0
REPORT_PATH = "/marjoramspool/report"
MOVE_PATH = "/marjoramspool/kv-move"
JSON_HEADERS = {"Content-Type": "application/json"}
REPORT_TIMEOUT_S = 0.4
# Short, since a broken stream waits for the result.
RUN_REPORT_TIMEOUT_S = 0.15
PROBE_TIMEOUT_S = 0.4
LOAD_HEADER = "X-Server-Load"
SSE = "text/event-stream"


class ListFields(msgspec.Struct, frozen=True):
    """Cache listing of an engine."""

    # Each entry is an empty string, the hexadecimal id of the part, its tokens and the model.
    held: list[tuple[str, str, int, str]]


class ReportFields(msgspec.Struct, frozen=True):
    """What an engine says of itself; other fields are not decoded."""

    # Start time in Unix milliseconds, as in its registration.
    born: int = 0


class RunsFields(msgspec.Struct, frozen=True):
    """Runs in the report of an engine."""

    # Each entry begins with the id of the request; None where engines do not list them.
    runs: list[tuple[str, int, int, int]] | None = None
    # Requests that wait; a run that was preempted is one of them and is not listed.
    queued: int = 0


class MoveFields(msgspec.Struct, frozen=True):
    """Answer of an engine that was asked to move a run."""

    handle: str | None = None
    create_revision: int | None = None


class EngineSessions:
    """HTTP sessions to engines; use as an async context manager.

    `pooled` reuses connections, `fresh` opens a new one for each request. Answers in which an
    engine announces its departure call `on_departure`; refusals that ask for a pause call
    `on_pause` with its length in seconds; every answer calls `on_brittle` with whether its engine
    says that it is; a kept connection that an engine closes calls `on_idle_closed` with the
    engine's address; answers and probes that tell an engine's load call `on_load` with it; answers
    that tell a rate limit, or that there is none, call `on_limit` with the engine's key, the limit
    or None, and when the request was sent; answers that tell for how long their engine is cold call
    `on_cold` with the seconds and when the request was sent.
    """

    __slots__ = (
        "fresh",
        "local_address",
        "malformed",
        "memory",
        "on_brittle",
        "on_cold",
        "on_departure",
        "on_idle_closed",
        "on_limit",
        "on_load",
        "on_pause",
        "pooled",
    )

    def __init__(self, local_address: str | None = None, memory: AnswerMemory | None = None):
        self.local_address = local_address
        self.malformed = MalformedNotices()
        self.memory = memory or AnswerMemory()
        self.on_brittle: list[Callable[[Engine, bool], None]] = []
        self.on_cold: list[Callable[[Engine, float, float], None]] = []
        self.on_departure: list[Callable[[Engine], None]] = []
        self.on_idle_closed: list[Callable[[str], None]] = []
        self.on_pause: list[Callable[[Engine, float], None]] = []
        self.on_limit: list[LimitCallback] = []
        self.on_load: list[Callable[[Engine, LoadFigures], None]] = []

    async def __aenter__(self):
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(record_connection_reuse)
        self.pooled = self.new_session(
            idle_timeout_s=POOL_IDLE_TIMEOUT_S, on_idle_closed=self.report_idle_closed
        )
        self.pooled.trace_configs.append(trace)
        trace.freeze()
        self.fresh = self.new_session(keep_alive=False)
        return self

    async def __aexit__(self, *details):
        await self.pooled.close()
        await self.fresh.close()

    def report_idle_closed(self, address: str) -> None:
        """Report that an engine closed a connection that could have been used again."""
        for call in self.on_idle_closed:
            call(address)

    def new_session(self, **options) -> aiohttp.ClientSession:
        """Open a session to engines, from the address by which they know this host."""
        return new_session(
            CONNECT_TIMEOUT_S,
            socket_factory=keepalive_socket,
            local_address=self.local_address,
            **options,
        )

    @asynccontextmanager
    async def open(self, request: RoutedRequest, attempt: Attempt):
        """Send an attempt and yield its answer; raise as attempts.EngineClient documents."""
        engine = attempt.engine
        context = SimpleNamespace(is_reused=False)
        headers = request_headers(request, attempt)
        sent_at = now()
        async with AsyncExitStack() as stack:
            # A reused connection may break while a request is written, which leaves open whether it
            # ran, so non-retryable requests use a new connection.
            session = self.pooled if request.route.is_retryable else self.fresh
            is_resumed = request.is_resumption or attempt.after_event is not None
            if (is_resumed or attempt.is_doubted) and engine.started_ms:
                session = await self.open_verified(engine, stack)
                context.is_reused = True
            response = await self.send(request, engine, session, headers, context)
            stack.callback(response.close)
            check_identity(request, engine, response, context.is_reused)
            answer = await self.read_answer(response)
            check_content(engine, response)
            self.read_notices(engine, response, sent_at)
            check_executed(engine, response)
            yield answer

    async def read_answer(self, response: aiohttp.ClientResponse) -> WholeAnswer | StreamAnswer:
        """Return a stream, or an answer once it is whole: what it says is not believed before."""
        headers = answer_headers(response)
        if response.status in SUCCESS_STATUSES and response.content_type == SSE:
            is_delimited = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
            return StreamAnswer(response.status, headers, read_events(response), is_delimited)
        body = await read_body(response, self.memory)
        return WholeAnswer(response.status, headers, body)

    async def open_verified(self, engine: Engine, stack: AsyncExitStack) -> aiohttp.ClientSession:
        """Open a session of one connection, at whose end the registered incarnation answers.

        Fault: an engine has started again under its id, maybe with other software, and the list
        of engines does not know it yet. Raise NotSentError or DisplacedError.
        """
        session = self.new_session(max_connections=1)
        await stack.enter_async_context(session)
        url = f"http://{engine.address}{REPORT_PATH}"
        try:
            async with (
                asyncio.timeout(REPORT_TIMEOUT_S),
                session.get(url, allow_redirects=False) as response,
            ):
                body = await read_success(response, self.memory)
            started_ms = decode_json(body, ReportFields).born
        except (aiohttp.ClientError, MayHaveRunError, OSError, TimeoutError, ValueError) as error:
            why = f"engine {engine.id} sent no report: {describe_cause(error)}"
            raise NotSentError(why) from error
        if started_ms != engine.started_ms:
            raise DisplacedError(f"engine {engine.id} has started again")
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(refuse_connection)
        trace.freeze()
        session.trace_configs.append(trace)
        return session

    def read_notices(
        self, engine: Engine, response: aiohttp.ClientResponse, sent_at: float
    ) -> None:
        """Pass on what an engine says of itself beside its answer."""
        report_limit(response, engine.key, sent_at, self.on_limit, "Server-Limit")
        cold_s = read_cold_time(engine.id, response.headers.get("X-Cold-Ms"))
        if cold_s is not None:
            for call in self.on_cold:
                call(engine, cold_s, sent_at)
        if response.headers.get("Server-Leaving") == "1":
            for call in self.on_departure:
                call(engine)
        for call in self.on_brittle:
            call(engine, "Server-Brittle" in response.headers)
        self.read_load(engine, response)
        pause_s = requested_pause_s(engine, response)
        if pause_s > 0.0:
            for call in self.on_pause:
                call(engine, pause_s)

    def read_load(self, engine: Engine, response: aiohttp.ClientResponse) -> None:
        """Pass on the load that an engine tells."""
        text = response.headers.get(LOAD_HEADER)
        if text is None:
            return
        try:
            load = parse_load(text)
        except ValueError as error:
            self.malformed.record(engine.id, str(error))
            return
        for call in self.on_load:
            call(engine, load)

    async def probe_speed(self, engine: Engine, path: str) -> None:
        """Ask an engine for its load at the health path of its service."""
        url = URL(f"http://{engine.address}{path}", encoded=True)
        headers = {"X-Expect-Instance": engine.id}
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT_S),
                self.pooled.get(url, headers=headers, allow_redirects=False) as response,
            ):
                await read_body(response, self.memory)
                if response.status in SUCCESS_STATUSES:
                    self.read_load(engine, response)
        except (aiohttp.ClientError, MayHaveRunError, OSError, TimeoutError, ValueError) as error:
            log(Event.ATTEMPT_FAILED, target=engine.id, why=f"probe failed: {error!r}")

    async def list_cache(self, engine: Engine) -> tuple[Part, ...] | None:
        """Return the prompt parts in an engine's cache, None if the listing fails."""
        url = f"http://{engine.address}{CACHE_LIST_PATH}"
        try:
            async with (
                asyncio.timeout(CACHE_LIST_TIMEOUT_S),
                self.pooled.get(url, allow_redirects=False) as response,
            ):
                body = await read_success(response, self.memory)
            entries = decode_json(body, ListFields).held
            return tuple(Part(int(name, 16), tokens) for _, name, tokens, _ in entries)
        except (
            aiohttp.ClientError,
            MayHaveRunError,
            OSError,
            TimeoutError,
            ValueError,
        ) as error:
            log(Event.ATTEMPT_FAILED, target=engine.id, why=f"cache listing failed: {error!r}")
            return None

    async def has_ended(self, engine: Engine) -> bool:
        """Return whether an engine refuses connections, as after the end of its process."""
        return await is_refusing_connections(engine.address)

    async def run_state(self, engine: Engine, request_id: str) -> RunState:
        """Return what the present report of an engine says of the run of a request.

        Only a refused connection shows that the process has ended; other errors may be of this
        host.
        """
        url = f"http://{engine.address}{REPORT_PATH}"
        try:
            async with (
                asyncio.timeout(RUN_REPORT_TIMEOUT_S),
                self.fresh.get(url, allow_redirects=False) as response,
            ):
                body = await read_body(response, self.memory)
            if response.status != HTTP_OK:
                return RunState.UNKNOWN
            report = decode_json(body, RunsFields)
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError)
            return RunState.REFUSED if is_refused else RunState.UNKNOWN
        except (aiohttp.ClientError, MayHaveRunError, OSError, TimeoutError, ValueError):
            return RunState.UNKNOWN
        if report.runs is None:
            return RunState.UNKNOWN
        if any(run_id == request_id for run_id, *_ in report.runs):
            return RunState.AT_WORK
        return RunState.UNKNOWN if report.queued else RunState.UNLISTED

    async def move_run(
        self, source: Engine, destination: Engine, request_id: str, timeout_s: float
    ) -> MoveAnswer:
        """Stop a run and move its memory to another engine."""
        url = f"http://{source.address}{MOVE_PATH}"
        body = msgspec.json.encode({"id": request_id, "to": destination.address, "last": True})
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.fresh.post(
                    url, data=body, headers=JSON_HEADERS, allow_redirects=False
                ) as response,
            ):
                content = await read_body(response, self.memory)
            if response.status not in (HTTP_OK, HTTP_UNAVAILABLE):
                return MoveAnswer()
            fields = decode_json(content, MoveFields)
        except (
            aiohttp.ClientError,
            MayHaveRunError,
            OSError,
            TimeoutError,
            ValueError,
        ) as error:
            log(Event.ATTEMPT_FAILED, request=request_id, target=source.id, why=f"{error!r}")
            return MoveAnswer()
        return MoveAnswer(fields.handle, response.status == HTTP_OK, fields.create_revision)

    async def can_connect(self, engine: Engine, timeout_s: float) -> bool:
        """Return whether an engine accepts a new connection within some seconds."""
        return await can_connect(engine.address, timeout_s, self.local_address)

    async def send(
        self,
        request: RoutedRequest,
        engine: Engine,
        session: aiohttp.ClientSession,
        headers: list[tuple[str, str]],
        context: SimpleNamespace,
    ) -> aiohttp.ClientResponse:
        """Send an attempt and return the response once its headers are received."""
        try:
            return await session.request(
                request.method,
                URL(f"http://{engine.address}{request.path}", encoded=True),
                data=request.body or None,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=context,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            why = f"no connection to engine {engine.id}: {describe_cause(error)}"
            raise NotSentError(why) from error
        except (aiohttp.ClientError, OSError) as error:
            why = f"engine {engine.id} gave no answer: {describe_cause(error)}"
            is_unreadable = isinstance(error, MalformedAnswerError | aiohttp.ClientResponseError)
            error_class = MayHaveRunError if is_unreadable else ResetError
            raise error_class(why) from error


async def refuse_connection(*_) -> None:
    """Refuse to open a second connection, at whose end another incarnation may answer."""
    raise NotSentError("the engine closed the connection on which it was identified")


async def record_connection_reuse(_, context, __) -> None:
    """Record that a request is sent on a reused connection."""
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.is_reused = True


def request_headers(request: RoutedRequest, attempt: Attempt) -> list[tuple[str, str]]:
    """Return the request headers of an attempt."""
    headers = list(request.headers)
    headers.append(("X-Request-Deadline-Ms", str(max(1, int(request.remaining_s() * MS)))))
    headers.append(("X-Expect-Instance", attempt.engine.id))
    if request.account:
        headers.append(("X-Tenant", request.account.name))
    if request.prompt:
        headers.append(("X-Request-Priority", str(attempt.queue_rank)))
    if attempt.after_event is not None:
        headers.append(("Last-Event-Id", str(attempt.after_event)))
    if attempt.cache_source is not None:
        headers.append(("Kv-Fetch", attempt.cache_source.address))
    if attempt.backup is not None:
        headers.append(("X-Kv-Backup", attempt.backup.address))
    if attempt.run_memory is not None:
        headers.append(("Kv-From", attempt.run_memory))
    return headers


def answer_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Return the headers of an answer that are forwarded to the client."""
    return filter_answer_headers(response.headers.items())
