"""HTTP server for clients: connections, bodies, answers and a graceful stop."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from aiohttp import web
from multidict import CIMultiDict

from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.admission.connection_records import Phase
from marjoramspool.admission.drain_admission import STOPPING, DrainAdmission
from marjoramspool.answer_bodies import SLICE_BYTES, AnswerMemory, body_slices
from marjoramspool.attempts import StreamAnswer, WholeAnswer
from marjoramspool.client_connection import ConnectionLimits
from marjoramspool.client_listener import ClientListener
from marjoramspool.client_rejections import RejectedError, rejection_response
from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.outcomes import NotRun, Unknown
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import ClientLimits

__all__ = ["ClientServer", "to_multidict"]

IDLE_CHECK_PERIOD_S = 0.05
LINGER_S = 10.0
REFUSAL_READ_S = 0.4
GROUP = "clients"


class ClientServer:
    """Server for clients; tracks the requests in flight so that a shutdown can wait for them.

    `limits` returns the current limits on client requests. Subclasses answer requests in `serve`.
    """

    __slots__ = (
        "active_connections",
        "answer_memory",
        "drain_admission",
        "is_draining",
        "limits",
        "listener",
    )

    def __init__(
        self,
        limits: Callable[[], ClientLimits],
        budget: ClientBudget,
        answer_memory: AnswerMemory,
    ):
        self.limits = limits
        self.answer_memory = answer_memory
        self.active_connections: set[asyncio.Protocol] = set()
        self.is_draining = False
        self.drain_admission = DrainAdmission()
        self.listener = ClientListener(
            web.Server(self.handle, handler_cancellation=True),
            budget,
            GROUP,
            budget.limits.connections,
            ConnectionLimits(
                lambda: self.limits().header_bytes, lambda: self.limits().header_timeout_s
            ),
            LINGER_S,
            reserved_bytes=0,
        )

    @property
    def server(self) -> web.Server:
        """Return the server of the connections."""
        return self.listener.server

    async def start(self, host: str, port: int) -> None:
        """Listen for clients."""
        await self.listener.start(host, port)

    def begin_drain(self, grace_s: float, removal_s: float) -> None:
        """Begin to stop: the server ends in `grace_s`, new connections come for `removal_s`."""
        self.is_draining = True
        self.drain_admission.begin(grace_s, removal_s)

    def refuse_unfinished(self) -> None:
        """Refuse the requests that are still being received, while the refusal can be read."""
        for connection in self.server.connections:
            if connection.record.phase in (Phase.HEAD, Phase.BODY):
                connection.reject(STOPPING.status, STOPPING.title)

    def refuse_connections(self) -> None:
        """Stop accepting connections, and close those without a request."""
        self.listener.stop_listening()
        for connection in self.server.connections:
            if not connection.has_request and connection.transport:
                connection.transport.close()

    async def wait_until_idle(self) -> None:
        """Wait until all requests received so far are answered."""
        while self.active_connections or any(c.has_request for c in self.server.connections):
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)

    async def wait_until_refusals_read(self) -> None:
        """Wait until clients have read that their requests are refused, for a short time."""
        deadline = now() + REFUSAL_READ_S
        while any(c.record.phase is Phase.REFUSED for c in self.server.connections):
            if now() >= deadline:
                return
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)

    async def close(self) -> None:
        """Stop listening and close the remaining connections."""
        await self.listener.close()

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; log its rejection, its failure or the disconnect of its client."""
        self.active_connections.add(http_request.protocol)
        request_id = self.request_id(http_request)
        try:
            return await self.serve(http_request, request_id)
        except RejectedError as error:
            log(Event.REQUEST_REJECTED, request=request_id, status=error.status, why=str(error))
            return self.request_close_if_draining(rejection_response(error))
        except asyncio.CancelledError:
            log(Event.CALLER_LEFT, request=request_id)
            raise
        except Exception as error:
            log(Event.TASK_FAILED, task="request", request=request_id, error=repr(error))
            raise
        finally:
            self.active_connections.discard(http_request.protocol)

    def request_id(self, http_request: web.BaseRequest) -> str:
        """Return the id of a request, empty if it has none."""
        raise NotImplementedError

    async def serve(self, http_request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        """Validate a request, forward it and return its answer."""
        raise NotImplementedError

    async def read_body(self, http_request: web.BaseRequest) -> bytes:
        """Read a request body; raise RejectedError if it exceeds a limit."""
        limits = self.limits()
        connection = http_request.protocol
        return await connection.read_body(http_request, limits.body_bytes, limits.idle_timeout_s)

    async def forward_answer(
        self, http_request: web.BaseRequest, request: RoutedRequest, answer: WholeAnswer
    ) -> web.StreamResponse:
        """Send a whole answer in parts, so that a slow reader holds it only once."""
        log(Event.REQUEST_SERVED, request=request.id, status=answer.status)
        headers = to_multidict(answer.headers)
        if len(answer.body) <= SLICE_BYTES:
            response = web.Response(status=answer.status, headers=headers, body=answer.body)
            return self.request_close_if_draining(response)
        response = web.StreamResponse(status=answer.status, headers=headers)
        response.content_length = len(answer.body)
        self.request_close_if_draining(response)
        http_request.protocol.record.answer_deadline = request.deadline
        with self.answer_memory.holding(len(answer.body)):
            await response.prepare(http_request)
            for part in body_slices(answer.body):
                await response.write(part)
            await response.write_eof()
        return response

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


def to_multidict(headers: list[tuple[str, str]]) -> CIMultiDict:
    """Return headers as the multidict that aiohttp expects."""
    return CIMultiDict(headers)
