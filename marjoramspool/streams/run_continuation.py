"""Runs that go on at another engine, from a copy of their memory, after their engine has ended."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

from marjoramspool.attempt_history import AttemptHistory
from marjoramspool.attempts import RunState, StreamAnswer
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log
from marjoramspool.failures import AttemptError, BrokenAnswerError
from marjoramspool.placement.placements import Placement
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import EngineCapacity
from marjoramspool.streams.event_stream import StreamEvent
from marjoramspool.streams.run_backups import Destination, RunBackups, RunEstimate
from marjoramspool.streams.run_release import RunRelease
from marjoramspool.streams.stream_pace import StreamPace

__all__ = ["RunContinuation"]


class RunContinuation:
    """Asks for copies of runs that may not run twice, and goes on with them where the copies are.

    `forwarding` sends the attempts.
    """

    __slots__ = ("backups", "forwarding", "pace")

    def __init__(self, forwarding, router_count: Callable[[], int]):
        self.forwarding = forwarding
        self.backups = RunBackups(router_count)
        self.pace = StreamPace()
        engines = forwarding.selector.engines
        engines.on_listed.append(self.backups.record_listed)
        engines.on_removed.append(self.backups.record_end)

    def capacity(self, service: str) -> EngineCapacity | None:
        """Return the capacity of a service's engines, None if it is not known."""
        table = self.forwarding.selector.table()
        known = table.services.get(service) if table else None
        return known.engine_capacity if known else None

    def begin_backup(
        self,
        request: RoutedRequest,
        placement: Placement,
        history: AttemptHistory,
        stack: AsyncExitStack,
        is_continued: bool,
    ) -> Engine | None:
        """Return the engine that is to receive the memory of a run, None if none is.

        The stack owns the copy. A run that has gone on elsewhere `is_continued`.
        """
        history.backup = None
        capacity = self.capacity(request.service)
        is_eligible = request.is_stream and not request.route.is_retryable and request.prompt
        if capacity is None or not capacity.has_backups or not is_eligible:
            return None
        engine = placement.engine
        selector = self.forwarding.selector
        copy = self.backups.select(
            self.estimate(request),
            engine,
            capacity,
            self.destinations(request, engine),
            len(selector.engines.usable(request.service)),
            selector.engines.is_draining(engine),
            is_continued,
        )
        if copy is None:
            return None
        self.backups.begin(copy)
        stack.callback(self.backups.end, copy, capacity.copy_retention_s)
        self.forwarding.metrics.count("run_copies")
        history.backup = copy.engine
        return copy.engine

    def destinations(self, request: RoutedRequest, engine: Engine) -> list[Destination]:
        """Return the engines that could take the memory of a run at an engine."""
        selector = self.forwarding.selector
        return [
            Destination(other, selector.loads.requests(other.id))
            for other in selector.takeover_engines(engine, request.id)
        ]

    def estimate(self, request: RoutedRequest) -> RunEstimate:
        """Return the size and expected duration of a stream."""
        prompt = request.prompt
        events = self.pace.expected_events(request.service, prompt.output_tokens)
        duration_s = events * self.pace.event_period_s(request.service)
        return RunEstimate(
            request.id,
            max(0, prompt.input_tokens),
            max(0, prompt.output_tokens),
            min(duration_s, max(0.0, request.remaining_s())),
            request.priority,
        )

    def record_pace(self, request: RoutedRequest, history: AttemptHistory) -> None:
        """Record how long a whole stream took."""
        duration_s = now() - history.first_event_at
        tokens = request.prompt.output_tokens if request.prompt else 0
        self.pace.record(request.service, tokens, history.events, duration_s)

    async def go_on(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        after_event: int,
        failure: AttemptError,
    ) -> AsyncIterator[StreamEvent]:
        """Go on with a broken stream at the engine that has a copy of its memory.

        Return the events after `after_event`; raise BrokenAnswerError if it cannot go on there.
        """
        first = history.placement.engine
        copy = history.backup
        # An engine stops a run whose connection is closed.
        await stack.aclose()
        why = await self.find_obstacle(request, history, first, copy)
        if why is None:
            memory = f"{copy.address}/{request.id}"
            events = await self.send(request, history, stack, after_event, copy, memory)
            if events is not None:
                log(
                    Event.RUN_CONTINUED,
                    request=request.id,
                    after=after_event,
                    engine=copy.id,
                    ended=first.id,
                    why=str(failure),
                )
                self.forwarding.metrics.count("runs_continued")
                return events
            why = "the engine with the copy did not go on"
        log(
            Event.RUN_NOT_CONTINUED,
            request=request.id,
            after=after_event,
            engine=copy.id,
            ended=first.id,
            why=why,
        )
        self.forwarding.metrics.count("runs_not_continued")
        raise BrokenAnswerError(f"{failure}; {why}")

    async def find_obstacle(
        self, request: RoutedRequest, history: AttemptHistory, first: Engine, copy: Engine
    ) -> str | None:
        """Return why a run cannot go on at the engine with its copy, None if it can."""
        selector = self.forwarding.selector
        poison = selector.poison
        if why := await self.find_execution(request, history, first):
            return why
        if poison.is_watching and poison.find_quarantine(request.parts):
            return "engines end under content of the request"
        if not selector.may_go_on_at(copy):
            return f"engine {copy.id} takes no requests"
        if not self.forwarding.retry_budget(request.service).try_acquire():
            return "the retry budget is spent"
        return None

    async def find_execution(
        self, request: RoutedRequest, history: AttemptHistory, engine: Engine
    ) -> str | None:
        """Return why an engine may still execute a request, None if it surely does not.

        Fault: only the connection broke, and the engine goes on with the run.
        """
        release = RunRelease(history.run_began_at, request.remaining_s())
        while True:
            asked_at = now()
            state = await self.forwarding.client.run_state(engine, request.id)
            if release.is_proof(state, asked_at):
                if state is not RunState.REFUSED or await self.has_ended(engine):
                    return None
                return f"engine {engine.id} may be behind a cut"
            if release.is_over():
                return f"engine {engine.id} may still execute it: {state.value}"
            await asyncio.sleep(release.next_check_s())

    async def has_ended(self, engine: Engine) -> bool:
        """Return whether an engine that refuses connections has ended; record its end."""
        if await self.forwarding.reach.has_lost_path(engine):
            return False
        self.backups.record_end(engine)
        return True

    async def send(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        after_event: int,
        engine: Engine,
        memory: str,
    ) -> AsyncIterator[StreamEvent] | None:
        """Send a run to an engine that has its memory; return its events, None if it failed."""
        forwarding = self.forwarding
        placement = forwarding.selector.place_at(engine)
        try:
            async with (
                asyncio.timeout(request.route.first_event_timeout_s),
                AsyncExitStack() as attempt,
            ):
                result = await forwarding.send_attempt(
                    request, placement, history, attempt, after_event, memory
                )
                if isinstance(result, StreamAnswer):
                    stack.push_async_exit(attempt.pop_all())
                    return result.events
        except TimeoutError:
            return None
        finally:
            # It is the same run.
            history.possible_runs -= 1
        if isinstance(result, AttemptError):
            why, detail = str(result), result.detail
            log(Event.ATTEMPT_FAILED, request=request.id, target=engine.id, why=why, detail=detail)
            forwarding.metrics.count(f"attempts_failed.{type(result).__name__}")
        return None
