"""Checks of an engine's answer: whose it is, whether it may be passed on, and what it asks for."""

import math

import aiohttp

from marjoramspool.attempts import SUCCESS_STATUSES
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log
from marjoramspool.failures import DisplacedError, MayHaveRunError, TargetRefusedError
from marjoramspool.requests import RoutedRequest

__all__ = ["check_content", "check_executed", "check_identity", "requested_pause_s"]

# Clients infer from these statuses that the request did not run, so they are not passed on from an
# engine that may have run it.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503


def requested_pause_s(engine: Engine, response: aiohttp.ClientResponse) -> float:
    """Return the pause that a refusal asks for, in seconds; 0 if none or if it is malformed."""
    text = response.headers.get("Retry-After")
    if text is None or response.status != HTTP_UNAVAILABLE:
        return 0.0
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if math.isfinite(pause_s):
        return pause_s
    log(Event.ATTEMPT_FAILED, target=engine.id, why=f"malformed Retry-After: {text!r}")
    return 0.0


def check_identity(
    request: RoutedRequest, engine: Engine, response: aiohttp.ClientResponse, is_reused: bool
) -> None:
    """Check that an answer belongs to the request; raise MayHaveRunError if it does not."""
    echoed = response.headers.get("X-Request-Id")
    if echoed != request.id and (
        echoed is not None or is_reused or response.status in SUCCESS_STATUSES
    ):
        log(Event.ANSWER_REJECTED, request=request.id, engine=engine.id, echoed=echoed)
        raise MayHaveRunError(f"engine {engine.id} answered another request")


def check_content(engine: Engine, response: aiohttp.ClientResponse) -> None:
    """Check that an answer is the engine's own; raise DisplacedError or MayHaveRunError."""
    if response.status == HTTP_MISDIRECTED:
        raise DisplacedError(f"the address of engine {engine.id} belongs to another")
    if "X-Not-Executed" in response.headers:
        return
    if "Content-Encoding" in response.headers:
        raise MayHaveRunError(f"engine {engine.id} sent an encoded answer")
    if response.status in SUCCESS_STATUSES and "X-Response-Signature" not in response.headers:
        raise MayHaveRunError(f"the answer of engine {engine.id} has no signature")


def check_executed(engine: Engine, response: aiohttp.ClientResponse) -> None:
    """Check that an answer is no refusal; raise TargetRefusedError or MayHaveRunError."""
    if "X-Not-Executed" in response.headers:
        raise TargetRefusedError(f"engine {engine.id} refused with {response.status}")
    if response.status in NOT_EXECUTED_STATUSES:
        raise MayHaveRunError(
            f"engine {engine.id} sent an unusable answer, status {response.status}"
        )
