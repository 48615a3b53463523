"""Forwarding of routed requests: attempts, retries, stream resumption and outcomes."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager

from marjoramspool.admission.account_admission import Contended
from marjoramspool.admission.load_shedding import Shed
from marjoramspool.admission.queue_rank import RESUMED_RANK
from marjoramspool.attempt_history import DEFAULT_RETRY_AFTER_S, AttemptHistory
from marjoramspool.attempt_outlook import AttemptOutlook, attempt_limit
from marjoramspool.attempts import (
    Attempt,
    EngineClient,
    StreamAnswer,
    WholeAnswer,
    continuation,
    wait_for_first_event,
)
from marjoramspool.bounds import Bounds
from marjoramspool.clock import now
from marjoramspool.engine_state.cold_engines import AllCold
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_pauses import AllPaused
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.engine_state.engine_room import AllFull
from marjoramspool.engine_state.evacuations import AllEvacuated
from marjoramspool.engine_state.poison_parts import Quarantine
from marjoramspool.engine_state.reach_monitor import ReachMonitor
from marjoramspool.engine_state.request_limits import AllLimited
from marjoramspool.events import Event, log
from marjoramspool.failures import (
    AttemptError,
    DisplacedError,
    MayHaveRunError,
    NotSentError,
    PeerFailedError,
    PeerRefusedError,
    ResetError,
    TargetRefusedError,
)
from marjoramspool.metrics import Metrics
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.peer_attempts import PeerAttempts, PeerPathSource
from marjoramspool.placement.engine_selector import EngineSelector, Refusal
from marjoramspool.placement.placements import Placement
from marjoramspool.requests import RoutedRequest
from marjoramspool.retries import SharedRetryBudget
from marjoramspool.streams.run_continuation import RunContinuation
from marjoramspool.streams.run_mover import RunMover
from marjoramspool.streams.stream_origins import OriginSource
from marjoramspool.streams.stream_resumption import StreamResumption

__all__ = ["Forwarding"]

MIN_SERVER_ERROR_STATUS = 500
# Share of the latency target after which a retryable request moves to another engine, so that the
# retry can still meet the target.
ATTEMPT_TIMEOUT_RATIO = 0.65
# Streaming attempts get extra time at this rate for the prefill ahead of their first event, so that
# an engine with long prompts is not timed out early.
PREFILL_TOKENS_PER_S = 40_000
# No attempt is started with less time than this before the deadline.
MIN_REMAINING_S = 0.02


class Forwarding:
    """Forwarder of routed requests to engines.

    Answers are passed on complete, or their stream raises BrokenAnswerError; a failure states
    whether the request may have run.
    """

    __slots__ = (
        "bounds",
        "client",
        "metrics",
        "mover",
        "outlook",
        "peer_attempts",
        "reach",
        "retry_budgets",
        "router_count",
        "runs",
        "selector",
        "streams",
    )

    def __init__(
        self,
        selector: EngineSelector,
        client: EngineClient,
        bounds: Bounds,
        router_count: Callable[[], int],
        origins: OriginSource,
        reach: ReachMonitor,
        paths: PeerPathSource,
        metrics: Metrics,
    ):
        self.reach = reach
        self.peer_attempts = PeerAttempts(paths)
        self.metrics = metrics
        self.streams = StreamResumption(self, origins)
        self.selector = selector
        self.runs = RunContinuation(self, router_count)
        self.mover = RunMover(self, self.runs)
        self.outlook = AttemptOutlook(selector)
        self.client = client
        self.bounds = bounds
        self.router_count = router_count
        self.retry_budgets: dict[str, SharedRetryBudget] = {}

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        if service not in self.retry_budgets:
            bounds = self.bounds
            self.retry_budgets[service] = SharedRetryBudget(
                bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_s, self.router_count
            )
        return self.retry_budgets[service]

    @asynccontextmanager
    async def serve(
        self, request: RoutedRequest
    ) -> AsyncIterator[WholeAnswer | StreamAnswer | NotRun | Unknown]:
        """Forward a request; yield its answer, or the reason why there is none."""
        async with AsyncExitStack() as stack:
            history = AttemptHistory()
            try:
                async with asyncio.timeout(max(0.0, request.remaining_s())):
                    await self.streams.find_version(request, history)
                    outcome = await self.run_attempts(request, history, stack, request.after_event)
            except TimeoutError:
                outcome = self.deadline_outcome(history)
            self.metrics.count(f"outcomes.{type(outcome).__name__}")
            if isinstance(outcome, StreamAnswer):
                events = outcome.events
                outcome.events = self.streams.resumable_stream(request, history, stack, events)
            yield outcome

    def deadline_outcome(self, history: AttemptHistory) -> NotRun | Unknown:
        """Return the outcome of a request whose deadline passed without an answer."""
        if history.possible_runs:
            return Unknown(
                Problem(
                    504,
                    f"deadline passed without an answer after {history.attempts_started} attempts",
                    "retry the request",
                )
            )
        return NotRun(
            Problem(
                503,
                "deadline passed before any engine ran the request",
                "retry the request",
                DEFAULT_RETRY_AFTER_S,
            )
        )

    async def run_attempts(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        after_event: int | None,
    ) -> WholeAnswer | StreamAnswer | NotRun | Unknown:
        """Send attempts to one engine after another until one answers or no retry is allowed.

        While none is in reach, they are sent through other routers.
        """
        while True:
            if request.remaining_s() <= MIN_REMAINING_S:
                return self.deadline_outcome(history)
            path = self.reach.reach.path(request.service)
            if path is not Path.FULL and not request.is_forwarded:
                async with AsyncExitStack() as attempt:
                    result = await self.peer_attempts.send(request, history, attempt, after_event)
                    if isinstance(result, WholeAnswer | StreamAnswer):
                        stack.push_async_exit(attempt.pop_all())
                        return result
                if result is not None:
                    if not self.handle_failed_peer(request, history, result):
                        break
                    continue
                if path is Path.NONE and not request.route.is_retryable:
                    # It needs a new connection, and none opens.
                    history.record_no_path()
                    break
            if not self.streams.can_go_on(request, history):
                break
            placement = self.selector.place(request, history.tried_engines, history.version)
            if isinstance(placement, Contended) and await history.wait_for_slot(request, placement):
                continue
            if not isinstance(placement, Placement):
                self.record_not_placed(request, history, placement)
                break
            async with AsyncExitStack() as attempt:
                result = await self.send_attempt(request, placement, history, attempt, after_event)
                if not isinstance(result, AttemptError):
                    stack.push_async_exit(attempt.pop_all())
                    return result
            if not self.handle_failed_attempt(request, placement.engine, history, result):
                break
            if not isinstance(result, TargetRefusedError):
                await self.reach.confirm(request.service)
        return Unknown(history.problem) if history.possible_runs else NotRun(history.problem)

    def record_not_placed(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        reason: Refusal | None,
    ) -> None:
        """Record why no engine gets a request, and what its caller is told."""
        match reason:
            case Shed():
                history.problem = self.shed_problem(request, reason)
            case AllEvacuated():
                history.record_all_evacuated(reason)
            case AllPaused():
                history.record_all_paused(reason)
            case AllLimited():
                history.record_all_limited(reason)
            case AllFull():
                history.record_all_full(reason)
            case AllCold():
                history.record_all_cold(reason)
            case Contended():
                kind = "deadline" if reason.is_too_late else "share"
                self.metrics.count(f"contended_refusals.{kind}")
                history.record_contended(reason)
            case Quarantine():
                history.record_quarantine(reason, reason.retry_after_s(now()))

    def handle_failed_peer(
        self, request: RoutedRequest, history: AttemptHistory, error: AttemptError
    ) -> bool:
        """Record a failed attempt through another router; return whether one more is allowed."""
        log(Event.ATTEMPT_FAILED, request=request.id, why=str(error), detail=error.detail)
        self.metrics.count(f"attempts_failed.{type(error).__name__}")
        match error:
            case PeerRefusedError(problem=problem):
                history.record_problem_not_run(problem)
                return False
            case PeerFailedError(problem=problem):
                history.problem = problem
                return False
            case NotSentError() | TargetRefusedError():
                history.record_not_run(error)
                return True
        remedy = "check whether the request ran before retrying it"
        history.problem = Problem(502, str(error), remedy)
        return (
            self.is_retry_allowed(request, history)
            and self.retry_budget(request.service).try_acquire()
        )

    def shed_problem(self, request: RoutedRequest, shed: Shed) -> Problem:
        """Log a shed request; return the problem that tells its caller when to retry."""
        log(
            Event.REQUEST_TURNED_AWAY,
            request=request.id,
            wait_s=round(shed.wait_s, 3),
            patience_s=request.route.first_event_timeout_s,
            return_s=round(shed.retry_after_s, 3),
            tokens_a_s=round(self.selector.prefill_waits.rate(request.service).tokens_per_s),
        )
        why = f"request shed: estimated prefill wait of {shed.wait_s:.1f} s at the best engine"
        return Problem(503, why, "retry after the given time", shed.retry_after_s)

    async def send_attempt(
        self,
        request: RoutedRequest,
        placement: Placement,
        history: AttemptHistory,
        stack: AsyncExitStack,
        after_event: int | None,
        run_memory: str | None = None,
    ) -> WholeAnswer | StreamAnswer | AttemptError:
        """Send one attempt; the stack owns its placement and its connection.

        With `run_memory` it goes on with a run, as `Attempt` specifies.
        """
        engine = placement.engine
        stack.enter_context(placement)
        self.record_placement(request, placement, history, after_event)
        try:
            async with self.limit_attempt(request, placement, history):
                is_continued = run_memory is not None
                backup = self.runs.begin_backup(request, placement, history, stack, is_continued)
                is_doubted = self.must_identify(request, engine)
                attempt = make_attempt(placement, after_event, backup, run_memory, is_doubted)
                asked_at = now()
                opening = self.client.open(request, attempt)
                answer = continuation(await stack.enter_async_context(opening), after_event)
                if is_doubted:
                    self.selector.doubts.record_identified(engine, asked_at)
                if isinstance(answer, StreamAnswer):
                    history.is_delimited = answer.is_delimited
                    answer.events = await wait_for_first_event(answer.events, stack)
                    history.run_began_at = now()
        except AttemptError as error:
            if isinstance(error, NotSentError | TargetRefusedError):
                self.selector.revert_placement(placement)
                if isinstance(error, TargetRefusedError):
                    self.selector.record_refusal(placement.engine)
                    if not isinstance(error, DisplacedError):
                        self.selector.contention.record_full(placement.engine)
            else:
                await self.record_if_ended(request, placement)
            if not isinstance(error, TargetRefusedError):
                self.selector.doubts.record_break(engine)
            return error
        except TimeoutError:
            self.outlook.record_abandoned(placement)
            return MayHaveRunError(f"engine {engine.id} did not answer before the attempt timeout")
        placement.record_prefilled()
        history.answered_at = now()
        waited_s = round(now() - placement.placed_at, 4)
        log(
            Event.ANSWER_BEGUN,
            request=request.id,
            engine=engine.id,
            status=answer.status,
            waited_s=waited_s,
        )
        self.metrics.observe(f"first_answer_seconds.{request.service}", waited_s)
        self.selector.prefill_waits.record_first_event(placement, waited_s)
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self.selector.revert_placement(placement)
            if self.is_retry_allowed(request, history):
                return MayHaveRunError(f"engine {engine.id} answered with status {answer.status}")
            self.selector.outliers.record_failure(engine.id)
        else:
            self.selector.outliers.record_success(engine.id)
            self.outlook.record_answer(placement, waited_s)
            if isinstance(answer, WholeAnswer):
                self.confirm_answer(request, history, 0.0)
                self.selector.contention.record_whole_answer(placement, waited_s)
        return answer

    def must_identify(self, request: RoutedRequest, engine: Engine) -> bool:
        """Return whether a stream may begin only if the engine is surely the one that is listed."""
        return request.route.is_resumable and self.selector.doubts.is_doubted(engine)

    async def record_broken_stream(self, engine: Engine) -> None:
        """Record that the connection of a stream broke, maybe since its engine has ended."""
        self.selector.doubts.record_break(engine)
        if await self.client.has_ended(engine):
            # Other routers are told of an engine that is unreachable.
            self.selector.outliers.record_unreachable(engine.id, is_refusing_connections=True)
        else:
            self.selector.outliers.record_failure(engine.id)

    def confirm_answer(
        self, request: RoutedRequest, history: AttemptHistory, delay_s: float
    ) -> None:
        """Record once that an engine answered and has gone on for `delay_s` since."""
        if history.answered_at is None or now() - history.answered_at < delay_s:
            return
        history.answered_at = None
        poison = self.selector.poison
        # The hash of a long body is needed only while engines end.
        poison.record_answer(request.parts if poison.is_watching else request.prompt_part_ids)

    async def record_if_ended(self, request: RoutedRequest, placement: Placement) -> None:
        """Record the end of an engine at which a request had no answer yet, if it has ended."""
        engine = placement.engine
        if not await self.client.has_ended(engine) or await self.reach.has_lost_path(engine):
            return
        log(
            Event.ENGINE_ENDED,
            request=request.id,
            engine=engine.id,
            parts=[f"{part:x}" for part in request.parts],
            sent_s=round(now() - placement.placed_at, 3),
        )
        self.metrics.count("engines_ended")
        self.selector.record_end(placement, request.parts)

    def record_placement(
        self,
        request: RoutedRequest,
        placement: Placement,
        history: AttemptHistory,
        after_event: int | None,
    ) -> None:
        """Record an attempt at an engine; log the load and cache state that decided the choice."""
        if not history.attempts_started:
            self.retry_budget(request.service).record_request()
        history.attempts_started += 1
        history.tried_engines.add(placement.engine.id)
        history.placement = placement
        history.run_began_at = None
        history.possible_runs += 1
        candidate = placement.choice.engine
        log(
            Event.REQUEST_PLACED,
            request=request.id,
            engine=placement.engine.id,
            attempt=history.attempts_started,
            version=placement.engine.version,
            after=after_event,
            resumes=request.first_request,
            subject=request.prompt.shared_part_id if request.prompt else None,
            tokens=request.prompt.input_tokens if request.prompt else None,
            held=candidate.cached_tokens,
            load=candidate.load.requests,
            unread=candidate.load.prefill_tokens,
            source=placement.cache_source.id if placement.cache_source else None,
            left_s=round(request.remaining_s(), 3),
        )

    def limit_attempt(
        self, request: RoutedRequest, placement: Placement, history: AttemptHistory
    ) -> AbstractAsyncContextManager[None]:
        """Return the limit of an attempt: by its target's speed where that is known."""
        timeout_s = self.attempt_timeout_s(request, placement, history)
        remaining_s = max(0.0, request.remaining_s())
        if timeout_s >= remaining_s or not self.outlook.is_known(request.service):
            return attempt_limit(timeout_s)

        def further_wait_s() -> float:
            is_allowed = self.is_retry_allowed(request, history)
            left_s = max(0.0, request.remaining_s())
            wait_s = self.outlook.further_wait_s(
                placement, history.tried_engines, is_allowed, left_s
            )
            if wait_s <= 0.0 < left_s:
                self.metrics.count("attempts_given_up")
            return wait_s

        return attempt_limit(remaining_s, further_wait_s)

    def attempt_timeout_s(
        self, request: RoutedRequest, placement: Placement, history: AttemptHistory
    ) -> float:
        """Return the time to wait for the start of an answer before trying another engine."""
        remaining_s = max(0.0, request.remaining_s())
        route = request.route
        runs = request.earlier_runs + history.possible_runs
        if not route.is_retryable or runs >= route.max_attempts:
            return remaining_s
        prefill_s = placement.choice.cost / PREFILL_TOKENS_PER_S if request.is_stream else 0.0
        return min(remaining_s, ATTEMPT_TIMEOUT_RATIO * route.latency_target_s + prefill_s)

    def is_retry_allowed(self, request: RoutedRequest, history: AttemptHistory) -> bool:
        """Return whether a request that may have run may be sent to one more engine."""
        return (
            request.route.is_retryable
            and request.earlier_runs + history.possible_runs < request.route.max_attempts
            and self.retry_budget(request.service).remaining() >= 1.0
        )

    def handle_failed_attempt(
        self, request: RoutedRequest, engine: Engine, history: AttemptHistory, error: AttemptError
    ) -> bool:
        """Record a failed attempt; return whether the request may be sent again."""
        why, detail = str(error), error.detail
        log(Event.ATTEMPT_FAILED, request=request.id, target=engine.id, why=why, detail=detail)
        self.metrics.count(f"attempts_failed.{type(error).__name__}")
        match error:
            case NotSentError():
                history.possible_runs -= 1
                self.selector.outliers.record_unreachable(engine.id, is_refusing_connections=True)
                history.record_not_run(error)
                return True
            case TargetRefusedError():
                history.possible_runs -= 1
                if isinstance(error, DisplacedError):
                    self.selector.engines.record_reassigned(engine)
                history.record_not_run(error)
                budget = self.retry_budget(request.service)
                # Under contention half of it is for accounts that want no more than their share.
                if self.selector.contention.is_throttled(request) and budget.is_half_spent():
                    return False
                return budget.try_acquire()
            case _:
                if isinstance(error, ResetError):
                    self.selector.outliers.record_unreachable(
                        engine.id, is_refusing_connections=False
                    )
                else:
                    self.selector.outliers.record_failure(engine.id)
                history.problem = Problem(
                    502, str(error), "check whether the request ran before retrying it"
                )
                return (
                    self.is_retry_allowed(request, history)
                    and self.retry_budget(request.service).try_acquire()
                )


def make_attempt(
    placement: Placement,
    after_event: int | None,
    backup: Engine | None = None,
    run_memory: str | None = None,
    is_doubted: bool = False,
) -> Attempt:
    """Return the attempt for a placement; a resumed stream gets the rank `RESUMED_RANK`."""
    rank = placement.queue_rank if after_event is None else RESUMED_RANK
    source = placement.cache_source
    return Attempt(placement.engine, rank, after_event, source, backup, run_memory, is_doubted)
