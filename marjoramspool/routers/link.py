"""Client side of the connection to one peer: its channel and placement session."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

import grpc

from marjoramspool.admission.admission_control import OwnerNotReadyError, OwnerUnavailableError
from marjoramspool.admission.admission_messages import Admission, AdmissionRequest, Granted
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers import peers_pb2_grpc as rpc
from marjoramspool.routers.convert import decode_admission, encode_admission_request, encode_grants
from marjoramspool.waits import wait_for_first

__all__ = ["FRAME_OVERHEAD_BYTES", "MAX_MESSAGE_BYTES", "Link", "channel_options"]

QUEUE_WAIT_MARGIN_S = 0.5
MAX_MESSAGE_BYTES = 4 << 20
# Header of an HTTP/2 frame (9 bytes) and length prefix of a gRPC message (5 bytes).
FRAME_OVERHEAD_BYTES = 14


def channel_options() -> list[tuple[str, int]]:
    """Return the options of all channels: no retries by gRPC, bounded message size."""
    return [
        ("grpc.enable_retries", 0),
        # Bandwidth-delay probes would take more bytes than the messages themselves.
        ("grpc.http2.bdp_probe", 0),
        ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
        ("grpc.initial_reconnect_backoff_ms", 100),
        ("grpc.max_reconnect_backoff_ms", 1000),
        ("grpc.use_local_subchannel_pool", 1),
    ]


class Link:
    """Channel to one peer, with the placement session on it."""

    __slots__ = (
        "bytes",
        "channel",
        "initial_grants",
        "last_number",
        "last_used",
        "local_name",
        "pending",
        "queued_events",
        "send_queue",
        "session_task",
        "stub",
    )

    def __init__(
        self,
        local_name: str,
        channel: grpc.aio.Channel,
        initial_grants: Callable[[], list[pb.Holdings]] = list,
    ):
        self.local_name = local_name
        self.initial_grants = initial_grants
        self.channel = channel
        self.stub = rpc.RoutersStub(channel)
        self.send_queue: asyncio.Queue = asyncio.Queue()
        self.pending: dict[int, asyncio.Future] = {}
        self.queued_events: dict[int, asyncio.Event] = {}
        self.last_number = 0
        self.bytes = 0
        self.last_used = time.monotonic()
        self.session_task: asyncio.Task | None = None

    def send(self, message: pb.PlaceRequest) -> None:
        """Queue a message for the session, opening a new session if none is running."""
        self.last_used = time.monotonic()
        if self.session_task is None or self.session_task.done():
            self.send_queue = asyncio.Queue()
            self.send_queue.put_nowait(pb.PlaceRequest(hello=self.local_name))
            for holdings in self.initial_grants():
                self.send_queue.put_nowait(pb.PlaceRequest(holdings=holdings))
            self.session_task = asyncio.create_task(self.run_session())
        self.send_queue.put_nowait(message)

    async def run_session(self) -> None:
        """Run the placement session until it ends, then fail the pending requests."""
        call = self.stub.Place(self.outgoing())
        try:
            async for reply in call:
                self.bytes += reply.ByteSize() + FRAME_OVERHEAD_BYTES
                self.handle_reply(reply)
        except grpc.RpcError:
            pass
        finally:
            call.cancel()
            self.fail_pending()

    async def outgoing(self) -> AsyncIterator[pb.PlaceRequest]:
        """Yield the queued messages of the session."""
        send_queue = self.send_queue
        while True:
            message = await send_queue.get()
            self.bytes += message.ByteSize() + FRAME_OVERHEAD_BYTES
            yield message

    def handle_reply(self, reply: pb.PlaceReply) -> None:
        """Apply a reply to the pending request with its number."""
        future = self.pending.get(reply.number)
        if reply.HasField("not_ready"):
            if future and not future.done():
                future.set_exception(
                    OwnerNotReadyError("the owner has no document of the service yet")
                )
            return
        decision = decode_admission(reply)
        if decision is None:
            if reply.number in self.queued_events:
                self.queued_events[reply.number].set()
        elif future and not future.done():
            future.set_result(decision)
        elif isinstance(decision, Granted):
            # The request was cancelled before its grant arrived, so the grant is released.
            self.send(pb.PlaceRequest(number=reply.number, cancel=pb.Cancel()))

    def fail_pending(self) -> None:
        """Fail all pending requests because the session has ended."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(
                    OwnerUnavailableError("the placement session ended before a decision")
                )

    async def request_admission(
        self, request: AdmissionRequest, answer_timeout_s: float
    ) -> Admission:
        """Request admission from the peer.

        Raise OwnerUnavailableError if neither a decision nor the notice that the request is queued
        arrives within `answer_timeout_s`.
        """
        self.last_number += 1
        number = self.last_number
        future = asyncio.get_running_loop().create_future()
        queued = asyncio.Event()
        self.pending[number] = future
        self.queued_events[number] = queued
        self.send(pb.PlaceRequest(number=number, ask=encode_admission_request(request)))
        try:
            return await self.await_decision(future, queued, answer_timeout_s, request.queue_wait_s)
        except BaseException:
            self.cancel_request(number, request, future)
            raise
        finally:
            del self.pending[number]
            del self.queued_events[number]

    async def await_decision(
        self,
        future: asyncio.Future,
        queued: asyncio.Event,
        answer_timeout_s: float,
        queue_wait_s: float,
    ) -> Admission:
        """Wait for a decision; a queued request may take its whole queue wait in addition."""
        queued_wait = asyncio.ensure_future(queued.wait())
        try:
            await wait_for_first([future, queued_wait], answer_timeout_s)
        finally:
            queued_wait.cancel()
        if not future.done() and queued.is_set():
            await wait_for_first([future], queue_wait_s + QUEUE_WAIT_MARGIN_S)
        if not future.done():
            raise OwnerUnavailableError(
                f"no decision from the owner (answer timeout {answer_timeout_s:g} s, "
                f"queue wait {queue_wait_s:g} s)"
            )
        return future.result()

    def cancel_request(
        self, number: int, request: AdmissionRequest, future: asyncio.Future
    ) -> None:
        """Cancel a request, or release its grant if it already has one."""
        if self.session_task is None or self.session_task.done():
            return
        if future.done() and not future.cancelled() and future.exception() is None:
            decision = future.result()
            if isinstance(decision, Granted):
                self.release(request.cell, decision.engine, request.account)
            return
        self.send(pb.PlaceRequest(number=number, cancel=pb.Cancel()))

    def release(self, cell: str, engine: str, account: str) -> None:
        """Release one attempt."""
        if self.session_task and not self.session_task.done():
            release = pb.Release(cell=cell, engine=engine, account=account)
            self.send(pb.PlaceRequest(release=release))

    def report_grants(self, cell: str, grants: dict[tuple[str, str], int]) -> None:
        """Report all grants in a cell to the peer; an empty report opens no session."""
        if grants or (self.session_task and not self.session_task.done()):
            self.send(pb.PlaceRequest(holdings=encode_grants(cell, grants)))

    async def close(self) -> None:
        """Close the session and the channel."""
        if self.session_task:
            self.session_task.cancel()
            await asyncio.gather(self.session_task, return_exceptions=True)
        await self.channel.close()
