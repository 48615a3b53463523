"""Runs that go on at another engine from their memory, when their engine has ended or leaves."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

from marjoramspool.attempt_history import AttemptHistory
from marjoramspool.attempts import RunState, StreamAnswer
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log
from marjoramspool.failures import AttemptError, BrokenAnswerError, RunMovedError
from marjoramspool.placement.engine_selector import Placement
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import EngineCapacity
from marjoramspool.streams.event_stream import StreamEvent
from marjoramspool.streams.moved_events import RunMove, next_event
from marjoramspool.streams.run_backups import (
    Destination,
    RunBackups,
    RunEstimate,
    select_destination,
)
from marjoramspool.streams.run_moves import RunMoves, transfer_time_s
from marjoramspool.streams.stream_pace import MIN_EVENTS, StreamPace

__all__ = ["RunContinuation"]

# An engine that has closed the connection of a run stops it within about this time; callers wait
# longer than this between two events.
RELEASE_TIMEOUT_S = 0.4
RELEASE_CHECK_PERIOD_S = 0.03
# A run that was not moved is tried again after this time.
MOVE_RETRY_PERIOD_S = 1.0
MIN_MOVE_TIMEOUT_S = 0.5
MOVE_TIMEOUT_FACTOR = 2.0


class RunContinuation:
    """Asks for copies of runs that may not run twice, and goes on with them where the copies are.

    `forwarding` sends the attempts.
    """

    __slots__ = ("backups", "forwarding", "moves", "pace")

    def __init__(self, forwarding, router_count: Callable[[], int]):
        self.forwarding = forwarding
        self.backups = RunBackups(router_count)
        self.moves = RunMoves()
        self.pace = StreamPace()
        engines = forwarding.selector.engines
        engines.on_listed.append(self.backups.record_listed)
        engines.on_removed.append(self.backups.record_end)
        engines.on_removed.append(self.moves.record_removed)

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
            [
                Destination(other, selector.loads.requests(other.id))
                for other in selector.takeover_engines(engine, request.id)
            ],
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

    def estimate(self, request: RoutedRequest) -> RunEstimate:
        """Return the size and expected duration of a stream."""
        prompt = request.prompt
        duration_s = prompt.output_tokens * self.pace.seconds_per_event(request.service)
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
        self.pace.record(request.service, history.events - 1, duration_s)

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
        why = await self.find_obstacle(request, first, copy)
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
        self, request: RoutedRequest, first: Engine, copy: Engine
    ) -> str | None:
        """Return why a run cannot go on at the engine with its copy, None if it can."""
        selector = self.forwarding.selector
        poison = selector.poison
        if not await self.has_released(first, request):
            return f"engine {first.id} may still execute it"
        if poison.is_watching and poison.find_quarantine(request.parts):
            return "engines end under content of the request"
        if not selector.may_go_on_at(copy):
            return f"engine {copy.id} takes no requests"
        if not self.forwarding.retry_budget(request.service).try_acquire():
            return "the retry budget is spent"
        return None

    async def has_released(self, engine: Engine, request: RoutedRequest) -> bool:
        """Return whether an engine is known to execute a request no more.

        Fault: only the connection broke, and the engine goes on with the run.
        """
        until = now() + min(RELEASE_TIMEOUT_S, request.remaining_s())
        while True:
            match await self.forwarding.client.run_state(engine, request.id):
                case RunState.GONE:
                    return True
                case RunState.REFUSED:
                    if await self.forwarding.reach.has_lost_path(engine):
                        return False
                    self.backups.record_end(engine)
                    return True
            if now() >= until:
                return False
            await asyncio.sleep(RELEASE_CHECK_PERIOD_S)

    async def follow(
        self, request: RoutedRequest, history: AttemptHistory, events: AsyncIterator[StreamEvent]
    ) -> AsyncIterator[StreamEvent]:
        """Yield the events of an answer, and move its run when its engine leaves.

        Raise RunMovedError once the engine has stopped the run, also if its stream seems to have
        ended.
        """
        move: RunMove | None = None
        try:
            while True:
                if move is None:
                    move = self.begin_move(request, history)
                failure = None
                try:
                    event = await next_event(events, move)
                except AttemptError as error:
                    event, failure = None, error
                if event is None and move is not None:
                    answer = await move.answer
                    if answer.handle is not None:
                        raise RunMovedError(answer.handle, answer.is_copied)
                if failure is not None:
                    raise failure
                if event is None:
                    return
                if move is not None and move.answer.done() and not move.answer.result().handle:
                    self.log_not_moved(request, move, "the engine did not stop the run")
                    move = None
                yield event
        finally:
            if move is not None:
                move.answer.cancel()

    def begin_move(self, request: RoutedRequest, history: AttemptHistory) -> RunMove | None:
        """Begin to move a run if its engine will end first; return the move, None if none is begun.

        A move takes one from the retry budget before the run is stopped, since it cannot go on
        without.
        """
        if history.last_event_id is None or history.placement is None:
            return None
        if request.route.is_retryable or request.prompt is None or now() < history.next_move_at:
            return None
        source = history.placement.engine
        capacity = self.capacity(request.service)
        if capacity is None or not capacity.has_moves:
            return None
        if not self.is_leaving(source):
            self.moves.record_staying(source)
            return None
        if min(capacity.kv_token_bytes, capacity.link_mbps) <= 0.0:
            return None
        if not self.moves.is_due(source, self.time_left_s(request, history)):
            return None
        history.next_move_at = now() + MOVE_RETRY_PERIOD_S
        destination = self.find_destination(request, history, capacity, source)
        if destination is None:
            return None
        tokens = max(0, request.prompt.input_tokens) + history.events
        time_s = transfer_time_s(tokens, capacity, source, destination)
        if not self.moves.is_fast_enough(time_s, request.route.first_event_timeout_s):
            return None
        if not self.forwarding.retry_budget(request.service).try_acquire():
            return None
        timeout_s = MIN_MOVE_TIMEOUT_S + MOVE_TIMEOUT_FACTOR * time_s
        call = self.forwarding.client.move_run(source, destination, request.id, timeout_s)
        answer = asyncio.create_task(call)
        self.moves.active += 1
        answer.add_done_callback(self.end_move)
        history.move = RunMove(source, destination, answer)
        return history.move

    def end_move(self, _: asyncio.Task) -> None:
        """Stop counting a move."""
        self.moves.active -= 1

    def is_leaving(self, engine: Engine) -> bool:
        """Return whether an engine drains, is no longer listed, or is evacuated."""
        engines = self.forwarding.selector.engines
        listed = engines.engines.get(engine.id)
        return (
            listed is None
            or listed.key != engine.key
            or engines.is_draining(listed)
            or engines.evacuations.is_evacuated(engine.failure_domain)
        )

    def time_left_s(self, request: RoutedRequest, history: AttemptHistory) -> float:
        """Return the time that a stream is expected to take from now."""
        pace_s = self.pace.seconds_per_event(request.service)
        if history.events >= MIN_EVENTS:
            pace_s = (now() - history.first_event_at) / (history.events - 1)
        events_left = max(0, request.prompt.output_tokens - history.events)
        return min(events_left * pace_s, max(0.0, request.remaining_s()))

    def find_destination(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        capacity: EngineCapacity,
        source: Engine,
    ) -> Engine | None:
        """Return the engine to move a run to: the one that has its copy, or else one with room."""
        selector = self.forwarding.selector
        if history.backup is not None and selector.may_go_on_at(history.backup):
            return history.backup
        destinations = [
            Destination(other, selector.loads.requests(other.id))
            for other in selector.takeover_engines(source, request.id)
            if selector.may_go_on_at(other)
        ]
        copied = self.backups.copied_tokens(destinations)
        run = self.estimate(request)
        return select_destination(
            run, source, capacity, destinations, copied, prefers_same_domain=True
        )

    def log_not_moved(self, request: RoutedRequest, move: RunMove, why: str) -> None:
        """Log and count a run that was not moved."""
        log(
            Event.RUN_NOT_MOVED,
            request=request.id,
            engine=move.source.id,
            destination=move.destination.id,
            why=why,
        )
        self.forwarding.metrics.count("runs_not_moved")

    async def go_on_moved(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        moved: RunMovedError,
    ) -> AsyncIterator[StreamEvent]:
        """Go on with a run that its engine has stopped, where its memory is now.

        Return the events after the last one that was passed on; raise BrokenAnswerError if it
        cannot go on there.
        """
        move = history.move
        after_event = history.last_event_id
        selector = self.forwarding.selector
        await stack.aclose()
        engine = move.destination if moved.is_copied else move.source
        events = None
        if moved.is_copied:
            is_allowed = selector.may_go_on_at(engine)
        else:
            self.log_not_moved(request, move, "the destination did not take its memory")
            domain = engine.failure_domain
            is_allowed = not selector.engines.evacuations.is_evacuated(domain)
        known = (await move.answer).events
        if is_allowed and (known is None or known >= after_event):
            memory = f"{move.source.address}/{moved.handle}"
            events = await self.send(request, history, stack, after_event, engine, memory)
        if events is None:
            log(
                Event.RUN_NOT_CONTINUED,
                request=request.id,
                after=after_event,
                engine=engine.id,
                ended=move.source.id,
                why=str(moved),
            )
            self.forwarding.metrics.count("runs_not_continued")
            raise BrokenAnswerError(f"{moved}; engine {engine.id} did not go on with it")
        if moved.is_copied:
            log(
                Event.RUN_MOVED,
                request=request.id,
                after=after_event,
                engine=engine.id,
                source=move.source.id,
            )
            self.forwarding.metrics.count("runs_moved")
        return events

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
            log(Event.ATTEMPT_FAILED, request=request.id, target=engine.id, why=str(result))
            forwarding.metrics.count(f"attempts_failed.{type(result).__name__}")
        return None
