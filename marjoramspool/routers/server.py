"""Server side of the calls between routers."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import grpc
import msgspec

from marjoramspool import partition
from marjoramspool.admission.admission_control import AdmissionController
from marjoramspool.admission.admission_messages import AdmissionRequest, Granted
from marjoramspool.claims import Claims
from marjoramspool.configuration import Configuration
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers import peers_pb2_grpc as rpc
from marjoramspool.routers.convert import (
    decode_admission_request,
    decode_grants,
    decode_operation,
    encode_admission,
    encode_result,
)
from marjoramspool.routers.link import FRAME_OVERHEAD_BYTES, MAX_MESSAGE_BYTES

__all__ = ["PlacementSession", "ProbeHandler", "RoutersServer", "start_server"]

MAX_RECENT_GRANTS = 512
MAX_CLAIM_TIMEOUT_S = 10.0


class ProbeHandler(Protocol):
    """Handler of the probes of other routers."""

    def handle_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Apply the contents of a probe; return the reply."""

    async def probe_address(self, address: str) -> bool:
        """Probe an address on behalf of another router."""


class PlacementSession:
    """Server side of the placement session of one router, whose messages one task reads."""

    __slots__ = ("admission_controller", "queued_tasks", "recent_grants", "reply_queue", "router")

    def __init__(self, admission_controller: AdmissionController):
        self.admission_controller = admission_controller
        self.router = ""
        self.reply_queue: asyncio.Queue = asyncio.Queue()
        self.recent_grants: OrderedDict[int, tuple[AdmissionRequest, str]] = OrderedDict()
        self.queued_tasks: dict[int, asyncio.Task] = {}

    async def read_messages(self, requests) -> None:
        """Handle the messages of the router until the session ends."""
        try:
            async for message in requests:
                self.handle_message(message)
        finally:
            for task in self.queued_tasks.values():
                task.cancel()
            # Deferred so that this task is done, or about to be, when `Place` reads the end mark.
            asyncio.get_running_loop().call_soon(self.reply_queue.put_nowait, None)

    def handle_message(self, message: pb.PlaceRequest) -> None:
        """Handle one message."""
        match message.WhichOneof("kind"):
            case "hello":
                self.router = message.hello
                self.admission_controller.remove_session(self.router)
            case "ask":
                self.handle_request(message.number, decode_admission_request(message.ask))
            case "cancel":
                self.cancel(message.number)
            case "release":
                release = message.release
                cell = self.admission_controller.cell(release.cell)
                cell.release(self.router, release.engine, release.account)
            case "holdings":
                holdings = message.holdings
                cell = self.admission_controller.cell(holdings.cell)
                cell.replace_grants(self.router, decode_grants(holdings))

    def handle_request(self, number: int, request: AdmissionRequest) -> None:
        """Decide a request immediately, or let it wait in the queue in a task of its own."""
        if (
            self.admission_controller.configuration.document(partition.service_of(request.cell))
            is None
        ):
            self.reply_queue.put_nowait(pb.PlaceReply(number=number, not_ready=pb.NotReady()))
            return
        decision = self.admission_controller.cell(request.cell).admit_now(request, self.router)
        if decision is not None:
            self.send_decision(number, request, decision)
            return
        self.reply_queue.put_nowait(pb.PlaceReply(number=number, queued=pb.Queued()))
        self.queued_tasks[number] = asyncio.create_task(self.wait_in_queue(number, request))

    async def wait_in_queue(self, number: int, request: AdmissionRequest) -> None:
        """Wait for the decision on a queued request and send it."""
        try:
            decision = await self.admission_controller.cell(request.cell).wait(request, self.router)
            self.send_decision(number, request, decision)
        finally:
            self.queued_tasks.pop(number, None)

    def send_decision(self, number: int, request: AdmissionRequest, decision) -> None:
        """Send a decision; remember a grant in case its request is cancelled."""
        if isinstance(decision, Granted):
            self.recent_grants[number] = (request, decision.engine)
            while len(self.recent_grants) > MAX_RECENT_GRANTS:
                self.recent_grants.popitem(last=False)
        self.reply_queue.put_nowait(encode_admission(number, decision))

    def cancel(self, number: int) -> None:
        """Cancel a queued request, or release the grant that crossed its cancellation."""
        if number in self.queued_tasks:
            self.queued_tasks[number].cancel()
        elif number in self.recent_grants:
            request, engine = self.recent_grants.pop(number)
            self.admission_controller.cell(request.cell).release(
                self.router, engine, request.account
            )


class RoutersServer(rpc.RoutersServicer):
    """Service for the other routers of the fleet."""

    def __init__(
        self,
        admission_controller: AdmissionController,
        configuration: Configuration,
        claims: Claims,
        gossip: ProbeHandler,
        explain: Callable[[str], Awaitable[bytes]],
    ):
        self.admission_controller = admission_controller
        self.configuration = configuration
        self.claims = claims
        self.gossip = gossip
        self.explain = explain
        self.sessions: dict[str, PlacementSession] = {}
        self.bytes = 0

    async def Place(self, request_iterator, context):  # noqa: N802
        """Serve one placement session."""
        session = PlacementSession(self.admission_controller)
        reader = asyncio.create_task(
            session.read_messages(self.session_messages(request_iterator, session))
        )
        try:
            while (reply := await session.reply_queue.get()) is not None:
                self.bytes += reply.ByteSize() + FRAME_OVERHEAD_BYTES
                yield reply
            if reader.done() and not reader.cancelled() and reader.exception():
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "malformed message")
        finally:
            reader.cancel()
            if self.sessions.get(session.router) is session:
                del self.sessions[session.router]
                self.admission_controller.remove_session(session.router)

    async def session_messages(self, requests, session: PlacementSession):
        """Yield the messages of a session until a newer session of its router replaces it."""
        async for message in requests:
            self.bytes += message.ByteSize() + FRAME_OVERHEAD_BYTES
            if message.WhichOneof("kind") == "hello":
                self.sessions[message.hello] = session
            elif self.sessions.get(session.router) is not session:
                return
            yield message

    async def Probe(self, request, context):  # noqa: N802
        """Answer a probe."""
        reply = self.gossip.handle_probe(request)
        self.bytes += request.ByteSize() + reply.ByteSize() + 2 * FRAME_OVERHEAD_BYTES
        return reply

    async def ProbeFor(self, request, context):  # noqa: N802
        """Probe a third router on behalf of the caller."""
        return pb.ProbeForReply(answered=await self.gossip.probe_address(request.address))

    async def Fetch(self, request, context):  # noqa: N802
        """Return the active document of a service."""
        entry = self.configuration.active.get(request.service)
        if entry is None:
            return pb.FetchReply(service=request.service)
        reply = pb.FetchReply(
            service=request.service,
            version=entry.version,
            text=entry.body,
            deleted=entry.document is None,
        )
        self.bytes += reply.ByteSize() + FRAME_OVERHEAD_BYTES
        return reply

    async def Claim(self, request, context):  # noqa: N802
        """Commit a ledger operation for another router."""
        try:
            operation = decode_operation(request)
        except (ValueError, msgspec.DecodeError) as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        timeout_s = min(MAX_CLAIM_TIMEOUT_S, max(0.0, request.wait))
        reply = encode_result(await self.claims.commit_locally(operation, timeout_s))
        self.bytes += request.ByteSize() + reply.ByteSize() + 2 * FRAME_OVERHEAD_BYTES
        return reply

    async def Explain(self, request, context):  # noqa: N802
        """Return this router's trace of a request."""
        return pb.ExplainReply(trace=await self.explain(request.request))


async def start_server(
    servicer: RoutersServer,
    address: str,
    credentials: grpc.ServerCredentials | None,
    handlers: Sequence[grpc.GenericRpcHandler] = (),
) -> grpc.aio.Server:
    """Start the server of one router on IP:PORT; `handlers` serve other methods than `servicer`."""
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.so_reuseport", 0),
            ("grpc.http2.bdp_probe", 0),
        ]
    )
    rpc.add_RoutersServicer_to_server(servicer, server)
    if handlers:
        server.add_generic_rpc_handlers(handlers)
    if credentials:
        server.add_secure_port(address, credentials)
    else:
        server.add_insecure_port(address)
    await server.start()
    return server
