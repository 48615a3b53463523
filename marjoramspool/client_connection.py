"""Connection of a client, with a limit on the time that it takes to send its headers."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from marjoramspool.events import Event, log

__all__ = ["ClientConnection"]

REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class ClientConnection(web.RequestHandler):
    """Client connection that limits the time to receive request headers.

    `has_request` states whether bytes of an unanswered request have been received;
    `header_timeout_s` returns the current limit.
    """

    __slots__ = ("has_request", "header_timeout_s", "header_timer")

    def __init__(self, *args, header_timeout_s: Callable[[], float], **kwargs):
        super().__init__(*args, **kwargs)
        self.header_timeout_s = header_timeout_s
        self.has_request = False
        self.header_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Start the header timer at the first bytes of a request."""
        if not self.has_request:
            self.has_request = True
            timeout_s = self.header_timeout_s()
            self.header_timer = self._loop.call_later(
                timeout_s, self.handle_header_timeout, timeout_s
            )
        super().data_received(data)

    def record_complete_headers(self) -> None:
        """Record that the headers of a request, possibly a pipelined one, are complete."""
        self.has_request = True
        self.header_timer.cancel()

    def handle_header_timeout(self, timeout_s: float) -> None:
        """Answer 408 and close the connection."""
        log(
            Event.REQUEST_REJECTED,
            request="",
            status=408,
            why=f"request headers incomplete after {timeout_s:g} s",
        )
        if self.transport:
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the header timer."""
        if self.header_timer:
            self.header_timer.cancel()
        super().connection_lost(exc)
