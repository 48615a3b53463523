"""Attempts through other routers, for a router that reaches no engine of a service itself."""

import asyncio
from contextlib import AsyncExitStack
from typing import Protocol

from marjoramspool.attempt_history import AttemptHistory
from marjoramspool.attempts import StreamAnswer, WholeAnswer, continuation, wait_for_first_event
from marjoramspool.events import Event, log
from marjoramspool.failures import (
    AttemptError,
    MayHaveRunError,
    NoPathError,
    NotSentError,
    PeerRefusedError,
)
from marjoramspool.requests import RoutedRequest

__all__ = ["MAX_PEERS", "PeerAttempts", "PeerPathSource"]

# Routers that one request is sent through, one after the other.
MAX_PEERS = 3
# The other router makes further attempts itself before this one tries a third.
EXTRA_TIMEOUT_S = 0.5


class PeerPathSource(Protocol):
    """Routers that serve requests for this one."""

    def select(self, service: str, exclude: set[str]):
        """Return the router to send a request through, None if there is none."""

    def open(self, request: RoutedRequest, peer, after_event: int | None, earlier_runs: int):
        """Send a request through another router and yield the answer."""


class PeerAttempts:
    """Sender of requests through other routers."""

    __slots__ = ("paths",)

    def __init__(self, paths: PeerPathSource):
        self.paths = paths

    async def send(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        after_event: int | None,
    ) -> WholeAnswer | StreamAnswer | AttemptError | None:
        """Send one attempt through the best router; None if there is none left.

        The stack owns its connection.
        """
        if len(history.tried_peers) >= MAX_PEERS:
            return None
        peer = self.paths.select(request.service, history.tried_peers)
        if peer is None:
            return None
        history.tried_peers.add(peer.address)
        history.forget_run()
        earlier_runs = request.earlier_runs + history.possible_runs
        history.attempts_started += 1
        history.possible_runs += 1
        log(
            Event.REQUEST_FORWARDED,
            request=request.id,
            router=peer.address,
            attempt=history.attempts_started,
            after=after_event,
            load=peer.in_flight,
            left_s=round(request.remaining_s(), 3),
        )
        try:
            async with asyncio.timeout(self.timeout_s(request)):
                opening = self.paths.open(request, peer, after_event, earlier_runs)
                answer = continuation(await stack.enter_async_context(opening), after_event)
                if isinstance(answer, StreamAnswer):
                    answer.events = await wait_for_first_event(answer.events, stack)
                return answer
        except (NotSentError, NoPathError, PeerRefusedError) as error:
            history.possible_runs -= 1
            return error
        except AttemptError as error:
            return error
        except TimeoutError:
            return MayHaveRunError("another router did not answer before its timeout")

    def timeout_s(self, request: RoutedRequest) -> float:
        """Return the time to wait for the start of an answer."""
        remaining_s = max(0.0, request.remaining_s())
        if not request.route.is_retryable:
            return remaining_s
        return min(remaining_s, request.route.latency_target_s + EXTRA_TIMEOUT_S)
