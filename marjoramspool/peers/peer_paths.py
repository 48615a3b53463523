"""Paths to engines through other routers: which one to use, and the requests sent there."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp

from marjoramspool.answer_bodies import AnswerMemory
from marjoramspool.answer_grammar import is_head_sound
from marjoramspool.attempts import StreamAnswer, WholeAnswer
from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.failure_causes import describe_cause
from marjoramspool.failures import (
    MayHaveRunError,
    NoPathError,
    NotSentError,
    PeerFailedError,
    PeerRefusedError,
    ResetError,
)
from marjoramspool.http import new_session
from marjoramspool.keepalive import keepalive_socket
from marjoramspool.outcomes import Problem
from marjoramspool.peers.directory import Directory, Peer
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
    encoder,
    plain_headers,
    read_frames,
)
from marjoramspool.peers.messages import service_id
from marjoramspool.peers.peer_selection import select_peer
from marjoramspool.requests import RoutedRequest
from marjoramspool.streams.event_stream import StreamEvent

__all__ = ["REQUESTS_PATH", "PeerPaths"]

REQUESTS_PATH = "/requests"
MS = 1000.0
CONNECT_TIMEOUT_S = 0.25
POOL_IDLE_TIMEOUT_S = 3.0
# A router that could not be reached, or has no path itself, is passed over for this long.
AVOIDED_S = 1.0
# Requests that this router has at another one at a time.
MAX_OUTSTANDING = 64


class PeerPaths:
    """Routers that serve requests for this one, and the connections to them.

    Use as an async context manager. `table_version` returns the version of this router's routes.
    """

    __slots__ = (
        "avoided_until",
        "directory",
        "fresh",
        "memory",
        "outstanding",
        "pooled",
        "port",
        "random",
        "table_version",
    )

    def __init__(self, directory: Directory, port: int, table_version: Callable[[], int]):
        self.directory = directory
        self.port = port
        self.table_version = table_version
        self.memory = AnswerMemory()
        self.outstanding: Counter[str] = Counter()
        self.avoided_until: dict[str, float] = {}
        self.random = random.Random()

    async def __aenter__(self):
        self.pooled = new_session(
            CONNECT_TIMEOUT_S, socket_factory=keepalive_socket, idle_timeout_s=POOL_IDLE_TIMEOUT_S
        )
        self.fresh = new_session(
            CONNECT_TIMEOUT_S, keep_alive=False, socket_factory=keepalive_socket
        )
        return self

    async def __aexit__(self, *details):
        await self.pooled.close()
        await self.fresh.close()

    def load(self, peer: Peer) -> int:
        """Return the requests that a router has, as far as this one knows."""
        return peer.in_flight + self.outstanding[peer.address]

    def select(self, service: str, exclude: set[str]) -> Peer | None:
        """Return the router to send a request through, None if there is none.

        It reaches the service by its own report, and its routes are no older than here. Routers of
        the own failure domain are preferred, and among them the less loaded one.
        """
        now_s = now()
        service_key = service_id(service)
        usable = [
            peer
            for peer in self.directory.live_peers()
            if peer.takes_forwarded
            and service_key not in peer.cut_off
            and peer.table_version >= self.table_version()
            and peer.address not in exclude
            and self.avoided_until.get(peer.address, 0.0) <= now_s
            and self.outstanding[peer.address] < MAX_OUTSTANDING
        ]
        near = [peer for peer in usable if peer.domain == self.directory.domain]
        far = [peer for peer in usable if peer.domain != self.directory.domain]
        return select_peer(near, far, self.load, self.random)

    def avoid(self, address: str) -> None:
        """Pass a router over for a time."""
        self.avoided_until[address] = now() + AVOIDED_S

    @asynccontextmanager
    async def open(
        self, request: RoutedRequest, peer: Peer, after_event: int | None, earlier_runs: int
    ):
        """Send a request through another router and yield the answer.

        Raise NotSentError, NoPathError, PeerRefusedError or MayHaveRunError.
        """
        self.outstanding[peer.address] += 1
        try:
            response = await self.send(request, peer, after_event, earlier_runs)
            try:
                frames = checked_frames(read_frames(response.content), peer)
                yield await read_answer(frames, peer)
            finally:
                response.close()
        except (NotSentError, NoPathError):
            self.avoid(peer.address)
            raise
        finally:
            self.outstanding[peer.address] -= 1

    async def send(
        self, request: RoutedRequest, peer: Peer, after_event: int | None, earlier_runs: int
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its head is received."""
        # A reused connection may break while a request is written, which leaves open whether it
        # ran.
        session = self.pooled if request.route.is_retryable else self.fresh
        data = encoder.encode(forwarded(request, after_event, earlier_runs))
        url = f"http://{peer.address}:{self.port}{REQUESTS_PATH}"
        try:
            response = await session.post(url, data=data, allow_redirects=False)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            why = f"no connection to another router: {describe_cause(error)}"
            raise NotSentError(why) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ResetError(f"another router gave no answer: {describe_cause(error)}") from error
        if response.status != 200:
            response.close()
            raise NoPathError(f"another router answered {response.status}")
        return response


def forwarded(
    request: RoutedRequest, after_event: int | None, earlier_runs: int
) -> ForwardedRequest:
    """Return the message for a request; one of which events arrived names what began it."""
    prompt = request.prompt
    first_request = request.first_request
    if first_request is None and after_event is not None and request.after_event is None:
        first_request = request.id
    return ForwardedRequest(
        id=request.id,
        host=request.host,
        account=request.account.name if request.account else None,
        method=request.method,
        path=request.path,
        headers=plain_headers(request.headers),
        body=request.body,
        remaining_ms=max(1, int(request.remaining_s() * MS)),
        prompt=prompt
        and ForwardedPrompt(
            prompt.model,
            prompt.input_tokens,
            prompt.output_tokens,
            tuple((part.id, part.tokens) for part in prompt.parts),
        ),
        after_event=after_event,
        first_request=first_request,
        earlier_runs=earlier_runs,
    )


async def checked_frames(frames: AsyncIterator[Frame], peer: Peer) -> AsyncIterator[Frame]:
    """Yield frames; raise MayHaveRunError if they break off."""
    try:
        async for frame in frames:
            yield frame
    except (aiohttp.ClientError, asyncio.IncompleteReadError, OSError, ValueError) as error:
        log(Event.PEER_UNREADABLE, address=peer.address, fault=repr(error))
        raise MayHaveRunError(f"another router broke off: {describe_cause(error)}") from error


async def read_answer(frames: AsyncIterator[Frame], peer: Peer) -> WholeAnswer | StreamAnswer:
    """Return an answer once it has begun, a whole one at its end."""
    head = await anext(frames)
    match head:
        case Refusal():
            raise refusal_error(head)
        case AnswerHead(status, headers, is_stream):
            if not is_head_sound(status, headers):
                raise MayHaveRunError("another router passed on what is no answer")
            if is_stream:
                return StreamAnswer(status, list(headers), stream_events(frames))
            body = await anext(frames)
            if isinstance(body, AnswerBody):
                return WholeAnswer(status, list(headers), body.data)
    log(Event.PEER_UNREADABLE, address=peer.address, fault="frames out of order")
    raise MayHaveRunError("another router sent frames out of order")


async def stream_events(frames: AsyncIterator[Frame]) -> AsyncIterator[StreamEvent]:
    """Yield the events of a stream; raise MayHaveRunError if it breaks off."""
    async for frame in frames:
        match frame:
            case AnswerEvent(event_id, raw):
                yield StreamEvent(event_id, raw)
            case AnswerEnd():
                return
            case _:
                raise MayHaveRunError("another router sent frames out of order")


def refusal_error(refusal: Refusal) -> NoPathError | PeerRefusedError | PeerFailedError:
    """Return the error for a refusal."""
    problem = Problem(refusal.status, refusal.title, refusal.remedy, refusal.retry_after_s)
    match refusal.kind:
        case RefusalKind.NO_PATH:
            return NoPathError(refusal.title)
        case RefusalKind.NOT_RUN:
            return PeerRefusedError(problem)
    return PeerFailedError(problem)
