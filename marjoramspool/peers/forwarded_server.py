"""Server of requests that another router has no path for."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import msgspec
from aiohttp import web

from marjoramspool.attempts import StreamAnswer, WholeAnswer
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_reach import EngineReach, Path
from marjoramspool.events import Event, log
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.forwarding import Forwarding
from marjoramspool.outcomes import NotRun, Unknown
from marjoramspool.peers.forwarded_messages import (
    AnswerBody,
    AnswerEnd,
    AnswerEvent,
    AnswerHead,
    ForwardedPrompt,
    ForwardedRequest,
    Frame,
    Refusal,
    RefusalKind,
    decode_request,
    encode_frame,
    plain_headers,
)
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import RouteTable

__all__ = ["ForwardedServer"]

MS = 1000.0
# Requests of other routers that are served at a time.
MAX_FORWARDED_REQUESTS = 256
IDLE_CHECK_PERIOD_S = 0.05
NO_PATH = Refusal(
    RefusalKind.NO_PATH, 503, "the other router has no path or room", "retry the request", 0.5
)


class ForwardedServer:
    """Serves each request as one of its own, by one hop at most; `active` counts those in flight.

    `takes_requests` returns whether this router serves its own callers.
    """

    __slots__ = ("active", "forwarding", "reach", "table", "takes_requests")

    def __init__(
        self,
        forwarding: Forwarding,
        reach: EngineReach,
        table: Callable[[], RouteTable | None],
        takes_requests: Callable[[], bool],
    ):
        self.forwarding = forwarding
        self.reach = reach
        self.table = table
        self.takes_requests = takes_requests
        self.active = 0

    async def handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of another router."""
        try:
            message = decode_request(await http_request.content.read())
        except msgspec.MsgspecError as error:
            log(Event.PEER_UNREADABLE, address=http_request.remote, fault=str(error))
            return web.Response(status=400, text=f"{error}\n")
        response = web.StreamResponse()
        self.active += 1
        try:
            async with aclosing(self.answer(message)) as frames:
                async for frame in frames:
                    if not response.prepared:
                        await response.prepare(http_request)
                    await response.write(encode_frame(frame))
            await response.write_eof()
        except (BrokenAnswerError, TimeoutError) as error:
            log(Event.REQUEST_FAILED, request=message.id, why=repr(error))
            if http_request.transport:
                http_request.transport.close()
        except ConnectionError:
            log(Event.CALLER_LEFT, request=message.id)
        finally:
            self.active -= 1
        return response

    async def answer(self, message: ForwardedRequest) -> AsyncIterator[Frame]:
        """Yield the frames of an answer; raise BrokenAnswerError if it breaks off."""
        request = self.route(message)
        if request is None or self.active > MAX_FORWARDED_REQUESTS:
            yield NO_PATH
            return
        async with self.forwarding.serve(request) as outcome:
            match outcome:
                case StreamAnswer(status, headers, events):
                    yield AnswerHead(status, plain_headers(headers), True)
                    async with aclosing(events):
                        async for event in events:
                            yield AnswerEvent(event.event_id, event.raw)
                    yield AnswerEnd()
                case WholeAnswer(status, headers, body):
                    yield AnswerHead(status, plain_headers(headers), False)
                    yield AnswerBody(body)
                    yield AnswerEnd()
                case NotRun() | Unknown():
                    yield refusal(outcome)

    async def wait_until_idle(self) -> None:
        """Wait until all requests received so far are answered."""
        while self.active:
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)

    def route(self, message: ForwardedRequest) -> RoutedRequest | None:
        """Return a request with the route and account of this router's table, None without one."""
        table = self.table()
        if table is None or not self.takes_requests():
            return None
        route = table.match(message.host, message.path.partition("?")[0])
        account = None if message.account is None else table.account(message.account)
        if route is None or (message.account is not None and account is None):
            return None
        service = route.select_service(message.first_request or message.id)
        if self.reach.path(service) is Path.NONE:
            return None
        received = now()
        return RoutedRequest(
            id=message.id,
            host=message.host,
            route=route,
            service=service,
            account=account,
            method=message.method,
            path=message.path,
            headers=list(message.headers),
            body=message.body,
            received=received,
            deadline=received + message.remaining_ms / MS,
            prompt=decode_prompt(message.prompt),
            after_event=message.after_event,
            first_request=message.first_request,
            is_forwarded=True,
            earlier_runs=message.earlier_runs,
        )


def decode_prompt(prompt: ForwardedPrompt | None) -> Prompt | None:
    """Return the prompt of a message."""
    if prompt is None:
        return None
    parts = tuple(Part(*part) for part in prompt.parts)
    return Prompt(prompt.model, prompt.input_tokens, prompt.output_tokens, parts)


def refusal(outcome: NotRun | Unknown) -> Refusal:
    """Return the message for a request without an answer."""
    problem = outcome.problem
    kind = RefusalKind.NOT_RUN if isinstance(outcome, NotRun) else RefusalKind.UNKNOWN
    return Refusal(kind, problem.status, problem.title, problem.remedy, problem.retry_after_s)
