"""Connection of a client, which bounds what it holds in each state of a request."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import HttpVersion11, StreamReader, web
from aiohttp.web_protocol import _ErrInfo

from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.admission.connection_records import ConnectionRecord, Phase
from marjoramspool.client_rejections import RejectedError, rejection_response
from marjoramspool.events import Event, log

__all__ = ["CONNECTION_BYTES", "ClientConnection", "ConnectionLimits"]

# Bytes read at a time, by which a limit may be passed before it is checked.
READ_BYTES = 16 << 10
# Bytes of a body that wait to be read by the router; the parser stops at twice this.
BODY_BUFFER_BYTES = 16 << 10
# Bytes of an answer that wait to be sent before its writer waits.
WRITE_BUFFER_BYTES = 32 << 10
MAX_REQUEST_LINE_BYTES = 65_536
# The number and the length of fields are bounded by the limit on the whole head.
UNBOUNDED = 1 << 30
# Memory of an open connection, and of a request that is being served.
CONNECTION_BYTES = 32 << 10
REQUEST_BYTES = 24 << 10
# Memory of a header field besides its bytes: strings, tuples and entries of the parsed headers.
FIELD_BYTES = 640
# Copies of a byte of a head: as received, as text, and as sent to the target.
HEAD_COPIES = 3
# Copies of a byte of a body: as received, and in the buffer of the connection to the target.
BODY_COPIES = 2
# Bytes sent for each byte of a body, up to which its framing costs no more than a body without.
USUAL_FRAMING = 2
# Bytes after a refusal that are read, so that the client can send on until it reads the refusal.
MAX_DISCARDED_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"
NO_MEMORY = "the router has no memory for the request; send it again"


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits on the heads that clients send; the functions return those in force."""

    header_bytes: Callable[[], int]
    header_timeout_s: Callable[[], float]


class ClientConnection(web.RequestHandler):
    """Client connection that charges a budget for what it holds.

    Faults: the library checks the length of each header field, not that of a head, of trailers or
    of chunk extensions; whatever arrives after malformed bytes is kept as one error for each read;
    the rest of a body that the parser gives up is waited for. It has no public options for these,
    so that private attributes of the pinned release are used.
    """

    __slots__ = (
        "body_scope",
        "body_size",
        "budget",
        "discarded_bytes",
        "header_timer",
        "is_discarding",
        "last_bytes",
        "limits",
        "newest_body",
        "open_transport",
        "queued_cost",
        "record",
        "rejection",
        "unparsed_bytes",
        "unparsed_cost",
    )

    def __init__(
        self,
        *args,
        budget: ClientBudget,
        record: ConnectionRecord,
        limits: ConnectionLimits,
        **kwargs,
    ):
        super().__init__(
            *args,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_REQUEST_LINE_BYTES,
            max_field_size=UNBOUNDED,
            max_headers=UNBOUNDED,
            read_bufsize=BODY_BUFFER_BYTES,
            **kwargs,
        )
        # Requests are read one ahead of the one that is served.
        self._max_msg_queue_size = 1
        self._msg_queue_resume_size = 0
        self.budget = budget
        self.record = record
        self.limits = limits
        self.header_timer: asyncio.TimerHandle | None = None
        # Timeout of the body that is being read, and why it ends before the body does.
        self.body_scope: asyncio.Timeout | None = None
        self.rejection: RejectedError | None = None
        self.newest_body: StreamReader | None = None
        self.body_size = 0
        # Received since a head was complete or a body grew, and what is charged for it.
        self.unparsed_bytes = 0
        self.unparsed_cost = 0
        self.last_bytes = b""
        # Charged for requests that wait for the answer to the one before.
        self.queued_cost = 0
        # Whether nothing that follows is a request.
        self.is_discarding = False
        self.discarded_bytes = 0
        # The library drops its own reference before all bytes are sent.
        self.open_transport: asyncio.Transport | None = None
        record.evict = self.evict
        record.abort = self.abort
        record.unsent_bytes = self.unsent_bytes

    @property
    def has_request(self) -> bool:
        """Return whether part of a request was received that is not answered."""
        return self.record.has_request

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers wait to be sent."""
        return self.open_transport.get_write_buffer_size() if self.open_transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the buffers of the connection."""
        self.open_transport = transport
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self.cancel_header_timer()
        self.open_transport = None
        self.budget.close(self.record)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, charge what they take, and refuse what exceeds a limit."""
        if self.record.phase is Phase.REFUSED or self.is_discarding:
            self.count_discarded(len(data))
        if self.is_discarding:
            return
        parsed_before = self._request_count
        had_open_body = self.has_open_body
        super().data_received(data)
        if self.transport is None:
            return
        self.record.record_received(len(data), self.budget.clock())
        parsed = self._request_count - parsed_before
        messages = list(self._messages)[-parsed:] if parsed else []
        if messages and isinstance(messages[-1][0], _ErrInfo):
            self._messages.pop()
            self.reject(400, "the request is malformed")
            return
        self.last_bytes = (self.last_bytes + data)[-len(HEAD_END) :]
        self.end_discarded_body()
        if messages:
            self.record_heads(messages, len(data))
        self.record_growth(data, bool(messages))
        if had_open_body and not self.has_open_body:
            # The end of a chunked body, which may come apart from its last chunk.
            self.forget_unparsed()
        if data and self.has_rest(data):
            # How long it is only the parser knows; it is less than one read.
            self.unparsed_bytes = max(1, self.unparsed_bytes)

    @property
    def has_open_body(self) -> bool:
        """Return whether the end of the newest body has not been received."""
        return self.newest_body is not None and not self.newest_body.is_eof()

    def has_rest(self, data: bytes) -> bool:
        """Return whether the start of a next head follows a request that ended in these bytes."""
        if self.newest_body is None or self.has_open_body:
            return False
        if self.last_bytes == HEAD_END:
            return False
        received = getattr(self.newest_body, "_buffer", None)
        return not received or not data.endswith(received[-1])

    def count_discarded(self, size: int) -> None:
        """Count bytes that follow a refusal; stop reading after too many."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.open_transport:
            self.open_transport.pause_reading()

    def end_discarded_body(self) -> None:
        """Become idle once the rest of a refused body has been discarded."""
        if self.record.phase is Phase.REFUSED and self.newest_body.is_eof():
            self.discarded_bytes = 0
            self.enter(Phase.IDLE)

    def record_heads(self, messages: list, size: int) -> None:
        """Charge the heads of requests that are complete now."""
        self.cancel_header_timer()
        fields = sum(len(message.raw_headers) for message, _ in messages)
        cost = fields * FIELD_BYTES + HEAD_COPIES * (size + self.unparsed_bytes)
        self.forget_unparsed()
        self.newest_body = messages[-1][1]
        self.body_size = 0
        if self.record.phase is not Phase.SERVED:
            self.enter(Phase.SERVED if self.newest_body.is_eof() else Phase.BODY)
        else:
            self.queued_cost += cost
        self.charge(cost)

    def record_growth(self, data: bytes, has_heads: bool) -> None:
        """Charge the growth of a body, or of what is no body and completes no head."""
        body_size = self.newest_body.total_bytes if self.newest_body else 0
        grown = body_size - self.body_size
        self.body_size = body_size
        if grown and self.record.phase is not Phase.REFUSED:
            self.forget_unparsed()
            if self.record.phase is Phase.SERVED:
                self.queued_cost += BODY_COPIES * grown
            self.charge(BODY_COPIES * grown)
            self.pause_for_framing(len(data) - USUAL_FRAMING * grown)
        elif data and not grown and not has_heads:
            self.record_unparsed(data)

    def pause_for_framing(self, size: int) -> None:
        """Read no more until the framing of the body is within what is parsed in a second.

        Fault: bodies in chunks of one byte take all processor time, and no request is answered.
        """
        delay_s = self.budget.framing.borrow(size) if size > 0 else 0.0
        if not delay_s or self._buffer_paused:
            return
        self._pause_reading_for_buffer()
        self.record.progressed_at += delay_s
        if self.is_reading_body:
            # The client cannot send meanwhile.
            self.body_scope.reschedule(self.body_scope.when() + delay_s)
        self._loop.call_later(delay_s, self.resume_reading_body)

    def resume_reading_body(self) -> None:
        """Read on after a pause."""
        if self.transport is not None and self._buffer_paused:
            self._resume_reading_for_buffer()

    def record_unparsed(self, data: bytes) -> None:
        """Charge bytes that complete no head and are no part of a body."""
        if self.record.phase in (Phase.OPENING, Phase.IDLE):
            self.enter(Phase.HEAD)
            self.start_header_timer()
        self.unparsed_bytes += len(data)
        limit = self.limits.header_bytes()
        if self.unparsed_bytes > limit + MAX_REQUEST_LINE_BYTES:
            self.reject(431, f"the headers are longer than {limit} bytes")
            return
        cost = data.count(b"\n") * FIELD_BYTES + HEAD_COPIES * len(data)
        self.unparsed_cost += cost
        self.charge(cost)

    def forget_unparsed(self) -> None:
        """Give back what was charged for bytes that were no head or body yet."""
        self.budget.release(self.record, self.record.held_bytes - self.unparsed_cost)
        self.unparsed_bytes = 0
        self.unparsed_cost = 0

    def charge(self, size: int) -> None:
        """Charge what was received; reject the request if there is no room for it.

        What follows a request that may have run is held, and no more is read until it is answered.
        """
        if self.budget.charge(self.record, size):
            return
        self.budget.add(self.record, size)
        if self.record.phase is Phase.SERVED:
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
            return
        self.budget.count_refusal("memory")
        self.reject(503, NO_MEMORY)

    def reserve_request(self) -> None:
        """Charge what serving a request takes; raise RejectedError if there is no room."""
        if not self.budget.charge(self.record, REQUEST_BYTES):
            self.budget.count_refusal("memory")
            raise RejectedError(503, NO_MEMORY)

    def start_header_timer(self) -> None:
        """Limit the time until the head is complete."""
        timeout_s = self.limits.header_timeout_s()
        why = f"request headers incomplete after {timeout_s:g} s"
        self.header_timer = self._loop.call_later(timeout_s, self.reject, 408, why)

    def cancel_header_timer(self) -> None:
        """End the limit on the time of a head."""
        if self.header_timer:
            self.header_timer.cancel()
            self.header_timer = None

    def enter(self, phase: Phase) -> None:
        """Begin a phase of the present request."""
        self.record.enter(phase, self.budget.clock())

    def evict(self) -> None:
        """Close the connection for others, with a refusal if it has part of a request."""
        if self.open_transport is None:
            return
        if self.record.phase in (Phase.HEAD, Phase.BODY) and not self.is_discarding:
            self.reject(503, "the router needs the room of the unfinished request; send it again")
        elif self.record.phase is Phase.REFUSED:
            self.abort()
        else:
            self.open_transport.close()

    def abort(self) -> None:
        """Drop the connection with what is unsent."""
        if self.open_transport is not None:
            self.open_transport.abort()

    def reject(self, status: int, why: str) -> None:
        """Answer a request that is not complete, and discard what follows it."""
        if self.is_discarding or self.transport is None:
            return
        self.cancel_header_timer()
        self.is_discarding = True
        # It would hold the fields that it has parsed until the connection ends.
        self._parser = None
        self.forget_unparsed()
        error = RejectedError(status, why)
        if self.record.phase is Phase.BODY:
            self.end_body(error)
            return
        # The rest never ends, so that the library leaves the client time to read the answer.
        rest = StreamReader(self, BODY_BUFFER_BYTES, loop=self._loop)
        self._messages.append((_ErrInfo(status, error, why), rest))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def end_body(self, error: RejectedError) -> None:
        """Have the read of the present body fail."""
        self.rejection = error
        if self.is_reading_body:
            self.body_scope.reschedule(self._loop.time())

    @property
    def is_reading_body(self) -> bool:
        """Return whether a body is being read whose time limit has not passed."""
        return self.body_scope is not None and not self.body_scope.expired()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a rejected head, or to a failure of the handler."""
        if not isinstance(exc, RejectedError):
            return super().handle_error(request, status, exc, message)
        # The library assumes the oldest version for what it could not parse.
        request._version = HttpVersion11
        log(Event.REQUEST_REJECTED, request="", status=exc.status, why=str(exc))
        response = rejection_response(exc)
        response.force_close()
        return response

    async def finish_response(self, request: web.BaseRequest, resp: web.StreamResponse, start_time):
        """Say that the connection is closed after its last answer, and send it."""
        if self.is_discarding and not self._messages:
            resp.force_close()
        return await super().finish_response(request, resp, start_time)

    async def _handle_request(self, request: web.BaseRequest, start_time, request_handler):
        """Record the begin and the end of serving a request."""
        self.enter(Phase.SERVED if request.content.is_eof() else Phase.BODY)
        if not self._messages:
            self.queued_cost = 0
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            if self.transport is not None:
                self.finish_request(request)

    def finish_request(self, request: web.BaseRequest) -> None:
        """Give back what an answered request held."""
        self.record.answer_deadline = None
        kept_bytes = CONNECTION_BYTES + self.unparsed_cost + self.queued_cost
        self.budget.release(self.record, kept_bytes)
        if self._messages:
            return
        if self.is_discarding and self.open_transport.can_write_eof():
            # The client sees the end of the answers, and can still send without a reset.
            self.open_transport.write_eof()
        if not request.content.is_eof():
            self.enter(Phase.REFUSED)
        elif self.unparsed_bytes:
            self.enter(Phase.HEAD)
            self.start_header_timer()
        else:
            self.enter(Phase.IDLE)
        if self._buffer_paused:
            self._resume_reading_if_drained()

    async def read_body(
        self, http_request: web.BaseRequest, max_bytes: int, timeout_s: float
    ) -> bytes:
        """Read a body; raise RejectedError if it is too long, too late or finds no memory."""
        if not http_request.can_read_body:
            return b""
        size = http_request.content_length or 0
        if size > max_bytes:
            raise RejectedError(413, f"the body is longer than {max_bytes} bytes")
        if not self.budget.can_take(self.record, BODY_COPIES * max(0, size - self.body_size)):
            self.budget.count_refusal("memory")
            raise RejectedError(503, NO_MEMORY)
        body = bytearray()
        try:
            async with asyncio.timeout(timeout_s) as self.body_scope:
                if self.rejection is not None:
                    raise self.rejection
                async for chunk in http_request.content.iter_any():
                    body += chunk
                    if len(body) > max_bytes:
                        raise RejectedError(413, f"the body is longer than {max_bytes} bytes")
        except TimeoutError as error:
            if self.rejection is not None:
                raise self.rejection from error
            raise RejectedError(408, f"the body took longer than {timeout_s:g} s") from error
        finally:
            self.body_scope = None
        self.enter(Phase.SERVED)
        return bytes(body)
