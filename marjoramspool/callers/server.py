"""HTTP server for callers."""

import asyncio
import ssl
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager

from aiohttp import web

from marjoramspool import client_rejections
from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.admission.connection_records import Phase
from marjoramspool.admission.drain_admission import (
    REFUSAL_S,
    STOPPING,
    DrainAdmission,
    Kind,
)
from marjoramspool.answer_bodies import AnswerMemory, body_slices
from marjoramspool.callers.affinity import encode_hint
from marjoramspool.callers.problems import (
    OUTCOME_HEADER,
    RejectedError,
    error_event,
    problem_body,
    problem_headers,
)
from marjoramspool.callers.requests import (
    AFFINITY_HEADER,
    authorize_head,
    get_request_id,
    parse_chat_request,
    parse_service_request,
)
from marjoramspool.client_connection import ConnectionLimits
from marjoramspool.client_listener import serve_application
from marjoramspool.client_rejections import check_header_size
from marjoramspool.configuration import Configuration
from marjoramspool.dispatch import Answer, Request
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.metrics import Metrics
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.routing import Routing
from marjoramspool.settings import Limits, TlsFiles
from marjoramspool.startup_wait import StartupWait

__all__ = ["CallersServer", "tls_context"]

BODY_TIMEOUT_S = 15.0
HEADER_TIMEOUT_S = 15.0
LINGER_S = 10.0
GROUP = "callers"
WRITE_TIMEOUT_S = 15.0
# Client timeout assumed while no document is known that states a deadline.
ASSUMED_CLIENT_TIMEOUT_S = 3.0
NO_CONFIGURATION_PROBLEM = Problem(503, "the router has no configuration yet", "send it again", 1.0)
UNTIMED_WRITE_BUFFER_BYTES = 16_384
COMPLETED = "completed"


class CallersServer:
    """HTTP server for callers; counts requests in flight so that a shutdown can wait for them."""

    __slots__ = (
        "answer_memory",
        "budget",
        "configuration",
        "startup_wait",
        "idle",
        "in_flight",
        "drain_admission",
        "is_draining",
        "limits",
        "metrics",
        "routing",
        "stack",
    )

    def __init__(
        self,
        routing: Routing,
        configuration: Configuration,
        limits: Limits,
        metrics: Metrics,
        budget: ClientBudget,
        answer_memory: AnswerMemory,
    ):
        self.routing = routing
        self.configuration = configuration
        self.startup_wait = StartupWait(lambda: configuration.is_complete)
        self.limits = limits
        self.metrics = metrics
        self.in_flight = 0
        self.is_draining = False
        self.drain_admission = DrainAdmission()
        self.idle = asyncio.Event()
        self.idle.set()
        self.budget = budget
        self.answer_memory = answer_memory
        self.stack = AsyncExitStack()

    async def start(self, host: str, port: int, tls: TlsFiles | None) -> None:
        """Listen for callers."""
        app = web.Application(client_max_size=self.limits.body_bytes)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.service)
        app.router.add_get("/livez", self.livez)
        app.router.add_get("/readyz", self.readyz)
        limits = ConnectionLimits(lambda: self.limits.header_bytes, lambda: HEADER_TIMEOUT_S)
        context = tls_context(tls) if tls else None
        connections = self.budget.limits.connections
        await self.stack.enter_async_context(
            serve_application(
                app, self.budget, GROUP, connections, (host, port), limits, LINGER_S, 0, context
            )
        )

    async def close(self) -> None:
        """Stop listening and close the remaining connections."""
        await self.stack.aclose()

    async def livez(self, _: web.Request) -> web.Response:
        """Respond that the process is running."""
        return web.Response(text="live\n")

    async def readyz(self, _: web.Request) -> web.Response:
        """Respond whether the load balancer may send requests to this router."""
        if self.is_draining:
            return web.Response(status=503, text="draining\n")
        if not self.configuration.is_complete:
            return web.Response(status=503, text="no service document yet\n")
        return web.Response(text="ready\n")

    async def chat(self, http_request: web.Request) -> web.StreamResponse:
        """Serve a chat completion."""
        return await self.handle(http_request, parse_chat_request)

    async def service(self, http_request: web.Request) -> web.StreamResponse:
        """Serve a request to a plain service."""
        return await self.handle(http_request, parse_service_request)

    async def handle(self, http_request: web.Request, parse_request) -> web.StreamResponse:
        """Serve one request and count it as in flight."""
        request_id = get_request_id(http_request)
        if self.in_flight >= self.limits.requests:
            problem = Problem(503, "too many requests are in flight", "send it again", 1.0)
            return self.build_problem_response(NotRun(problem), request_id)
        with self.counted_in_flight():
            try:
                await self.wait_for_configuration()
                authorize_head(http_request, self.configuration)
                body = await self.read_body(http_request)
                request = parse_request(http_request, body, request_id, self.configuration)
                async with self.serve(request) as outcome:
                    if isinstance(outcome, Answer):
                        return await self.forward_answer(http_request, request, outcome)
                    return self.build_problem_response(outcome, request_id)
            except RejectedError as error:
                return self.build_problem_response(NotRun(error.problem), request_id)

    @asynccontextmanager
    async def serve(self, request: Request) -> AsyncIterator[Answer | NotRun | Unknown]:
        """Serve a whole request; one that would not be finished before the router ends is refused.

        Requests of other routers are served here too.
        """
        kind = Kind(request.document.name, request.is_stream)
        if self.drain_admission.refuses(kind, request.deadline - time.monotonic()):
            yield NotRun(STOPPING)
            return
        with self.drain_admission.durations.measured(kind) as measurement:
            async with self.routing.serve(request) as outcome:
                measurement.is_answered = isinstance(outcome, Answer)
                yield outcome

    def begin_drain(self, grace_s: float, removal_s: float) -> None:
        """Begin to stop: the router ends in `grace_s`, new connections come for `removal_s`."""
        self.is_draining = True
        self.drain_admission.begin(grace_s, removal_s)

    def has_room(self) -> bool:
        """Return whether one more request may be served."""
        return not self.is_draining and self.in_flight < self.limits.requests

    @contextmanager
    def counted_in_flight(self):
        """Count one request as in flight during a block."""
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def wait_for_configuration(self) -> None:
        """Wait briefly for the initial configuration; raise RejectedError if it stays unknown.

        Without it the router cannot tell whether a key or a service exists.
        """
        await self.startup_wait.wait(ASSUMED_CLIENT_TIMEOUT_S)
        if not self.configuration.is_complete:
            raise RejectedError(NO_CONFIGURATION_PROBLEM)

    async def read_body(self, http_request: web.Request) -> bytes:
        """Read a request body; raise RejectedError if it exceeds a limit."""
        connection = http_request.protocol
        limit = self.limits.body_bytes
        try:
            check_header_size(http_request, self.limits.header_bytes)
            connection.reserve_request()
            return await connection.read_body(http_request, limit, BODY_TIMEOUT_S)
        except client_rejections.RejectedError as error:
            remedy = (
                f"send headers of at most {self.limits.header_bytes} bytes and a body of {limit}"
            )
            problem = Problem(error.status, str(error), remedy, error.retry_after_s)
            raise RejectedError(problem) from error

    def build_problem_response(self, outcome: NotRun | Unknown, request_id: str) -> web.Response:
        """Count an unsuccessful outcome and return its problem response."""
        self.metrics.count(f"outcome.{outcome.tag}")
        problem = outcome.problem
        return web.Response(
            status=problem.status,
            body=problem_body(problem, request_id, outcome.tag),
            headers=problem_headers(problem, request_id, outcome.tag),
        )

    async def forward_answer(
        self, http_request: web.Request, request: Request, answer: Answer
    ) -> web.StreamResponse:
        """Forward an answer to the caller; abort the transfer if the answer is incomplete."""
        response = web.StreamResponse(status=answer.status)
        response.headers.update(answer.headers)
        response.headers["X-Request-Id"] = request.id
        response.headers[OUTCOME_HEADER] = COMPLETED
        if answer.holders and request.chat is not None:
            response.headers[AFFINITY_HEADER] = encode_hint(answer.holders)
        if answer.length is not None:
            response.content_length = answer.length
        trace = self.routing.traces.get(request.id)
        outcome = "unknown"
        try:
            with self.answer_memory.holding(answer.length or 0):
                await response.prepare(http_request)
                async for part in answer.parts:
                    for piece in body_slices(part):
                        await write_with_timeout(http_request, response, piece)
                await response.write_eof()
            outcome = COMPLETED
        except BrokenAnswerError as error:
            problem = Problem(502, str(error), "send the request again", 1.0)
            await write_with_timeout(
                http_request, response, error_event(Unknown(problem), request.id)
            )
            abort_transfer(http_request)
        finally:
            self.metrics.count(f"outcome.{outcome}")
            if trace:
                trace.outcome = outcome
        return response

    async def drain(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return whether that happened within the timeout."""
        loop = asyncio.get_running_loop()
        refusal = loop.call_later(max(0.0, timeout_s - REFUSAL_S), self.refuse_unfinished)
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
                await self.routing.wait_until_recorded()
        except TimeoutError:
            return False
        finally:
            refusal.cancel()
        return True

    def refuse_unfinished(self) -> None:
        """Refuse the requests that are still being received, while the refusal can be read."""
        for record in list(self.budget.records.get(GROUP, ())):
            if record.phase in (Phase.HEAD, Phase.BODY):
                record.evict()


async def write_with_timeout(
    http_request: web.Request, response: web.StreamResponse, part: bytes | memoryview
) -> None:
    """Write to a caller; close the connection if the caller does not read within the timeout."""
    transport = http_request.transport
    if transport and transport.get_write_buffer_size() < UNTIMED_WRITE_BUFFER_BYTES:
        # The transport buffers this much without blocking, so no timeout has to be set.
        await response.write(part)
        return
    try:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await response.write(part)
    except TimeoutError as error:
        abort_transfer(http_request)
        raise ConnectionResetError(
            f"the caller did not read its answer within {WRITE_TIMEOUT_S:g} s"
        ) from error


def abort_transfer(http_request: web.Request) -> None:
    """Close the connection so that the caller cannot mistake the answer for a complete one."""
    if http_request.transport:
        http_request.transport.close()


def tls_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context of a listener."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=files.authority)
    context.load_cert_chain(files.certificate, files.key)
    return context
