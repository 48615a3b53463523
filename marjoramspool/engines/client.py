"""Dispatch of attempts to model engines, and polls of their load reports."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager, suppress

import aiohttp
import msgspec

from marjoramspool.answer_bodies import read_body, read_success
from marjoramspool.clock import now
from marjoramspool.dispatch import Answer, Request, single_part
from marjoramspool.document import Target
from marjoramspool.engines.stream import (
    Event,
    IncompleteStreamError,
    StreamError,
    check_events,
    chunk_id,
    read_events,
)
from marjoramspool.events import Event as LogEvent
from marjoramspool.events import log
from marjoramspool.failure_causes import describe_cause
from marjoramspool.failures import (
    BrokenAnswerError,
    MayHaveRunError,
    NotSentError,
    SilentConnectionError,
    TargetRefusedError,
)
from marjoramspool.http import LimitCallback, Sessions, report_limit
from marjoramspool.targets import LoadReport, limit_key
from marjoramspool.untrusted_json import decode_json

__all__ = ["EngineDispatcher"]

CONTROL_TIMEOUT_S = 1.0
MAX_CONSECUTIVE_RESUMES = 5
RESUME_BACKOFF_S = 0.05
MIN_IDLE_TIMEOUT_S = 0.001
NOT_RUN_STATUSES = (429, 503)
HTTP_OK = 200
MISSING = "missing"
DONE = "done"
JSON = "application/json"
SSE = "text/event-stream"


class Report(msgspec.Struct, frozen=True):
    """Load report as an engine publishes it; `leaving` means that the engine drains."""

    incarnation: int
    in_flight: int = 0
    queued: int = 0
    leaving: bool = False


class AttemptState(msgspec.Struct, frozen=True):
    """State of an attempt as its engine reports it."""

    state: str


class EngineDispatcher:
    """Dispatcher to model engines; it also reads their load reports."""

    __slots__ = ("load_report_bytes", "on_limit", "sessions")

    def __init__(self, sessions: Sessions):
        self.sessions = sessions
        self.on_limit: list[LimitCallback] = []
        self.load_report_bytes = 0

    async def fetch_load_report(self, address: str, reuse: bool = True) -> LoadReport | None:
        """Return an engine's load report, or None if the engine does not answer.

        If `reuse` is False, it is asked over a new connection.
        """
        sent_at = now()
        try:
            timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
            url = f"http://{address}/load"
            session = self.sessions.select(reuse)
            async with session.get(url, timeout=timeout, allow_redirects=False) as response:
                body = await read_success(response, self.sessions.memory)
            report = decode_json(body, Report)
        except (aiohttp.ClientError, MayHaveRunError, TimeoutError, msgspec.MsgspecError):
            return None
        report_limit(response, limit_key(address), sent_at, self.on_limit)
        self.load_report_bytes += len(body) + sum(
            len(k) + len(v) + 4 for k, v in response.raw_headers
        )
        self.load_report_bytes += sum(
            len(k) + len(v) + 4 for k, v in response.request_info.headers.items()
        )
        return LoadReport(report.incarnation, report.in_flight, report.queued, report.leaving)

    @asynccontextmanager
    async def open(
        self, request: Request, target: Target, attempt: str, reuse: bool, incarnation: int = 0
    ):
        """Send an attempt and yield its answer, as `Dispatcher.open` specifies."""
        sent_at = now()
        send_task = asyncio.create_task(self.send(request, target, attempt, reuse))
        response = await self.wait_with_liveness_checks(send_task, request, target, attempt)
        try:
            check_identity(response, target, attempt, reuse)
            is_stream = response.status == HTTP_OK and response.content_type == SSE
            if request.is_stream and is_stream:
                report_limit(response, limit_key(target.address), sent_at, self.on_limit)
                stream = self.open_stream(request, target, attempt, incarnation, response)
                async with stream as answer:
                    yield answer
                return
            # What an answer says is not believed before it is whole.
            answer = await self.read_body(request, target, attempt, response)
            report_limit(response, limit_key(target.address), sent_at, self.on_limit)
            if response.status in NOT_RUN_STATUSES:
                raise TargetRefusedError(f"engine {target.name} answered {response.status}")
            yield answer
        finally:
            response.close()

    async def send(
        self, request: Request, target: Target, attempt: str, reuse: bool
    ) -> aiohttp.ClientResponse:
        """Send an attempt and return the response once its headers are received."""
        headers = {
            "Content-Type": JSON,
            "X-Request-Id": attempt,
            "Priority": f"u={request.urgency}",
        }
        url = f"http://{target.address}{request.path}"
        try:
            return await self.sessions.request(
                request.document.name,
                reuse,
                "POST",
                url,
                data=request.body,
                headers=headers,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"could not connect to engine {target.name}") from error
        except (aiohttp.ClientError, OSError) as error:
            why = f"engine {target.name} gave no answer: {describe_cause(error)}"
            raise MayHaveRunError(why) from error

    async def wait_with_liveness_checks(
        self, task: asyncio.Task, request: Request, target: Target, attempt: str
    ):
        """Return the result of a task; check the attempt over new connections while it is pending.

        After each idle timeout the engine is asked for the state of the attempt. Raise
        SilentConnectionError if the engine does not know the attempt, or has reported it done and
        the answer does not arrive within a further idle timeout. Raise MayHaveRunError if the
        engine does not answer the query or the deadline passes.
        """
        was_reported_done = False
        try:
            while True:
                remaining_s = request.deadline - time.monotonic()
                idle_timeout_s = request.document.idle_timeout_s
                await asyncio.wait([task], timeout=max(0.0, min(remaining_s, idle_timeout_s)))
                if task.done():
                    return task.result()
                if remaining_s <= idle_timeout_s:
                    raise MayHaveRunError(
                        f"engine {target.name} did not answer before the deadline"
                    )
                state = await self.query_attempt_state(target, attempt)
                if state is None:
                    raise MayHaveRunError(
                        f"engine {target.name} is silent and did not answer a state query"
                    )
                if state == MISSING or was_reported_done:
                    raise SilentConnectionError(
                        f"connection to engine {target.name} is silent; attempt state: {state}"
                    )
                was_reported_done = state == DONE
        finally:
            task.cancel()

    async def query_attempt_state(self, target: Target, attempt: str) -> str | None:
        """Return the state of an attempt, queried over a new connection, or None on failure."""
        url = f"http://{target.address}/v1/attempts/{attempt}"
        try:
            async with (
                asyncio.timeout(CONTROL_TIMEOUT_S),
                self.sessions.unpooled.get(url, allow_redirects=False) as response,
            ):
                if response.status != HTTP_OK:
                    return MISSING
                body = await read_body(response, self.sessions.memory)
            return decode_json(body, AttemptState).state
        except (
            aiohttp.ClientError,
            MayHaveRunError,
            OSError,
            TimeoutError,
            msgspec.MsgspecError,
        ):
            return None

    async def read_body(
        self, request: Request, target: Target, attempt: str, response: aiohttp.ClientResponse
    ) -> Answer:
        """Return an answer that is not a stream, once its whole body is received."""
        read_task = asyncio.create_task(read_body(response, self.sessions.memory))
        body = await self.wait_with_liveness_checks(read_task, request, target, attempt)
        if response.status == HTTP_OK and chunk_id(Event(0, body, body)) != attempt:
            log(LogEvent.ANSWER_REJECTED, attempt=attempt, engine=target.name)
            raise MayHaveRunError(f"engine {target.name} answered with content of another attempt")
        return Answer(response.status, {"Content-Type": JSON}, single_part(body), len(body))

    @asynccontextmanager
    async def open_stream(
        self,
        request: Request,
        target: Target,
        attempt: str,
        incarnation: int,
        response: aiohttp.ClientResponse,
    ):
        """Yield a streamed answer once its first event is received."""
        events = self.iter_events(request, target, attempt, incarnation, response)
        try:
            try:
                first = await anext(events)
            except (StreamError, StopAsyncIteration) as error:
                raise MayHaveRunError(
                    f"the stream failed before its first event: {error}"
                ) from error
            yield Answer(HTTP_OK, {"Content-Type": SSE}, forward_events(first, events))
        finally:
            await events.aclose()

    async def iter_events(
        self,
        request: Request,
        target: Target,
        attempt: str,
        incarnation: int,
        response: aiohttp.ClientResponse,
    ) -> AsyncIterator[Event]:
        """Yield all events of an attempt; resume over a new connection when one fails.

        The engine is told to cancel the attempt if the stream is closed before its last event.
        """
        after = -1
        resumes = 0
        finished = False
        try:
            while not finished:
                try:
                    async with self.connection_events(request, attempt, response, after) as events:
                        async for event in events:
                            after = max(after, event.number)
                            resumes = 0
                            finished = event.is_last
                            yield event
                except StreamError as error:
                    resumes += 1
                    response.close()
                    if resumes > MAX_CONSECUTIVE_RESUMES or time.monotonic() >= request.deadline:
                        raise
                    await self.check_incarnation(target, incarnation, error)
                    response = await self.resume(target, attempt, after, resumes, error)
        finally:
            response.close()
            if not finished:
                await self.cancel(target, attempt)

    @asynccontextmanager
    async def connection_events(
        self, request: Request, attempt: str, response: aiohttp.ClientResponse, after: int
    ):
        """Yield an iterator over the checked events of one connection."""
        remaining_s = max(MIN_IDLE_TIMEOUT_S, request.deadline - time.monotonic())
        idle_timeout_s = min(request.document.idle_timeout_s, remaining_s)
        async with (
            aclosing(read_events(response.content, idle_timeout_s)) as raw,
            aclosing(check_events(raw, attempt, after)) as events,
        ):
            yield events

    async def check_incarnation(self, target: Target, incarnation: int, cause: Exception) -> None:
        """Raise IncompleteStreamError if an engine may have restarted since a stream began.

        Fault: other software starts at the address and goes on with what it did not begin. An
        `incarnation` of 0 is unknown; then the id of the attempt alone names the run.
        """
        if not incarnation:
            return
        report = await self.fetch_load_report(target.address, reuse=False)
        if report is None or report.incarnation != incarnation:
            raise IncompleteStreamError(
                f"{cause}; engine {target.name} is not known to be the one that began the stream"
            ) from cause

    async def resume(
        self, target: Target, attempt: str, after: int, resumes: int, cause: Exception
    ) -> aiohttp.ClientResponse:
        """Resume the same generation over a new connection, after event number `after`.

        Raise IncompleteStreamError if the engine does not answer or no longer has the attempt.
        """
        await asyncio.sleep(RESUME_BACKOFF_S * (resumes - 1))
        url = f"http://{target.address}/v1/streams/{attempt}"
        headers = {"Last-Event-ID": str(after)}
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                response = await self.sessions.unpooled.get(
                    url, headers=headers, allow_redirects=False
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise IncompleteStreamError(
                f"{cause}; engine {target.name} did not answer the resume: {describe_cause(error)}"
            ) from error
        if response.status != HTTP_OK:
            response.close()
            raise IncompleteStreamError(
                f"{cause}; resume after event {after} refused with status {response.status}"
            )
        log(LogEvent.STREAM_RESUMED, attempt=attempt, engine=target.name, after=after)
        return response

    async def cancel(self, target: Target, attempt: str) -> None:
        """Cancel an attempt at its engine; ignore connection failures."""
        url = f"http://{target.address}/v1/streams/{attempt}"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(CONTROL_TIMEOUT_S),
                self.sessions.unpooled.delete(url, allow_redirects=False),
            ):
                pass


def check_identity(
    response: aiohttp.ClientResponse, target: Target, attempt: str, is_reused: bool
) -> None:
    """Check that an answer belongs to an attempt; raise MayHaveRunError if it may not.

    Faults: an engine writes an earlier refusal once more on a connection that is in use again; it
    encodes its answer, unasked. An answer with content is checked by the id in that.
    """
    if "Content-Encoding" in response.headers:
        raise MayHaveRunError(f"engine {target.name} sent an encoded answer")
    echoed = response.headers.get("X-Request-Id")
    if echoed == attempt:
        return
    if echoed is not None or (is_reused and response.status != HTTP_OK):
        log(LogEvent.ANSWER_REJECTED, attempt=attempt, engine=target.name, echoed=echoed)
        raise MayHaveRunError(f"engine {target.name} answered {response.status} to another attempt")


async def forward_events(first: Event, events: AsyncIterator[Event]) -> AsyncIterator[bytes]:
    """Yield the bytes of events as received; raise BrokenAnswerError if the stream fails."""
    yield first.raw
    if first.is_last:
        return
    try:
        async for event in events:
            yield event.raw
    except StreamError as error:
        raise BrokenAnswerError(str(error)) from error
