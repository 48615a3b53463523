"""Connection to a target, which passes on answers that are well-formed and whole."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

from marjoramspool.answer_grammar import MalformedAnswerError
from marjoramspool.answer_scanner import AnswerScanner
from marjoramspool.events import Event, log

__all__ = ["READ_BYTES", "TargetConnection"]

MAX_DISCARDED_BYTES = 256 << 10
# Bytes of an answer that are read at a time, and that wait for a slow reader.
READ_BYTES = 32 << 10


class TargetConnection(ResponseHandler):
    """Connection that checks each answer, and bounds what is no part of a body.

    Faults: the parser of the library accepts malformed answers, as browsers do; a body without
    length or chunks is reset, which the parser takes for its end; a peer sends empty lines, interim
    answers or a chunk size without end, which the parser discards until the deadline of the
    request.
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

    def eof_received(self) -> None:
        """Record that the peer closes the connection."""
        self.is_closed_by_peer = True
        super().eof_received()

    def set_response_params(self, *, skip_payload: bool = False, **params) -> None:
        """Prepare for the next response; `skip_payload` says that it has no body."""
        self.discarded_bytes = 0
        self.body_bytes = 0
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
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"the connection broke: {exc!r}"))
        super().connection_lost(exc)
