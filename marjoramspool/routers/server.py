"""Server side of router to router."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

import grpc
import msgspec

from marjoramspool import partition
from marjoramspool.admission_control import AdmissionController
from marjoramspool.admission_messages import AdmissionRequest, Granted
from marjoramspool.claims import Claims
from marjoramspool.configuration import Configuration
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers import peers_pb2_grpc as rpc
from marjoramspool.routers.convert import (
    admission_to,
    ask_from,
    holdings_from,
    operation_from,
    result_to,
)
from marjoramspool.routers.link import FRAME_BYTES, MESSAGE_BYTES

__all__ = ["Gossip", "PlaceSession", "RoutersServer", "start_server"]

GRANTS_REMEMBERED = 512
LONGEST_CLAIM_S = 10.0


class Gossip(Protocol):
    """Answer the probes of other routers."""

    def answer(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Take in what a probe says and reply."""

    async def probe_address(self, address: str) -> bool:
        """Probe an address on behalf of another router."""


class PlaceSession:
    """Serve the placement session of one router; one task reads it."""

    __slots__ = ("admissions", "granted", "outbox", "router", "waiting")

    def __init__(self, admissions: AdmissionController):
        self.admissions = admissions
        self.router = ""
        self.outbox: asyncio.Queue = asyncio.Queue()
        self.granted: OrderedDict[int, tuple[AdmissionRequest, str]] = OrderedDict()
        self.waiting: dict[int, asyncio.Task] = {}

    async def read(self, requests) -> None:
        """Handle the messages of the router until the session ends."""
        try:
            async for message in requests:
                self.handle(message)
        finally:
            for task in self.waiting.values():
                task.cancel()
            # The reader is done, or about to be, once the outbox ends.
            asyncio.get_running_loop().call_soon(self.outbox.put_nowait, None)

    def handle(self, message: pb.PlaceRequest) -> None:
        """Handle one message."""
        match message.WhichOneof("kind"):
            case "hello":
                self.router = message.hello
                self.admissions.remove_session(self.router)
            case "ask":
                self.ask(message.number, ask_from(message.ask))
            case "cancel":
                self.cancel(message.number)
            case "release":
                release = message.release
                cell = self.admissions.cell(release.cell)
                cell.release(self.router, release.engine, release.account)
            case "holdings":
                holdings = message.holdings
                cell = self.admissions.cell(holdings.cell)
                cell.replace_grants(self.router, holdings_from(holdings))

    def ask(self, number: int, ask: AdmissionRequest) -> None:
        """Decide an ask at once, or let it wait in a task of its own."""
        if self.admissions.configuration.document(partition.service_of(ask.cell)) is None:
            self.outbox.put_nowait(pb.PlaceReply(number=number, not_ready=pb.NotReady()))
            return
        decision = self.admissions.cell(ask.cell).admit_now(ask, self.router)
        if decision is not None:
            self.answer(number, ask, decision)
            return
        self.outbox.put_nowait(pb.PlaceReply(number=number, queued=pb.Queued()))
        self.waiting[number] = asyncio.create_task(self.wait(number, ask))

    async def wait(self, number: int, ask: AdmissionRequest) -> None:
        """Wait in the queue and answer."""
        try:
            decision = await self.admissions.cell(ask.cell).wait(ask, self.router)
            self.answer(number, ask, decision)
        finally:
            self.waiting.pop(number, None)

    def answer(self, number: int, ask: AdmissionRequest, decision) -> None:
        """Send a decision, remembering a grant in case it is cancelled."""
        if isinstance(decision, Granted):
            self.granted[number] = (ask, decision.engine)
            while len(self.granted) > GRANTS_REMEMBERED:
                self.granted.popitem(last=False)
        self.outbox.put_nowait(admission_to(number, decision))

    def cancel(self, number: int) -> None:
        """Withdraw an ask, or give back the grant that crossed the cancellation."""
        if number in self.waiting:
            self.waiting[number].cancel()
        elif number in self.granted:
            ask, engine = self.granted.pop(number)
            self.admissions.cell(ask.cell).release(self.router, engine, ask.account)


class RoutersServer(rpc.RoutersServicer):
    """Serve the other routers of the fleet."""

    def __init__(
        self,
        admissions: AdmissionController,
        configuration: Configuration,
        claims: Claims,
        gossip: Gossip,
        explain: Callable[[str], Awaitable[bytes]],
    ):
        self.admissions = admissions
        self.configuration = configuration
        self.claims = claims
        self.gossip = gossip
        self.explain = explain
        self.sessions: dict[str, PlaceSession] = {}
        self.bytes = 0

    async def Place(self, request_iterator, context):  # noqa: N802
        """Serve one placement session."""
        session = PlaceSession(self.admissions)
        reader = asyncio.create_task(session.read(self.counted(request_iterator, session)))
        try:
            while (reply := await session.outbox.get()) is not None:
                self.bytes += reply.ByteSize() + FRAME_BYTES
                yield reply
            if reader.done() and not reader.cancelled() and reader.exception():
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "malformed message")
        finally:
            reader.cancel()
            if self.sessions.get(session.router) is session:
                del self.sessions[session.router]
                self.admissions.remove_session(session.router)

    async def counted(self, requests, session: PlaceSession):
        """Yield the messages of a session; a newer session of a router replaces the older."""
        async for message in requests:
            self.bytes += message.ByteSize() + FRAME_BYTES
            if message.WhichOneof("kind") == "hello":
                self.sessions[message.hello] = session
            elif self.sessions.get(session.router) is not session:
                return
            yield message

    async def Probe(self, request, context):  # noqa: N802
        """Answer a probe."""
        reply = self.gossip.answer(request)
        self.bytes += request.ByteSize() + reply.ByteSize() + 2 * FRAME_BYTES
        return reply

    async def ProbeFor(self, request, context):  # noqa: N802
        """Probe a third router."""
        return pb.ProbeForReply(answered=await self.gossip.probe_address(request.address))

    async def Fetch(self, request, context):  # noqa: N802
        """Return a document in force."""
        entry = self.configuration.adopted.get(request.service)
        if entry is None:
            return pb.FetchReply(service=request.service)
        reply = pb.FetchReply(
            service=request.service,
            version=entry.version,
            text=entry.body,
            deleted=entry.document is None,
        )
        self.bytes += reply.ByteSize() + FRAME_BYTES
        return reply

    async def Claim(self, request, context):  # noqa: N802
        """Commit an operation of another router to the ledger."""
        try:
            operation = operation_from(request)
        except (ValueError, msgspec.DecodeError) as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        wait_s = min(LONGEST_CLAIM_S, max(0.0, request.wait))
        reply = result_to(await self.claims.commit_locally(operation, wait_s))
        self.bytes += request.ByteSize() + reply.ByteSize() + 2 * FRAME_BYTES
        return reply

    async def Explain(self, request, context):  # noqa: N802
        """Return this router's trace of a request."""
        return pb.ExplainReply(trace=await self.explain(request.request))


async def start_server(
    servicer: RoutersServer, address: str, credentials: grpc.ServerCredentials | None
) -> grpc.aio.Server:
    """Start the server of one router on IP:PORT."""
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MESSAGE_BYTES),
            ("grpc.so_reuseport", 0),
            ("grpc.http2.bdp_probe", 0),
        ]
    )
    rpc.add_RoutersServicer_to_server(servicer, server)
    if credentials:
        server.add_secure_port(address, credentials)
    else:
        server.add_insecure_port(address)
    await server.start()
    return server
