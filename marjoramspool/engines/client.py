"""Client of one kind of peer: the model engines."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager, suppress

import aiohttp
import msgspec

from marjoramspool.dispatch import Answer, Request, single_part
from marjoramspool.document import Target
from marjoramspool.engines.stream import (
    CutError,
    Event,
    StreamError,
    check_events,
    chunk_id,
    read_events,
)
from marjoramspool.events import Event as LogEvent
from marjoramspool.events import log
from marjoramspool.failures import (
    BrokenAnswerError,
    MayHaveRunError,
    NotSentError,
    SilentConnectionError,
    TargetRefusedError,
)
from marjoramspool.http import Sessions
from marjoramspool.targets import LoadReport

__all__ = ["Engines"]

REPORT_S = 1.0
RESUMES = 5
RESUME_PAUSE_S = 0.05
SHORTEST_IDLE_S = 0.001
NOT_RUN_STATUSES = (429, 503)
HTTP_OK = 200
MISSING = "missing"
DONE = "done"
JSON = "application/json"
SSE = "text/event-stream"


class Report(msgspec.Struct, frozen=True):
    """Hold a load report as engines publish it."""

    incarnation: int
    in_flight: int = 0
    queued: int = 0
    leaving: bool = False


class AttemptState(msgspec.Struct, frozen=True):
    """Hold what an engine says of an attempt."""

    state: str


class Engines:
    """Send attempts to engines and read their reports."""

    __slots__ = ("bytes", "sessions")

    def __init__(self, sessions: Sessions):
        self.sessions = sessions
        self.bytes = 0

    async def report(self, address: str) -> LoadReport | None:
        """Read an engine's load report; None if it does not answer."""
        try:
            timeout = aiohttp.ClientTimeout(total=REPORT_S)
            async with self.sessions.pooled.get(
                f"http://{address}/load", timeout=timeout
            ) as response:
                body = await response.read()
            report = msgspec.json.decode(body, type=Report)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
        self.bytes += len(body) + sum(len(k) + len(v) + 4 for k, v in response.raw_headers)
        self.bytes += sum(len(k) + len(v) + 4 for k, v in response.request_info.headers.items())
        return LoadReport(report.incarnation, report.in_flight, report.queued, report.leaving)

    @asynccontextmanager
    async def open(self, request: Request, target: Target, attempt: str, reuse: bool):
        """Send an attempt and yield its answer; raise as dispatch.Dispatcher says."""
        sending = asyncio.create_task(self.send(request, target, attempt, reuse))
        response = await self.watched(sending, request, target, attempt)
        try:
            if response.status in NOT_RUN_STATUSES:
                raise TargetRefusedError(f"engine {target.name} answered {response.status}")
            if request.is_stream and response.content_type == SSE:
                async with self.stream(request, target, attempt, response) as answer:
                    yield answer
            else:
                yield await self.read_whole(request, target, attempt, response)
        finally:
            response.close()

    async def send(
        self, request: Request, target: Target, attempt: str, reuse: bool
    ) -> aiohttp.ClientResponse:
        """Send an attempt and return the response once its head is there."""
        session = self.sessions.pick(reuse)
        headers = {
            "Content-Type": JSON,
            "X-Request-Id": attempt,
            "Priority": f"u={request.urgency}",
        }
        url = f"http://{target.address}{request.path}"
        try:
            return await session.post(url, data=request.body, headers=headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"engine {target.name} takes no connection") from error
        except (aiohttp.ClientError, OSError) as error:
            raise MayHaveRunError(f"engine {target.name} did not answer: {error!r}") from error

    async def watched(self, work: asyncio.Task, request: Request, target: Target, attempt: str):
        """Wait for a task on a connection; while it is silent, ask over a new one.

        Raise SilentConnectionError if the engine lives and this connection does not.
        """
        was_done = False
        try:
            while True:
                left_s = request.deadline - time.monotonic()
                idle_s = request.document.idle_timeout_s
                await asyncio.wait([work], timeout=max(0.0, min(left_s, idle_s)))
                if work.done():
                    return work.result()
                if left_s <= idle_s:
                    raise MayHaveRunError(f"engine {target.name} did not answer in time")
                state = await self.ask(target, attempt)
                if state is None:
                    raise MayHaveRunError(f"engine {target.name} is silent on new connections too")
                if state == MISSING or was_done:
                    raise SilentConnectionError(f"a connection to {target.name} went silent")
                was_done = state == DONE
        finally:
            work.cancel()

    async def ask(self, target: Target, attempt: str) -> str | None:
        """Ask over a new connection what became of an attempt; None if nobody answers."""
        url = f"http://{target.address}/v1/attempts/{attempt}"
        try:
            async with asyncio.timeout(REPORT_S), self.sessions.fresh.get(url) as response:
                if response.status != HTTP_OK:
                    return MISSING
                return msgspec.json.decode(await response.read(), type=AttemptState).state
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            return None

    async def read_whole(
        self, request: Request, target: Target, attempt: str, response: aiohttp.ClientResponse
    ) -> Answer:
        """Read an answer that is not a stream; nothing of it is passed on before all is there."""
        reading = asyncio.create_task(response.read())
        try:
            body = await self.watched(reading, request, target, attempt)
        except (aiohttp.ClientError, OSError) as error:
            raise MayHaveRunError(f"the answer broke off: {error!r}") from error
        if response.status == HTTP_OK and chunk_id(Event(0, body, body)) != attempt:
            log(LogEvent.ANSWER_REJECTED, attempt=attempt, engine=target.name)
            raise MayHaveRunError("the engine answered with another attempt's content")
        return Answer(response.status, {"Content-Type": JSON}, single_part(body), len(body))

    @asynccontextmanager
    async def stream(
        self,
        request: Request,
        target: Target,
        attempt: str,
        response: aiohttp.ClientResponse,
    ):
        """Yield a streamed answer whose first event has come."""
        events = self.whole_stream(request, target, attempt, response)
        try:
            try:
                first = await anext(events)
            except (StreamError, StopAsyncIteration) as error:
                raise MayHaveRunError(
                    f"the stream broke before its first event: {error}"
                ) from error
            yield Answer(HTTP_OK, {"Content-Type": SSE}, pass_on(first, events))
        finally:
            await events.aclose()

    async def whole_stream(
        self,
        request: Request,
        target: Target,
        attempt: str,
        response: aiohttp.ClientResponse,
    ) -> AsyncIterator[Event]:
        """Yield all events of an attempt, going on over new connections where one fails."""
        after = -1
        resumes = 0
        finished = False
        try:
            while not finished:
                try:
                    async with self.events(request, attempt, response, after) as events:
                        async for event in events:
                            after = max(after, event.number)
                            resumes = 0
                            finished = event.is_last
                            yield event
                except StreamError as error:
                    resumes += 1
                    response.close()
                    if resumes > RESUMES or time.monotonic() >= request.deadline:
                        raise
                    response = await self.resume(target, attempt, after, resumes, error)
        finally:
            response.close()
            if not finished:
                await self.cancel(target, attempt)

    @asynccontextmanager
    async def events(
        self, request: Request, attempt: str, response: aiohttp.ClientResponse, after: int
    ):
        """Yield the checked events of one connection."""
        left_s = max(SHORTEST_IDLE_S, request.deadline - time.monotonic())
        idle_s = min(request.document.idle_timeout_s, left_s)
        async with (
            aclosing(read_events(response.content, idle_s)) as raw,
            aclosing(check_events(raw, attempt, after)) as events,
        ):
            yield events

    async def resume(
        self, target: Target, attempt: str, after: int, tries: int, cause: Exception
    ) -> aiohttp.ClientResponse:
        """Go on with the same generation over a new connection; raise CutError if it is gone."""
        await asyncio.sleep(RESUME_PAUSE_S * (tries - 1))
        url = f"http://{target.address}/v1/streams/{attempt}"
        headers = {"Last-Event-ID": str(after)}
        try:
            async with asyncio.timeout(REPORT_S):
                response = await self.sessions.fresh.get(url, headers=headers)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise CutError(f"{cause}; the engine takes no new connection") from error
        if response.status != HTTP_OK:
            response.close()
            raise CutError(f"{cause}; the engine no longer has the attempt")
        log(LogEvent.STREAM_RESUMED, attempt=attempt, engine=target.name, after=after)
        return response

    async def cancel(self, target: Target, attempt: str) -> None:
        """Tell an engine that nobody waits for an attempt any more."""
        url = f"http://{target.address}/v1/streams/{attempt}"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(REPORT_S),
                self.sessions.fresh.delete(url) as response,
            ):
                await response.read()


async def pass_on(first: Event, events: AsyncIterator[Event]) -> AsyncIterator[bytes]:
    """Yield events as they came; raise BrokenAnswerError if the stream cannot go on."""
    yield first.raw
    if first.is_last:
        return
    try:
        async for event in events:
            yield event.raw
    except StreamError as error:
        raise BrokenAnswerError(str(error)) from error
