"""Connection to a target, which passes on answers that are well-formed and whole."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from marjoramspool.answer_grammar import MalformedAnswerError
from marjoramspool.answer_scanner import AnswerScanner
from marjoramspool.events import Event, log

__all__ = ["READ_BYTES", "TargetConnection", "TargetRequest"]

MAX_DISCARDED_BYTES = 256 << 10
# Bytes of an answer that are read at a time, and that wait for a slow reader.
READ_BYTES = 32 << 10
# Requests of this size may be unread in the kernel of the peer when it stops sending. Whether it
# resets their connection shows within this time.
LONG_REQUEST_BYTES = 32 << 10
RESET_WAIT_S = 0.05
# Result of the system call that counts the bytes which the kernel has not delivered.
COUNT = struct.Struct("i")


class TargetRequest(aiohttp.ClientRequest):
    """Request that tells its connection whether its body was written."""

    async def write_bytes(
        self, writer: AbstractStreamWriter, conn: Connection, content_length: int | None = None
    ) -> None:
        """Write the body."""
        connection = conn.protocol
        connection.is_request_written = False
        connection.request_bytes = content_length or 0
        await super().write_bytes(writer, conn, content_length)
        # An error of the write is kept there.
        connection.is_request_written = connection.exception() is None


class TargetConnection(ResponseHandler):
    """Connection that checks each answer, and bounds what is no part of a body.

    Faults: the parser of the library accepts malformed answers, as browsers do; a body without
    length or chunks is reset, or ends while the request is still being written, which the parser
    takes for its end; a peer sends empty lines, interim answers or a chunk size without end, which
    the parser discards until the deadline of the request.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_idle_closed: Callable[[str], None] = lambda _: None,
    ):
        super().__init__(loop=loop)
        self.discarded_bytes = 0
        self.body_bytes = 0
        # Scanner of the answer to the newest request, None before the first.
        self.scanner: AnswerScanner | None = None
        self.is_request_written = True
        self.request_bytes = 0
        # Called with the `HOST:PORT` of a peer that closes a connection which could be used again.
        self.on_idle_closed = on_idle_closed
        self.peer = ""
        self.is_closed_by_peer = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record whose connection it is."""
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        super().connection_made(transport)
        # None if the peer has reset the connection already.
        peer = transport.get_extra_info("peername")
        self.peer = "{}:{}".format(*peer) if peer else ""

    def eof_received(self) -> bool:
        """Record that the peer sends nothing more; return whether to wait for a reset.

        Fail a body that this does not complete.
        """
        self.is_closed_by_peer = True
        super().eof_received()
        if not self.has_open_body:
            return False
        if not self.is_request_delivered():
            why = "the connection was closed before the request was read"
            self.break_off(aiohttp.ClientPayloadError(why))
            return False
        if self.request_bytes < LONG_REQUEST_BYTES:
            return False
        self._loop.call_later(RESET_WAIT_S, self.transport.close)
        return True

    @property
    def has_open_body(self) -> bool:
        """Return whether a body has begun that goes on until the connection is closed."""
        return self.scanner is not None and self.scanner.ends_with_connection

    def is_request_delivered(self) -> bool:
        """Return whether the host of the peer has received the whole request."""
        if not self.is_request_written or self.transport is None:
            return False
        return not self.transport.get_write_buffer_size() and not undelivered_bytes(self.transport)

    def set_response_params(self, *, skip_payload: bool = False, **params) -> None:
        """Prepare for the next response; `skip_payload` says that it has no body."""
        self.discarded_bytes = 0
        self.body_bytes = 0
        self.is_request_written = True
        self.request_bytes = 0
        self.scanner = AnswerScanner(is_bodiless=skip_payload)
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data: bytes) -> None:
        """Check received bytes, and parse those that belong to the answer."""
        if self.scanner is None:
            super().data_received(data)
            return
        try:
            size = self.scanner.feed(data)
        except MalformedAnswerError as error:
            log(Event.ANSWER_MALFORMED, target=self.peer, why=str(error), line=repr(error.excerpt))
            self.break_off(error)
            return
        super().data_received(data[:size])
        self.count_discarded(size)
        if size < len(data):
            self.end_after_answer()

    def count_discarded(self, size: int) -> None:
        """Count received bytes; break the connection after too many that are no part of a body."""
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if body_bytes > self.body_bytes:
            self.body_bytes = body_bytes
            self.discarded_bytes = 0
            return
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            text = f"the peer sent {self.discarded_bytes} bytes that are no part of a body"
            self.break_off(aiohttp.ClientPayloadError(text))

    def end_after_answer(self) -> None:
        """Close the connection after bytes that belong to no request."""
        self.force_close()
        if self.transport is not None and (self._payload is None or self._payload.is_eof()):
            self.transport.close()

    def break_off(self, error: aiohttp.ClientError) -> None:
        """Fail the response and close the connection."""
        payload = self._payload
        transport = self.transport
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that a reset has cut off; tell of a connection that was idle."""
        is_idle = not self.should_close
        if is_idle and (self.is_closed_by_peer or exc is not None):
            self.on_idle_closed(self.peer)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            # A reset that follows a close shows in the state of the socket alone.
            error = exc or pending_error(self.transport)
            if error is not None:
                payload.set_exception(aiohttp.ClientPayloadError(f"the connection broke: {error}"))
        super().connection_lost(exc)


def undelivered_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes the host of the peer has not acknowledged, 0 if unknown."""
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        result = fcntl.ioctl(descriptor, termios.TIOCOUTQ, COUNT.pack(0))
    except (AttributeError, OSError):
        return 0
    return COUNT.unpack(result)[0]


def pending_error(transport: asyncio.BaseTransport | None) -> OSError | None:
    """Return the error of a socket that nobody has been told of, None if there is none."""
    opened = transport and transport.get_extra_info("socket")
    if opened is None:
        return None
    try:
        number = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as error:
        return error
    return OSError(number, "the peer reset the connection") if number else None
