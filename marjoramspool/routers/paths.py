"""Client side of paths through other routers: the requests that they serve for this one.

Nothing is run before a router has accepted a request and received its whole body, so that a router
that is frozen, gone or of the previous revision costs a request nothing but a short wait.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import grpc
import msgspec

from marjoramspool.answer_bodies import AnswerMemory
from marjoramspool.answer_grammar import is_head_sound
from marjoramspool.dispatch import Answer, Request, single_part
from marjoramspool.failures import (
    BrokenAnswerError,
    MayHaveRunError,
    NoPathError,
    NotSentError,
    PeerFailedError,
    PeerRefusedError,
)
from marjoramspool.membership import Member
from marjoramspool.outcomes import Problem
from marjoramspool.placement.bounded_placement import Holder
from marjoramspool.routers.link import channel_options
from marjoramspool.routers.path_messages import (
    CONNECT_METHOD,
    CONNECTED,
    SERVE_METHOD,
    SERVICE,
    Accepted,
    Alive,
    AnswerBody,
    AnswerEnd,
    AnswerStart,
    ConnectRequest,
    Declined,
    PathRequest,
    Refusal,
    RefusalKind,
    Reply,
    body_parts,
    decode_reply,
    encode,
)
from marjoramspool.routers.path_selection import PathSelection
from marjoramspool.services.client import filter_headers

__all__ = ["RouterPaths"]

MS = 1000.0
ACCEPT_TIMEOUT_S = 0.25
# Routers that try a connection to a target before it is ejected, and their time for it.
CONNECTING_ROUTERS = 2
CONNECT_TIMEOUT_S = 0.4
# A router that serves a request sends something more often than this.
SILENCE_TIMEOUT_S = 2.0
# The other router's own outcome at the deadline arrives within this time.
DEADLINE_MARGIN_S = 0.25
IDLE_CHANNEL_TIMEOUT_S = 30.0
# A channel that is not connected after this time leads to a router that cannot be reached.
MAX_CONNECT_TIME_S = 1.0


class BrokenPathError(Exception):
    """The call ended, or the other router went silent; `is_unsupported` if it has no such call."""

    def __init__(self, why: str, is_unsupported: bool = False):
        super().__init__(why)
        self.is_unsupported = is_unsupported


class RouterPaths:
    """Routers that serve requests for this one; use as an async context manager.

    The channels are others than those of the placement sessions, which are closed when a probe
    fails.
    """

    __slots__ = ("channels", "created_at", "credentials", "last_used", "memory", "selection")

    def __init__(self, selection: PathSelection, credentials: grpc.ChannelCredentials | None):
        self.selection = selection
        self.credentials = credentials
        self.memory = AnswerMemory()
        self.channels: dict[str, grpc.aio.Channel] = {}
        self.created_at: dict[str, float] = {}
        self.last_used: dict[str, float] = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        channels = list(self.channels.values())
        self.channels.clear()
        await asyncio.gather(*[channel.close() for channel in channels])

    def select(self, service: str, exclude: set[str]) -> Member | None:
        """Return the router to send a request through, None if there is none."""
        return self.selection.select(service, exclude)

    def channel(self, peer: Member) -> grpc.aio.Channel:
        """Return the channel to a router, created at first use."""
        self.last_used[peer.address] = time.monotonic()
        if peer.address not in self.channels:
            self.created_at[peer.address] = time.monotonic()
            options = channel_options()
            self.channels[peer.address] = (
                grpc.aio.secure_channel(peer.address, self.credentials, options)
                if self.credentials
                else grpc.aio.insecure_channel(peer.address, options)
            )
        return self.channels[peer.address]

    def is_connecting(self, peer: Member) -> bool:
        """Return whether the channel to a router is new and not connected yet.

        Load pattern: all requests of a router that has just lost its path open the same channels.
        That these take longer to connect than a request waits does not make the others unreachable.
        """
        age_s = time.monotonic() - self.created_at[peer.address]
        state = self.channel(peer).get_state()
        return state is not grpc.ChannelConnectivity.READY and age_s < MAX_CONNECT_TIME_S

    async def close_idle_channels(self) -> None:
        """Close the channels that have no request and were not used lately."""
        oldest = time.monotonic() - IDLE_CHANNEL_TIMEOUT_S
        busy = {
            member.address
            for member in self.selection.membership.members.values()
            if self.selection.outstanding[member.name]
        }
        for address, used_at in list(self.last_used.items()):
            if used_at < oldest and address not in busy:
                del self.last_used[address]
                await self.channels.pop(address).close()

    async def is_reached_by_others(self, service: str, target: str) -> bool:
        """Return whether another router can connect to a target, by asking a few."""
        peers = self.selection.membership.live_peers()
        asked = random.sample(peers, min(CONNECTING_ROUTERS, len(peers)))
        return any(
            await asyncio.gather(*[self.can_connect(peer, service, target) for peer in asked])
        )

    async def can_connect(self, peer: Member, service: str, target: str) -> bool:
        """Return whether a router can connect to a target; False if it does not answer."""
        connect = self.channel(peer).unary_unary(f"/{SERVICE}/{CONNECT_METHOD}")
        request = encode(ConnectRequest(service, target))
        try:
            reply = await translated(connect(request, timeout=CONNECT_TIMEOUT_S))
        except BrokenPathError:
            return False
        return reply == CONNECTED

    @asynccontextmanager
    async def open(self, request: Request, peer: Member, version: int, reaches_some: bool):
        """Send a request through another router and yield its answer.

        Raise NotSentError, NoPathError, PeerRefusedError, PeerFailedError or MayHaveRunError.
        """
        message = path_request(request, version, reaches_some)
        method = f"/{SERVICE}/{SERVE_METHOD}"
        self.selection.outstanding[peer.name] += 1
        call = self.channel(peer).stream_stream(method)()
        try:
            await self.begin(call, message, peer)
            await send_body(call, request, peer)
            yield await self.read_answer(call, request, peer)
        finally:
            call.cancel()
            self.selection.outstanding[peer.name] -= 1

    async def begin(self, call, message: PathRequest, peer: Member) -> None:
        """Have a router accept a request; raise NotSentError or NoPathError if it does not."""
        timeout_s = min(ACCEPT_TIMEOUT_S, message.remaining_ms / MS)
        try:
            async with asyncio.timeout(timeout_s):
                await write(call, encode(message))
                reply = await next_reply(call)
        except BrokenPathError as error:
            if error.is_unsupported:
                self.selection.record_unsupported(peer)
            else:
                self.selection.record_unreachable(peer)
            raise NotSentError(f"router {peer.name} accepted no request: {error}") from error
        except TimeoutError as error:
            if timeout_s == ACCEPT_TIMEOUT_S and not self.is_connecting(peer):
                self.selection.record_unreachable(peer)
            raise NotSentError(
                f"router {peer.name} accepted no request within {timeout_s:g} s"
            ) from error
        match reply:
            case Accepted(in_flight):
                self.selection.record_accepted(peer, in_flight)
            case Declined(is_without_path):
                if is_without_path:
                    self.selection.record_without_path(peer, message.service)
                else:
                    self.selection.record_unreachable(peer)
                raise NoPathError(f"router {peer.name} has no path or no room")
            case _:
                self.selection.record_unreachable(peer)
                raise NotSentError(f"router {peer.name} sent messages out of order")

    async def read_answer(self, call, request: Request, peer: Member) -> Answer:
        """Return an answer once it has begun, one of known length at its end."""
        latest = request.deadline + DEADLINE_MARGIN_S - time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, latest)):
                start = await next_content(call)
                match start:
                    case Refusal():
                        raise self.refusal_error(start, request, peer)
                    case AnswerStart(status, headers, length, holders):
                        if not is_head_sound(status, headers):
                            why = f"router {peer.name} passed on what is no answer"
                            raise MayHaveRunError(why)
                        known_holders = tuple(Holder(*holder) for holder in holders)
                        parts = answer_parts(call, peer)
                        if length is not None:
                            body = await self.read_whole(parts)
                            if len(body) != length:
                                raise BrokenAnswerError("the body is not as long as announced")
                            parts = single_part(body)
                        return Answer(status, dict(headers), parts, length, known_holders)
        except (BrokenPathError, BrokenAnswerError) as error:
            raise MayHaveRunError(f"router {peer.name} gave no whole answer: {error}") from error
        except TimeoutError as error:
            raise MayHaveRunError(f"router {peer.name} did not answer in time") from error
        raise MayHaveRunError(f"router {peer.name} sent messages out of order")

    async def read_whole(self, parts: AsyncIterator[bytes]) -> bytes:
        """Return a whole body; raise MayHaveRunError if it is too long."""
        received = bytearray()
        reserved = 0
        try:
            async for part in parts:
                received += part
                self.memory.reserve(len(received), len(part))
                reserved = len(received)
        finally:
            self.memory.used_bytes -= reserved
        return bytes(received)

    def refusal_error(
        self, refusal: Refusal, request: Request, peer: Member
    ) -> NoPathError | PeerRefusedError | PeerFailedError:
        """Return the error for an accepted request that got no answer."""
        problem = Problem(refusal.status, refusal.title, refusal.remedy, refusal.retry_after_s)
        match refusal.kind:
            case RefusalKind.NO_PATH:
                self.selection.record_without_path(peer, request.document.name)
                return NoPathError(f"router {peer.name}: {refusal.title}")
            case RefusalKind.NOT_RUN:
                return PeerRefusedError(problem)
        return PeerFailedError(problem)


def path_request(request: Request, version: int, reaches_some: bool) -> PathRequest:
    """Return the message for a request."""
    headers = filter_headers(request.headers)
    return PathRequest(
        id=request.id,
        service=request.document.name,
        version=version,
        account=request.account.name,
        urgency=request.urgency,
        method=request.method,
        path=request.path,
        headers=tuple((str(name), str(value)) for name, value in headers.items()),
        body_bytes=len(request.body),
        remaining_ms=max(1, int((request.deadline - time.monotonic()) * MS)),
        parts=request.parts,
        chat=request.chat,
        holders=tuple((holder.engine, holder.incarnation) for holder in request.holders),
        idempotency_key=request.key,
        is_non_idempotent=request.is_non_idempotent,
        is_stream=request.is_stream,
        is_first_turn=request.is_first_turn,
        reaches_some=reaches_some,
    )


async def send_body(call, request: Request, peer: Member) -> None:
    """Send a body; raise NotSentError if the last part was not sent, else MayHaveRunError."""
    for part in body_parts(request.body):
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                await write(call, encode(part))
        except (BrokenPathError, TimeoutError) as error:
            kind = MayHaveRunError if part.is_last else NotSentError
            raise kind(f"router {peer.name} did not take the request") from error


async def answer_parts(call, peer: Member) -> AsyncIterator[bytes]:
    """Yield the parts of an answer; raise BrokenAnswerError if it breaks off."""
    try:
        while True:
            match await next_content(call):
                case AnswerBody(data):
                    yield data
                case AnswerEnd():
                    return
                case Refusal() as refusal:
                    raise BrokenAnswerError(refusal.title)
                case _:
                    raise BrokenAnswerError(f"router {peer.name} sent messages out of order")
    except BrokenPathError as error:
        raise BrokenAnswerError(f"router {peer.name} broke off: {error}") from error


async def next_content(call) -> Reply:
    """Return the next reply that is no mere sign of life; raise BrokenPathError."""
    while True:
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT_S) as silence:
                reply = await next_reply(call)
        except TimeoutError as error:
            if not silence.expired():
                raise
            raise BrokenPathError(f"silent for {SILENCE_TIMEOUT_S:g} s") from error
        if not isinstance(reply, Alive):
            return reply


async def next_reply(call) -> Reply:
    """Return the next reply; raise BrokenPathError if there is none."""
    data = await translated(call.read())
    if data is grpc.aio.EOF:
        raise BrokenPathError("the call ended")
    try:
        return decode_reply(data)
    except msgspec.MsgspecError as error:
        raise BrokenPathError(f"unreadable reply: {error}") from error


async def write(call, data: bytes) -> None:
    """Write a message; raise BrokenPathError if the call has ended."""
    await translated(call.write(data))


async def translated(operation):
    """Return the result of an operation on a call; raise BrokenPathError if the call has failed."""
    try:
        return await operation
    except grpc.RpcError as error:
        is_unsupported = error.code() is grpc.StatusCode.UNIMPLEMENTED
        raise BrokenPathError(str(error.code()), is_unsupported) from error
    except asyncio.InvalidStateError as error:
        raise BrokenPathError(str(error)) from error
    except asyncio.CancelledError:
        # gRPC raises this also if the channel is closed during the call.
        if asyncio.current_task().cancelling():
            raise
        raise BrokenPathError("the channel was closed") from None
