"""Streams that go on after a break, here or at the next try of a caller."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, aclosing

from marjoramspool.attempt_history import AttemptHistory
from marjoramspool.attempts import StreamAnswer
from marjoramspool.engine_state.poison_parts import MAX_END_DELAY_S
from marjoramspool.events import Event, log
from marjoramspool.failures import AttemptError, BrokenAnswerError, RunMovedError
from marjoramspool.requests import RoutedRequest
from marjoramspool.streams.event_stream import StreamEvent
from marjoramspool.streams.stream_origins import (
    OriginSource,
    content_key,
    request_key,
    resumed_key,
    stream_keys,
)

__all__ = ["StreamResumption"]

# Version of a stream of which nothing is known; no engine has it.
UNKNOWN_VERSION = ""


class StreamResumption:
    """Keeps streams at the software version that began them, over breaks and tries.

    `forwarding` sends the attempts; `origins` is what the fleet knows of where streams began.
    """

    __slots__ = ("forwarding", "origins")

    def __init__(self, forwarding, origins: OriginSource):
        self.forwarding = forwarding
        self.origins = origins

    async def find_version(self, request: RoutedRequest, history: AttemptHistory) -> None:
        """Find the only version at which a stream that a caller resumes may go on."""
        if not request.is_resumption:
            return
        history.version = UNKNOWN_VERSION
        if request.route.is_resumable:
            origin = self.origins.find(content_key(request), resumed_key(request))
            history.version = await origin or UNKNOWN_VERSION

    def can_go_on(self, request: RoutedRequest, history: AttemptHistory) -> bool:
        """Return whether a stream is new, or has a known version that some engine serves."""
        version = history.version
        if version is None or (
            version and self.forwarding.selector.engines.usable(request.service, version)
        ):
            return True
        why = (
            f"no engine of version {version}, which began the stream, serves"
            if version
            else "the version that began the stream is not known"
        )
        log(
            Event.STREAM_NOT_RESUMED,
            request=request.id,
            resumes=request.first_request,
            after=request.after_event,
            why=why,
        )
        history.record_not_resumable(why)
        return False

    async def resumable_stream(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        events: AsyncIterator[StreamEvent],
    ) -> AsyncIterator[StreamEvent]:
        """Yield all events of an answer, resuming at another engine if the stream breaks.

        Raise BrokenAnswerError if the stream cannot be resumed.
        """
        async with AsyncExitStack() as unfinished:
            # Its caller may come back.
            unfinished.callback(self.announce_origin, request, history)
            async with aclosing(self.joined_stream(request, history, stack, events)) as joined:
                async for event in joined:
                    if not history.has_brought_event:
                        history.has_brought_event = True
                        self.announce_origin(request, history)
                    yield event
            unfinished.pop_all()

    def announce_origin(self, request: RoutedRequest, history: AttemptHistory) -> None:
        """Tell the replicas of a stream the version that began it, if it may be resumed."""
        if history.version and request.route.is_resumable:
            streams = stream_keys(request)
            self.origins.announce(content_key(request), streams, history.version)

    async def joined_stream(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        events: AsyncIterator[StreamEvent],
    ) -> AsyncIterator[StreamEvent]:
        """Yield the events of one engine after another, as `resumable_stream` specifies."""
        last_event_id = request.after_event
        while True:
            try:
                followed = self.forwarding.mover.follow(request, history, events)
                async with aclosing(followed):
                    async for event in followed:
                        if event.event_id is not None:
                            if last_event_id is not None and event.event_id <= last_event_id:
                                continue
                            last_event_id = event.event_id
                        self.forwarding.confirm_answer(request, history, MAX_END_DELAY_S)
                        if history.version is None and history.placement is not None:
                            history.version = history.placement.engine.version
                        history.record_event(event.event_id)
                        yield event
                self.forwarding.runs.record_pace(request, history)
                self.forwarding.confirm_answer(request, history, 0.0)
                return
            except RunMovedError as error:
                events = await self.forwarding.mover.go_on_moved(request, history, stack, error)
                continue
            except AttemptError as error:
                failure = error
            self.forwarding.confirm_answer(request, history, MAX_END_DELAY_S)
            self.forwarding.metrics.count(f"attempts_failed.{type(failure).__name__}")
            if history.placement is not None:
                if history.answered_at is not None:
                    await self.forwarding.record_if_ended(request, history.placement)
                await self.forwarding.record_broken_stream(history.placement.engine)
                await self.forwarding.reach.confirm(request.service)
            if not request.route.is_resumable and history.backup and last_event_id is not None:
                events = await self.forwarding.runs.go_on(
                    request, history, stack, last_event_id, failure
                )
                continue
            if not request.route.is_resumable or last_event_id is None:
                raise BrokenAnswerError(str(failure))
            if history.version is None:
                # The router that began the stream has told its version to others.
                key = request_key(request, request.id)
                origin = self.origins.find(content_key(request), key)
                history.version = await origin or UNKNOWN_VERSION
            await stack.aclose()
            events = await self.resume(request, history, stack, last_event_id, failure)

    async def resume(
        self,
        request: RoutedRequest,
        history: AttemptHistory,
        stack: AsyncExitStack,
        last_event_id: int,
        failure: AttemptError,
    ) -> AsyncIterator[StreamEvent]:
        """Resume a stream after its last event; return the events that follow."""
        why, detail = str(failure), failure.detail
        log(Event.ATTEMPT_FAILED, request=request.id, why=why, detail=detail, after=last_event_id)
        if not (
            self.can_go_on(request, history)
            and self.forwarding.is_retry_allowed(request, history)
            and self.forwarding.retry_budget(request.service).try_acquire()
        ):
            raise BrokenAnswerError(str(failure))
        outcome = await self.forwarding.run_attempts(request, history, stack, last_event_id)
        if not isinstance(outcome, StreamAnswer):
            raise BrokenAnswerError(
                f"{failure}; no other engine resumed the stream after event {last_event_id}"
            )
        placement = history.placement
        log(
            Event.STREAM_RESUMED,
            request=request.id,
            after=last_event_id,
            engine=placement.engine.id if placement else None,
            version=history.version,
        )
        return outcome.events
