"""What the attempts of a router may expect of their targets, and the record of what they got."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.placement.attempt_patience import (
    RECHECK_S,
    REMAINING_RATIO,
    Outlook,
    further_wait_s,
)
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.placement.expected_time import expected_factor
from marjoramspool.placement.placements import Placement

__all__ = ["AttemptOutlook", "attempt_limit"]

# Other targets that are compared as places for a second attempt.
MAX_RETRY_TARGETS = 32


class AttemptOutlook:
    """Expectations of attempts at the engines of services that are placed by time."""

    __slots__ = ("selector",)

    def __init__(self, selector: EngineSelector):
        self.selector = selector

    def is_known(self, service: str) -> bool:
        """Return whether the answer times of a service are known."""
        selector = self.selector
        return selector.is_placed_by_time(service) and bool(selector.answer_times.usual(service))

    def further_wait_s(
        self, placement: Placement, tried: set[str], is_retry_allowed: bool, remaining_s: float
    ) -> float:
        """Return for how long an attempt goes on waiting, 0 if it is to be given up."""
        engine = placement.engine
        usual = self.selector.answer_times.usual(engine.service)
        if usual is None:
            return min(remaining_s, RECHECK_S)
        slowness = self.selector.slowness(engine)
        queued = self.used_at_placement(placement)
        factor = expected_factor(queued, slowness)
        elsewhere_s = math.inf
        if is_retry_allowed:
            elsewhere_s = usual.mean_s * self.elsewhere_factor(engine.service, tried)
        outlook = Outlook(usual.mean_s * factor, usual.spread_s * factor, elsewhere_s)
        return further_wait_s(outlook, now() - placement.placed_at, remaining_s)

    def used_at_placement(self, placement: Placement) -> float:
        """Return the requests over the slots of an engine when a request was placed there."""
        candidate = placement.choice.engine
        return (candidate.load.requests + 1) / candidate.slots

    def elsewhere_factor(self, service: str, tried: set[str]) -> float:
        """Return the time of an answer at the best other engine in usual times, maybe infinite."""
        selector = self.selector
        others = [
            engine
            for engine in selector.engines.usable(service)
            if engine.id not in tried and not selector.pauses.is_paused(engine)
        ][:MAX_RETRY_TARGETS]
        not_ejected = selector.outliers.exclude_ejected(engine.id for engine in others)
        usable = [engine for engine in others if engine.id in not_ejected]
        return min(map(self.current_factor, usable), default=math.inf)

    def current_factor(self, engine: Engine) -> float:
        """Return the time of an answer at an engine, in usual times, if it is sent now."""
        selector = self.selector
        used = (selector.loads.requests(engine.id) + 1) / selector.speeds.slots_of(engine)
        return expected_factor(used, selector.slowness(engine))

    def record_answer(self, placement: Placement, waited_s: float) -> None:
        """Record the time until an answer of a service that is placed by time."""
        selector = self.selector
        engine = placement.engine
        if selector.is_placed_by_time(engine.service):
            used = self.used_at_placement(placement)
            before = expected_factor(used, placement.choice.engine.slowness)
            after = expected_factor(used, selector.slowness(engine))
            selector.answer_times.record(engine, waited_s, before, after)

    def record_abandoned(self, placement: Placement) -> None:
        """Record an attempt that was given up."""
        selector = self.selector
        engine = placement.engine
        if selector.is_placed_by_time(engine.service):
            slowness = max(placement.choice.engine.slowness, selector.slowness(engine))
            used = self.used_at_placement(placement)
            waited_s = now() - placement.placed_at
            if usual := selector.answer_times.usual(engine.service):
                expected_s = usual.mean_s * expected_factor(used, 1.0)
                taken_s = (1.0 + REMAINING_RATIO) * waited_s
                selector.speeds.record_overdue(engine, taken_s / expected_s)
            factor = expected_factor(used, slowness)
            selector.answer_times.record_abandoned(engine, waited_s, factor)


@asynccontextmanager
async def attempt_limit(
    limit_s: float, further_wait_s: Callable[[], float] | None = None
) -> AsyncIterator[None]:
    """Limit a block to a time; with `further_wait_s`, until that returns 0.

    It is called again after each time that it returns, in seconds. Raise TimeoutError.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.TimerHandle | None = None
    async with asyncio.timeout(limit_s) as limit:

        def check() -> None:
            nonlocal handle
            wait_s = further_wait_s()
            if wait_s > 0.0:
                handle = loop.call_later(wait_s, check)
            elif not limit.expired():
                limit.reschedule(loop.time())

        if further_wait_s:
            handle = loop.call_later(RECHECK_S, check)
        try:
            yield
        finally:
            if handle:
                handle.cancel()
