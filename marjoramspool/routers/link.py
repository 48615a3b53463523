"""Client side of one peer: its channel and the placement session on it."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

import grpc

from marjoramspool.admission_control import OwnerNotReadyError, OwnerUnavailableError
from marjoramspool.admission_messages import Admission, AdmissionRequest, Granted
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers import peers_pb2_grpc as rpc
from marjoramspool.routers.convert import admission_from, ask_to, holdings_to

__all__ = ["FRAME_BYTES", "MESSAGE_BYTES", "Link", "channel_options"]

QUEUED_MARGIN_S = 0.5
MESSAGE_BYTES = 4 << 20
FRAME_BYTES = 14


def channel_options() -> list[tuple[str, int]]:
    """Return the options of all channels: no retries behind our back, bounded messages."""
    return [
        ("grpc.enable_retries", 0),
        # Bandwidth probes would cost more bytes than the messages themselves.
        ("grpc.http2.bdp_probe", 0),
        ("grpc.max_receive_message_length", MESSAGE_BYTES),
        ("grpc.initial_reconnect_backoff_ms", 100),
        ("grpc.max_reconnect_backoff_ms", 1000),
        ("grpc.use_local_subchannel_pool", 1),
    ]


class Link:
    """Hold the channel to one peer and the placement session on it."""

    __slots__ = (
        "answers",
        "bytes",
        "channel",
        "greet",
        "me",
        "numbers",
        "outbox",
        "queued",
        "stub",
        "task",
        "used",
    )

    def __init__(
        self,
        me: str,
        channel: grpc.aio.Channel,
        greet: Callable[[], list[pb.Holdings]] = list,
    ):
        self.me = me
        self.greet = greet
        self.channel = channel
        self.stub = rpc.RoutersStub(channel)
        self.outbox: asyncio.Queue = asyncio.Queue()
        self.answers: dict[int, asyncio.Future] = {}
        self.queued: dict[int, asyncio.Event] = {}
        self.numbers = 0
        self.bytes = 0
        self.used = time.monotonic()
        self.task: asyncio.Task | None = None

    def send(self, message: pb.PlaceRequest) -> None:
        """Queue a message for the session, opening it if need be."""
        self.used = time.monotonic()
        if self.task is None or self.task.done():
            self.outbox = asyncio.Queue()
            self.outbox.put_nowait(pb.PlaceRequest(hello=self.me))
            for holdings in self.greet():
                self.outbox.put_nowait(pb.PlaceRequest(holdings=holdings))
            self.task = asyncio.create_task(self.converse())
        self.outbox.put_nowait(message)

    async def converse(self) -> None:
        """Run the placement session until it breaks."""
        call = self.stub.Place(self.outgoing())
        try:
            async for reply in call:
                self.bytes += reply.ByteSize() + FRAME_BYTES
                self.take(reply)
        except grpc.RpcError:
            pass
        finally:
            call.cancel()
            self.fail_all()

    async def outgoing(self) -> AsyncIterator[pb.PlaceRequest]:
        """Yield the messages of the session."""
        outbox = self.outbox
        while True:
            message = await outbox.get()
            self.bytes += message.ByteSize() + FRAME_BYTES
            yield message

    def take(self, reply: pb.PlaceReply) -> None:
        """Give one reply to the ask that waits for it."""
        answer = self.answers.get(reply.number)
        if reply.HasField("not_ready"):
            if answer and not answer.done():
                answer.set_exception(OwnerNotReadyError("the owner does not know the service yet"))
            return
        decision = admission_from(reply)
        if decision is None:
            if reply.number in self.queued:
                self.queued[reply.number].set()
        elif answer and not answer.done():
            answer.set_result(decision)
        elif isinstance(decision, Granted):
            # The ask was abandoned before its grant came: give the grant back.
            self.send(pb.PlaceRequest(number=reply.number, cancel=pb.Cancel()))

    def fail_all(self) -> None:
        """Fail every ask that waits: the session broke."""
        for answer in self.answers.values():
            if not answer.done():
                answer.set_exception(OwnerUnavailableError("the placement session broke"))

    async def place(self, ask: AdmissionRequest, answer_s: float) -> Admission:
        """Ask the peer; raise OwnerUnavailableError if no sign of it comes within `answer_s`."""
        self.numbers += 1
        number = self.numbers
        answer = asyncio.get_running_loop().create_future()
        queued = asyncio.Event()
        self.answers[number] = answer
        self.queued[number] = queued
        self.send(pb.PlaceRequest(number=number, ask=ask_to(ask)))
        try:
            return await self.await_answer(answer, queued, answer_s, ask.wait_s)
        except BaseException:
            self.abandon(number, ask, answer)
            raise
        finally:
            del self.answers[number]
            del self.queued[number]

    async def await_answer(
        self, answer: asyncio.Future, queued: asyncio.Event, answer_s: float, wait_s: float
    ) -> Admission:
        """Wait for a decision; once the ask is queued, for as long as it may wait there."""
        sign = asyncio.ensure_future(queued.wait())
        try:
            await asyncio.wait([answer, sign], timeout=answer_s, return_when="FIRST_COMPLETED")
        finally:
            sign.cancel()
        if not answer.done() and queued.is_set():
            await asyncio.wait([answer], timeout=wait_s + QUEUED_MARGIN_S)
        if not answer.done():
            raise OwnerUnavailableError(f"the owner did not answer within {answer_s:g} s")
        return answer.result()

    def abandon(self, number: int, ask: AdmissionRequest, answer: asyncio.Future) -> None:
        """Withdraw an ask; give its grant back if it has one already."""
        if self.task is None or self.task.done():
            return
        if answer.done() and not answer.cancelled() and answer.exception() is None:
            decision = answer.result()
            if isinstance(decision, Granted):
                self.release(ask.cell, decision.engine, ask.account)
            return
        self.send(pb.PlaceRequest(number=number, cancel=pb.Cancel()))

    def release(self, cell: str, engine: str, account: str) -> None:
        """Give back one attempt."""
        if self.task and not self.task.done():
            release = pb.Release(cell=cell, engine=engine, account=account)
            self.send(pb.PlaceRequest(release=release))

    def hold(self, cell: str, holds: dict[tuple[str, str], int]) -> None:
        """Tell the peer all that this router holds in a cell."""
        if holds or (self.task and not self.task.done()):
            self.send(pb.PlaceRequest(holdings=holdings_to(cell, holds)))

    async def close(self) -> None:
        """Close the session and the channel."""
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.channel.close()
