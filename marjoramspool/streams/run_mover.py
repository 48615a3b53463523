"""Runs that are moved to another engine when their engine leaves, within one answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

from marjoramspool.attempt_history import AttemptHistory
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log
from marjoramspool.failures import AttemptError, BrokenAnswerError, RunMovedError
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import EngineCapacity
from marjoramspool.streams.event_stream import StreamEvent
from marjoramspool.streams.moved_events import RunMove, next_event
from marjoramspool.streams.run_backups import select_destination
from marjoramspool.streams.run_continuation import RunContinuation
from marjoramspool.streams.run_moves import MoveSchedule, transfer_time_s
from marjoramspool.streams.stream_pace import MIN_EVENTS

__all__ = ["RunMover"]

# Whether the engine of a run is leaving is looked up this often, not at each event.
CHECK_PERIOD_S = 0.1
# A destination for a run is looked for again after this time.
SEARCH_PERIOD_S = 1.0
# A run whose move failed is tried again after this time; each try takes from the retry budget.
MOVE_RETRY_PERIOD_S = 4.0
MIN_MOVE_TIMEOUT_S = 0.5
MOVE_TIMEOUT_FACTOR = 2.0


class RunMover:
    """Follows the streams that may not run twice, and moves those whose engine leaves.

    `runs` goes on with a run where its memory is.
    """

    __slots__ = ("forwarding", "moves", "runs")

    def __init__(self, forwarding, runs: RunContinuation):
        self.forwarding = forwarding
        self.runs = runs
        self.moves = MoveSchedule()
        forwarding.selector.engines.on_removed.append(self.moves.record_removed)

    async def follow(
        self, request: RoutedRequest, history: AttemptHistory, events: AsyncIterator[StreamEvent]
    ) -> AsyncIterator[StreamEvent]:
        """Yield the events of an answer, and move its run when its engine leaves.

        Raise RunMovedError once the engine has stopped the run, also if its stream seems to have
        ended.
        """
        if not self.may_move(request, history):
            async for event in events:
                yield event
            return
        move: RunMove | None = None
        try:
            while True:
                if move is None and now() >= history.next_move_at:
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
                    self.log_not_moved(request, move, "the engine did not say that it stopped it")
                    move = None
                yield event
        finally:
            if move is not None:
                move.answer.cancel()

    def may_move(self, request: RoutedRequest, history: AttemptHistory) -> bool:
        """Return whether a stream may run only once, at engines that move runs.

        One that ends with its connection looks whole when its run has been stopped.
        """
        if request.route.is_retryable or request.prompt is None or not history.is_delimited:
            return False
        capacity = self.runs.capacity(request.service)
        return capacity is not None and capacity.has_moves

    def begin_move(self, request: RoutedRequest, history: AttemptHistory) -> RunMove | None:
        """Begin to move a run if its engine will end first; return the move, None if none is begun.

        A move takes one from the retry budget before the run is stopped, since it cannot go on
        without.
        """
        history.next_move_at = now() + CHECK_PERIOD_S
        if history.last_event_id is None or history.placement is None:
            return None
        source = history.placement.engine
        capacity = self.runs.capacity(request.service)
        if capacity is None or not capacity.has_moves:
            return None
        if not self.is_leaving(source):
            self.moves.record_staying(source)
            return None
        if min(capacity.kv_token_bytes, capacity.link_mbps) <= 0.0:
            return None
        if not self.moves.is_due(source, self.time_left_s(request, history)):
            return None
        history.next_move_at = now() + SEARCH_PERIOD_S
        destination = self.find_destination(request, history, capacity, source)
        if destination is None:
            return None
        tokens = max(0, request.prompt.input_tokens) + history.events
        time_s = transfer_time_s(tokens, capacity, source, destination)
        if not self.moves.is_fast_enough(time_s, request.route.first_event_timeout_s):
            return None
        if not self.forwarding.retry_budget(request.service).try_acquire():
            return None
        history.next_move_at = now() + MOVE_RETRY_PERIOD_S
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
        pace_s = self.runs.pace.event_period_s(request.service)
        if history.events >= MIN_EVENTS:
            pace_s = (now() - history.first_event_at) / (history.events - 1)
        expected = self.runs.pace.expected_events(request.service, request.prompt.output_tokens)
        events_left = max(0.0, expected - history.events)
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
        fitting = [
            destination
            for destination in self.runs.destinations(request, source)
            if selector.may_go_on_at(destination.engine)
        ]
        copied = self.runs.backups.copied_tokens(fitting)
        run = self.runs.estimate(request)
        return select_destination(run, source, capacity, fitting, copied, prefers_same_domain=True)

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
            events = await self.runs.send(request, history, stack, after_event, engine, memory)
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
