"""The life of a routed request: attempts, repeats, resumption, outcome."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from marjoramspool.attempts import Attempt, EngineClient, StreamAnswer, WholeAnswer, first_event
from marjoramspool.bounds import Bounds
from marjoramspool.clock import now
from marjoramspool.engine_list import Engine
from marjoramspool.engine_selector import EngineSelector, Placement
from marjoramspool.event_stream import StreamEvent
from marjoramspool.events import Event, log
from marjoramspool.failures import (
    AttemptError,
    BrokenAnswerError,
    DisplacedError,
    MayHaveRunError,
    NotSentError,
    ResetError,
    TargetRefusedError,
)
from marjoramspool.load_shedding import Shed
from marjoramspool.metrics import Metrics
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.queue_rank import RESUMED_RANK
from marjoramspool.requests import RoutedRequest
from marjoramspool.retries import SharedRetries

__all__ = ["Forwarding"]

RETRY_SOON_S = 0.1
SERVER_ERROR = 500
# A repeatable request is tried elsewhere while an answer can still meet its latency target.
PATIENCE_TARGETS = 0.65
# An engine that has much to read is given the time for it.
READ_TOKENS_A_S = 40_000
LEAST_LEFT_S = 0.02


@dataclass(slots=True)
class Tries:
    """Track the attempts of one request."""

    exclude: set[str] = field(default_factory=set)
    runs: int = 0
    arrivals: int = 0
    problem: Problem = Problem(503, "no engine is usable", "send it again", RETRY_SOON_S)

    def note_not_run(self, error: AttemptError) -> None:
        """Record an attempt that has not run; one before it may have."""
        if not self.runs:
            self.problem = Problem(503, str(error), "send it again", RETRY_SOON_S)


class Forwarding:
    """Serve routed requests; every answer is whole, and every failure says whether it ran."""

    __slots__ = ("bounds", "selector", "client", "metrics", "retries", "routers")

    def __init__(
        self,
        selector: EngineSelector,
        client: EngineClient,
        bounds: Bounds,
        routers: Callable[[], int],
        metrics: Metrics,
    ):
        self.metrics = metrics
        self.selector = selector
        self.client = client
        self.bounds = bounds
        self.routers = routers
        self.retries: dict[str, SharedRetries] = {}

    def budget(self, service: str) -> SharedRetries:
        """Return the budget of repeats to a service."""
        if service not in self.retries:
            bounds = self.bounds
            self.retries[service] = SharedRetries(
                bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_s, self.routers
            )
        return self.retries[service]

    @asynccontextmanager
    async def serve(
        self, request: RoutedRequest
    ) -> AsyncIterator[WholeAnswer | StreamAnswer | NotRun | Unknown]:
        """Serve a request; yield its answer, or why there is none."""
        async with AsyncExitStack() as stack:
            tries = Tries()
            try:
                async with asyncio.timeout(max(0.0, request.left_s())):
                    outcome = await self.attempts(request, tries, stack, request.after_event)
            except TimeoutError:
                outcome = self.time_is_up(tries)
            self.metrics.count(f"outcomes.{type(outcome).__name__}")
            if isinstance(outcome, StreamAnswer):
                events = outcome.events
                outcome.events = self.whole_stream(request, tries, stack, events)
            yield outcome

    def time_is_up(self, tries: Tries) -> NotRun | Unknown:
        """Return the outcome of a request whose deadline has passed."""
        if tries.runs:
            return Unknown(Problem(504, "the deadline passed", "send it again"))
        return NotRun(Problem(503, "the deadline passed", "send it again", RETRY_SOON_S))

    async def attempts(
        self,
        request: RoutedRequest,
        tries: Tries,
        stack: AsyncExitStack,
        after: int | None,
    ) -> WholeAnswer | StreamAnswer | NotRun | Unknown:
        """Try engines until one answers."""
        while request.left_s() > LEAST_LEFT_S:
            placement = self.selector.place(request, tries.exclude)
            if placement is None:
                break
            if isinstance(placement, Shed):
                tries.problem = self.turned_away(request, placement)
                break
            async with AsyncExitStack() as attempt:
                result = await self.attempt(request, placement, tries, attempt, after)
                if not isinstance(result, AttemptError):
                    stack.push_async_exit(attempt.pop_all())
                    return result
            if not self.may_try_again(request, placement.engine, tries, result):
                break
        return Unknown(tries.problem) if tries.runs else NotRun(tries.problem)

    def turned_away(self, request: RoutedRequest, turned: Shed) -> Problem:
        """Record that a request is told to come back, and return what to tell."""
        log(
            Event.REQUEST_TURNED_AWAY,
            request=request.id,
            wait_s=round(turned.wait_s, 3),
            patience_s=request.route.patience_s,
            return_s=round(turned.retry_after_s, 3),
            tokens_a_s=round(self.selector.prefill_rate(request.service).tokens_per_s),
        )
        why = f"the engines have {turned.wait_s:.1f} s of prompts to read"
        return Problem(503, why, "send it again later", turned.retry_after_s)

    async def attempt(
        self,
        request: RoutedRequest,
        placement: Placement,
        tries: Tries,
        stack: AsyncExitStack,
        after: int | None,
    ) -> WholeAnswer | StreamAnswer | AttemptError:
        """Send one attempt; the stack owns its place and its connection."""
        engine = placement.engine
        stack.enter_context(placement)
        self.note_sending(request, placement, tries)
        try:
            async with asyncio.timeout(self.patience_s(request, placement, tries)):
                opening = self.client.open(request, attempt_of(placement, after))
                answer = await stack.enter_async_context(opening)
                if isinstance(answer, StreamAnswer):
                    answer.events = await first_event(answer.events, stack)
        except AttemptError as error:
            if isinstance(error, NotSentError | TargetRefusedError):
                self.selector.revert_placement(placement)
            return error
        except TimeoutError:
            return MayHaveRunError(f"engine {engine.id} did not answer in time")
        placement.record_prefilled()
        waited_s = round(now() - placement.since, 4)
        log(
            Event.ANSWER_BEGUN,
            request=request.id,
            engine=engine.id,
            status=answer.status,
            waited_s=waited_s,
        )
        self.metrics.observe(f"first_answer_seconds.{request.service}", waited_s)
        self.selector.record_first_event(placement, waited_s)
        if answer.status >= SERVER_ERROR:
            self.selector.revert_placement(placement)
            if self.may_repeat(request, tries):
                return MayHaveRunError(f"engine {engine.id} answered {answer.status}")
            self.selector.trust.note_failure(engine.id)
        else:
            self.selector.trust.note_success(engine.id)
        return answer

    def note_sending(self, request: RoutedRequest, placement: Placement, tries: Tries) -> None:
        """Record where a request goes and what decided it."""
        if not tries.arrivals:
            self.budget(request.service).note_request()
        tries.arrivals += 1
        tries.exclude.add(placement.engine.id)
        tries.runs += 1
        candidate = placement.choice.engine
        log(
            Event.REQUEST_PLACED,
            request=request.id,
            engine=placement.engine.id,
            attempt=tries.arrivals,
            subject=request.prompt.shared_part_id if request.prompt else None,
            tokens=request.prompt.input_tokens if request.prompt else None,
            held=candidate.cached_tokens,
            load=candidate.load.requests,
            unread=candidate.load.unread_tokens,
            source=placement.source.id if placement.source else None,
            left_s=round(request.left_s(), 3),
        )

    def patience_s(self, request: RoutedRequest, placement: Placement, tries: Tries) -> float:
        """Return how long to wait for the first of an answer before trying elsewhere."""
        left_s = max(0.0, request.left_s())
        route = request.route
        if not route.is_repeatable or tries.runs >= route.attempts:
            return left_s
        reading_s = placement.choice.cost / READ_TOKENS_A_S if request.is_stream else 0.0
        return min(left_s, PATIENCE_TARGETS * route.latency_target_s + reading_s)

    def may_repeat(self, request: RoutedRequest, tries: Tries) -> bool:
        """Tell whether a request that has run may be sent to one more engine."""
        return (
            request.route.is_repeatable
            and tries.runs < request.route.attempts
            and self.budget(request.service).left() >= 1.0
        )

    def may_try_again(
        self, request: RoutedRequest, engine: Engine, tries: Tries, error: AttemptError
    ) -> bool:
        """Take in a failed attempt; tell whether the request may be sent again."""
        log(Event.ATTEMPT_FAILED, request=request.id, target=engine.id, why=str(error))
        self.metrics.count(f"attempts_failed.{type(error).__name__}")
        match error:
            case NotSentError():
                tries.runs -= 1
                self.selector.trust.note_unreachable(engine.id, is_closed=True)
                tries.note_not_run(error)
                return True
            case TargetRefusedError():
                tries.runs -= 1
                if isinstance(error, DisplacedError):
                    self.selector.engines.note_displaced(engine)
                tries.note_not_run(error)
                return self.budget(request.service).take()
            case _:
                if isinstance(error, ResetError):
                    self.selector.trust.note_unreachable(engine.id, is_closed=False)
                else:
                    self.selector.trust.note_failure(engine.id)
                tries.problem = Problem(502, str(error), "check whether it ran")
                return self.may_repeat(request, tries) and self.budget(request.service).take()

    async def whole_stream(
        self,
        request: RoutedRequest,
        tries: Tries,
        stack: AsyncExitStack,
        events: AsyncIterator[StreamEvent],
    ) -> AsyncIterator[StreamEvent]:
        """Yield all events of an answer, going on at another engine where one breaks off.

        Raise BrokenAnswerError if it cannot go on.
        """
        last = request.after_event
        while True:
            try:
                async for event in events:
                    if event.number is not None:
                        if last is not None and event.number <= last:
                            continue
                        last = event.number
                    yield event
                return
            except AttemptError as error:
                problem = error
            if not request.route.is_resumable or last is None:
                raise BrokenAnswerError(str(problem))
            await stack.aclose()
            events = await self.resume(request, tries, stack, last, problem)

    async def resume(
        self,
        request: RoutedRequest,
        tries: Tries,
        stack: AsyncExitStack,
        last: int,
        problem: AttemptError,
    ) -> AsyncIterator[StreamEvent]:
        """Go on with a stream after its last event; return the events that follow."""
        log(Event.ATTEMPT_FAILED, request=request.id, why=str(problem), after=last)
        if not (self.may_repeat(request, tries) and self.budget(request.service).take()):
            raise BrokenAnswerError(str(problem))
        outcome = await self.attempts(request, tries, stack, last)
        if not isinstance(outcome, StreamAnswer):
            raise BrokenAnswerError(f"{problem}; no other engine goes on")
        log(Event.STREAM_RESUMED, request=request.id, after=last)
        return outcome.events


def attempt_of(placement: Placement, after: int | None) -> Attempt:
    """Return how a request goes to the engine where it has its place."""
    rank = placement.rank if after is None else RESUMED_RANK
    return Attempt(placement.engine, rank, after, placement.source)
