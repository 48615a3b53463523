"""Attempts through another router leave nothing of an earlier attempt at an engine.

Guards against a stream through another router that goes on at the engine which was to copy the
memory of an earlier attempt of the same request.
"""

from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

from marjoramspool.attempt_history import AttemptHistory
from marjoramspool.attempts import WholeAnswer
from marjoramspool.clock import now
from marjoramspool.peer_attempts import PeerAttempts
from marjoramspool.requests import RoutedRequest


class OnePath:
    """One other router, which answers each request."""

    def select(self, service, exclude):
        return SimpleNamespace(address="127.0.0.2", in_flight=0)

    @asynccontextmanager
    async def open(self, request, peer, after_event, earlier_runs):
        yield WholeAnswer(200, [], b"")


async def test_the_run_of_an_earlier_attempt_is_forgotten():
    route = SimpleNamespace(is_retryable=False)
    at = now()
    request = RoutedRequest("r1", route, "model", None, "POST", "/x", [], b"", at, at + 5.0)
    history = AttemptHistory(placement=object(), backup=object(), run_began_at=at)
    async with AsyncExitStack() as stack:
        answer = await PeerAttempts(OnePath()).send(request, history, stack, None)
    assert answer.status == 200
    assert (history.placement, history.backup, history.run_began_at) == (None, None, None)
