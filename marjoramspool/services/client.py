"""Dispatch of attempts to the targets of plain services."""

import asyncio
import time
from contextlib import asynccontextmanager

import aiohttp
from yarl import URL

from marjoramspool.answer_bodies import read_body
from marjoramspool.clock import now
from marjoramspool.dispatch import Answer, Request, single_part
from marjoramspool.document import Target
from marjoramspool.events import Event, log
from marjoramspool.failure_causes import describe_cause
from marjoramspool.failures import MayHaveRunError, NotSentError, SilentConnectionError
from marjoramspool.http import LimitCallback, Sessions, report_limit
from marjoramspool.targets import limit_key

__all__ = ["ServiceDispatcher"]

UNFORWARDED_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "date",
    "server",
    "x-request-id",
}


class ServiceDispatcher:
    """Dispatcher to the targets of plain services."""

    __slots__ = ("on_limit", "sessions")

    def __init__(self, sessions: Sessions):
        self.sessions = sessions
        self.on_limit: list[LimitCallback] = []

    @asynccontextmanager
    async def open(
        self, request: Request, target: Target, attempt: str, reuse: bool, incarnation: int = 0
    ):
        """Send an attempt and yield its answer, as `Dispatcher.open` specifies."""
        sent_at = now()
        response = await self.send(request, target, attempt, reuse)
        try:
            if response.headers.get("X-Request-Id", attempt) != attempt:
                log(Event.ANSWER_REJECTED, attempt=attempt, target=target.name)
                raise MayHaveRunError(
                    f"target {target.name} answered with content of another attempt"
                )
            # Forward the body only when complete: until then an idempotent request can be retried.
            body = await self.read_body(request, response)
            report_limit(response, limit_key(target.address), sent_at, self.on_limit)
            yield Answer(
                response.status, filter_headers(response.headers), single_part(body), len(body)
            )
        finally:
            response.close()

    async def send(
        self, request: Request, target: Target, attempt: str, reuse: bool
    ) -> aiohttp.ClientResponse:
        """Send an attempt and return the response once its headers are received."""
        timeout_s = max(0.0, request.deadline - time.monotonic())
        if reuse:
            timeout_s = min(timeout_s, request.document.idle_timeout_s)
        headers = filter_headers(request.headers) | {"X-Request-Id": attempt}
        try:
            async with asyncio.timeout(timeout_s):
                return await self.sessions.request(
                    request.document.name,
                    reuse,
                    request.method,
                    URL(f"http://{target.address}{request.path}", encoded=True),
                    data=request.body or None,
                    headers=headers,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(f"could not connect to target {target.name}") from error
        except TimeoutError as error:
            error_class = SilentConnectionError if reuse else MayHaveRunError
            raise error_class(
                f"target {target.name} did not answer within {timeout_s:.2f} s"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            why = f"target {target.name} gave no answer: {describe_cause(error)}"
            raise MayHaveRunError(why) from error

    async def read_body(self, request: Request, response: aiohttp.ClientResponse) -> bytes:
        """Return the whole body of a response; raise MayHaveRunError if it breaks off."""
        try:
            async with asyncio.timeout(max(0.0, request.deadline - time.monotonic())):
                return await read_body(response, self.sessions.memory)
        except TimeoutError as error:
            raise MayHaveRunError("the answer was not whole before the deadline") from error


def filter_headers(headers) -> dict[str, str]:
    """Return the headers that are forwarded end to end."""
    return {key: value for key, value in headers.items() if key.lower() not in UNFORWARDED_HEADERS}
