"""The HTTP interface for callers."""

import asyncio
import ssl

from aiohttp import web

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
    chat_request,
    request_id,
    service_request,
)
from marjoramspool.configuration import Configuration
from marjoramspool.dispatch import Answer, Request
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.metrics import Metrics
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.routing import Routing
from marjoramspool.settings import Limits, TlsFiles
from marjoramspool.startup_wait import StartupWait

__all__ = ["CallersServer", "tls_context"]

BODY_WAIT_S = 15.0
WRITE_WAIT_S = 15.0
# What a caller is taken to wait while no document is known that says it.
NO_DOCUMENT_WAIT_S = 3.0
NOT_YET = Problem(503, "the configuration is not known here yet", "send it again", 1.0)
WRITE_AT_ONCE_BYTES = 16_384
COMPLETED = "completed"


class CallersServer:
    """Serve callers; count what is in flight so that a shutdown can wait for it."""

    __slots__ = (
        "configuration",
        "startup_wait",
        "idle",
        "in_flight",
        "is_draining",
        "limits",
        "metrics",
        "routing",
        "runner",
    )

    def __init__(
        self, routing: Routing, configuration: Configuration, limits: Limits, metrics: Metrics
    ):
        self.routing = routing
        self.configuration = configuration
        self.startup_wait = StartupWait(lambda: configuration.is_complete)
        self.limits = limits
        self.metrics = metrics
        self.in_flight = 0
        self.is_draining = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.runner: web.AppRunner | None = None

    async def start(self, host: str, port: int, tls: TlsFiles | None) -> None:
        """Listen for callers."""
        app = web.Application(client_max_size=self.limits.body_bytes)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.service)
        app.router.add_get("/livez", self.livez)
        app.router.add_get("/readyz", self.readyz)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_field_size=self.limits.header_bytes,
            max_line_size=self.limits.header_bytes,
        )
        await self.runner.setup()
        context = tls_context(tls) if tls else None
        await web.TCPSite(self.runner, host, port, ssl_context=context).start()

    async def close(self) -> None:
        """Stop listening and close what is left."""
        if self.runner:
            await self.runner.cleanup()

    async def livez(self, _: web.Request) -> web.Response:
        """Say that the process runs."""
        return web.Response(text="live\n")

    async def readyz(self, _: web.Request) -> web.Response:
        """Say whether the balancer may send callers here."""
        if self.is_draining:
            return web.Response(status=503, text="draining\n")
        if not self.configuration.is_complete:
            return web.Response(status=503, text="no service document yet\n")
        return web.Response(text="ready\n")

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve a chat completion."""
        return await self.handle(request, chat_request)

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Serve a request to a plain service."""
        return await self.handle(request, service_request)

    async def handle(self, request: web.Request, check) -> web.StreamResponse:
        """Serve one request and count it."""
        number = request_id(request)
        if self.in_flight >= self.limits.requests:
            problem = Problem(503, "the router is full", "send it again", 1.0)
            return self.refuse(NotRun(problem), number)
        self.in_flight += 1
        self.idle.clear()
        try:
            body = await self.read_body(request)
            await self.wait_for_configuration()
            checked = check(request, body, number, self.configuration)
            async with self.routing.serve(checked) as outcome:
                if isinstance(outcome, Answer):
                    return await self.pass_on(request, checked, outcome)
                return self.refuse(outcome, number)
        except RejectedError as error:
            return self.refuse(NotRun(error.problem), number)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    async def wait_for_configuration(self) -> None:
        """Wait a little for the first configuration; raise RejectedError if it does not come.

        Until then nobody can tell whether a key or a service exists.
        """
        await self.startup_wait.wait(NO_DOCUMENT_WAIT_S)
        if not self.configuration.is_complete:
            raise RejectedError(NOT_YET)

    async def read_body(self, request: web.Request) -> bytes:
        """Read a caller's body within its bounds of size and time."""
        try:
            async with asyncio.timeout(BODY_WAIT_S):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            remedy = f"send at most {self.limits.body_bytes} bytes"
            raise RejectedError(Problem(413, "the body is too large", remedy)) from error
        except TimeoutError as error:
            remedy = f"send the whole body within {BODY_WAIT_S:g} s"
            raise RejectedError(Problem(408, "the body came too slowly", remedy)) from error

    def refuse(self, outcome: NotRun | Unknown, number: str) -> web.Response:
        """Return a problem answer."""
        self.metrics.count(f"outcome.{outcome.tag}")
        problem = outcome.problem
        return web.Response(
            status=problem.status,
            body=problem_body(problem, number, outcome.tag),
            headers=problem_headers(problem, number, outcome.tag),
        )

    async def pass_on(
        self, request: web.Request, checked: Request, answer: Answer
    ) -> web.StreamResponse:
        """Pass an answer on; break the transfer off if the answer breaks off."""
        response = web.StreamResponse(status=answer.status)
        response.headers.update(answer.headers)
        response.headers["X-Request-Id"] = checked.id
        response.headers[OUTCOME_HEADER] = COMPLETED
        if answer.holders and checked.chat is not None:
            response.headers[AFFINITY_HEADER] = encode_hint(answer.holders)
        if answer.length is not None:
            response.content_length = answer.length
        trace = self.routing.traces.get(checked.id)
        outcome = "unknown"
        try:
            await response.prepare(request)
            async for part in answer.parts:
                await write_bounded(request, response, part)
            await response.write_eof()
            outcome = COMPLETED
        except BrokenAnswerError as error:
            problem = Problem(502, str(error), "send the request again", 1.0)
            await write_bounded(request, response, error_event(Unknown(problem), checked.id))
            break_off(request)
        finally:
            self.metrics.count(f"outcome.{outcome}")
            if trace:
                trace.outcome = outcome
        return response

    async def drain(self, wait_s: float) -> bool:
        """Wait until nothing is in flight; return False if that takes too long."""
        try:
            async with asyncio.timeout(wait_s):
                await self.idle.wait()
                await self.routing.wait_until_recorded()
        except TimeoutError:
            return False
        return True


async def write_bounded(request: web.Request, response: web.StreamResponse, part: bytes) -> None:
    """Write to a caller; drop a caller that does not read."""
    transport = request.transport
    if transport and transport.get_write_buffer_size() < WRITE_AT_ONCE_BYTES:
        # The transport takes this much without waiting, so no timeout has to be set.
        await response.write(part)
        return
    try:
        async with asyncio.timeout(WRITE_WAIT_S):
            await response.write(part)
    except TimeoutError as error:
        break_off(request)
        raise ConnectionResetError("the caller does not read its answer") from error


def break_off(request: web.Request) -> None:
    """End a transfer so that the caller cannot take it for whole."""
    if request.transport:
        request.transport.close()


def tls_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context of a listener."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=files.authority)
    context.load_cert_chain(files.certificate, files.key)
    return context
