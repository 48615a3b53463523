"""Server side of paths through this router: it serves requests of routers that have none."""

import asyncio
import time
from contextlib import asynccontextmanager

import grpc
import msgspec

from marjoramspool.callers.server import CallersServer
from marjoramspool.configuration import Configuration
from marjoramspool.dispatch import Answer, Request
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.events import Event, log
from marjoramspool.failures import BrokenAnswerError
from marjoramspool.outcomes import NotRun, Unknown
from marjoramspool.placement.bounded_placement import Holder
from marjoramspool.routers.path_messages import (
    CONNECT_METHOD,
    CONNECTED,
    NOT_CONNECTED,
    SERVE_METHOD,
    SERVICE,
    Accepted,
    Alive,
    AnswerBody,
    AnswerEnd,
    AnswerStart,
    Declined,
    PathRequest,
    Refusal,
    RefusalKind,
    decode_body_part,
    decode_connect_request,
    decode_request,
    encode,
    split,
)
from marjoramspool.target_reach import TargetReach

__all__ = ["PathServer"]

MS = 1000.0
# Requests of other routers that are served at a time.
MAX_SERVED_REQUESTS = 256
BODY_TIMEOUT_S = 5.0
ALIVE_PERIOD_S = 0.5


class ReplyWriter:
    """Writer of the replies of one call; gRPC allows one write at a time."""

    __slots__ = ("context", "lock")

    def __init__(self, context: grpc.aio.ServicerContext):
        self.context = context
        self.lock = asyncio.Lock()

    async def write(self, message: msgspec.Struct) -> None:
        """Write a message."""
        async with self.lock:
            await self.context.write(encode(message))

    @asynccontextmanager
    async def signs_of_life(self):
        """Send signs of life during a block."""
        task = asyncio.create_task(self.send_signs())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def send_signs(self) -> None:
        """Send signs of life until cancelled."""
        while True:
            await asyncio.sleep(ALIVE_PERIOD_S)
            await self.write(Alive())


class PathServer:
    """Serves each request as one of its own callers', by one hop at most.

    The sender has claimed the idempotency key of a request, so that it is not claimed again here.
    """

    __slots__ = ("active", "callers", "configuration", "reach")

    def __init__(self, callers: CallersServer, configuration: Configuration, reach: TargetReach):
        self.callers = callers
        self.configuration = configuration
        self.reach = reach
        self.active = 0

    def handler(self) -> grpc.GenericRpcHandler:
        """Return the handler for the server of this router."""
        methods = {
            SERVE_METHOD: grpc.stream_stream_rpc_method_handler(self.serve),
            CONNECT_METHOD: grpc.unary_unary_rpc_method_handler(self.connect),
        }
        return grpc.method_handlers_generic_handler(SERVICE, methods)

    async def connect(self, data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        """Try a connection to a target of a service for another router."""
        try:
            message = decode_connect_request(data)
        except msgspec.MsgspecError as error:
            log(Event.PEER_UNREADABLE, address=context.peer(), fault=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "malformed request")
        document = self.configuration.document(message.service)
        target = document.targets.get(message.target) if document else None
        if target is None or not await self.reach.can_connect(message.service, target):
            return NOT_CONNECTED
        return CONNECTED

    async def serve(self, _, context: grpc.aio.ServicerContext) -> None:
        """Serve one request; the call is cancelled when its caller leaves."""
        data = await context.read()
        if data is grpc.aio.EOF:
            return
        try:
            message = decode_request(data)
        except msgspec.MsgspecError as error:
            log(Event.PEER_UNREADABLE, address=context.peer(), fault=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "malformed request")
        writer = ReplyWriter(context)
        request = self.route(message)
        if request is None:
            await writer.write(Declined(self.is_without_path(message)))
            return
        self.active += 1
        try:
            with self.callers.counted_in_flight():
                await writer.write(Accepted(self.callers.in_flight))
                request.body = await read_body(context, message)
                if request.body is not None:
                    await self.answer(request, writer)
        finally:
            self.active -= 1

    def route(self, message: PathRequest) -> Request | None:
        """Return a request with this router's document; None if it cannot be served here."""
        active = self.configuration.active.get(message.service)
        document = active.document if active else None
        if (
            document is None
            or active.version < message.version
            or message.account not in document.accounts
            or message.body_bytes > self.callers.limits.body_bytes
            or not self.callers.has_room()
            or self.active >= MAX_SERVED_REQUESTS
            or self.is_without_path(message)
        ):
            return None
        bare_path = message.path.partition("?")[0]
        return Request(
            id=message.id,
            document=document,
            account=document.accounts[message.account],
            urgency=message.urgency,
            method=message.method,
            path=message.path,
            headers=dict(message.headers),
            body=b"",
            deadline=time.monotonic() + message.remaining_ms / MS,
            parts=message.parts,
            chat=message.chat,
            holders=tuple(Holder(*holder) for holder in message.holders),
            key=message.idempotency_key,
            is_non_idempotent=message.is_non_idempotent
            or document.is_non_idempotent(message.method, bare_path),
            is_stream=message.is_stream,
            is_first_turn=message.is_first_turn,
            is_forwarded=True,
        )

    def is_without_path(self, message: PathRequest) -> bool:
        """Return whether this router reaches no target, or no more than the sender does."""
        path = self.reach.path(message.service)
        return path is Path.NONE or (message.reaches_some and path is Path.PARTIAL)

    async def answer(self, request: Request, writer: ReplyWriter) -> None:
        """Serve a request and send its answer."""
        self.callers.metrics.count("served-for-router")
        async with writer.signs_of_life(), self.callers.serve(request) as outcome:
            match outcome:
                case Answer(status, headers, parts, length, holders):
                    plain = tuple((str(name), str(value)) for name, value in headers.items())
                    pairs = tuple((holder.engine, holder.incarnation) for holder in holders)
                    await writer.write(AnswerStart(status, plain, length, pairs))
                    try:
                        async for part in parts:
                            for piece in split(part):
                                await writer.write(AnswerBody(piece))
                    except BrokenAnswerError as error:
                        problem = Refusal(RefusalKind.UNKNOWN, 502, str(error), "send it again")
                        await writer.write(problem)
                        return
                    await writer.write(AnswerEnd())
                case NotRun() | Unknown():
                    await writer.write(self.refusal(request, outcome))

    def refusal(self, request: Request, outcome: NotRun | Unknown) -> Refusal:
        """Return the message for a request without an answer."""
        problem = outcome.problem
        kind = RefusalKind.UNKNOWN
        if isinstance(outcome, NotRun):
            has_path = self.reach.path(request.document.name) is not Path.NONE
            kind = RefusalKind.NOT_RUN if has_path else RefusalKind.NO_PATH
        return Refusal(kind, problem.status, problem.title, problem.remedy, problem.retry_after_s)


async def read_body(context: grpc.aio.ServicerContext, message: PathRequest) -> bytes | None:
    """Return a body once it is whole; None if its sender has left or sends something else."""
    body = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while (data := await context.read()) is not grpc.aio.EOF:
                part = decode_body_part(data)
                body += part.data
                if len(body) > message.body_bytes:
                    return None
                if part.is_last:
                    return bytes(body) if len(body) == message.body_bytes else None
    except (TimeoutError, msgspec.MsgspecError):
        pass
    return None
