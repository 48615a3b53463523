"""Stand-in for an engine or a plain target on the platform, with fault injection.

It speaks HTTP over a plain socket, since no HTTP library sends many of its faulty responses.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from standins.faults import reset_connection

__all__ = ["Arrival", "PlatformEngine", "RunMemory"]

PIECE_INTERVAL_S = 0.005
PIECES_PER_STREAM = 6
# A report tells of the moment this long ago.
REPORT_LAG_S = 0.2
# Work is done in steps of this length, so that a change of the slowness reaches running requests.
WORK_STEP_S = 0.01
SIGNATURE = "sig.1"
SAME_REQUEST = "same"
# The id in a repeated refusal, by the kind of fault; without an id if it is empty.
REPEATED_REFUSALS = {"again-old": "r-earlier", "again-same": SAME_REQUEST, "again-unnamed": ""}


@dataclass(slots=True)
class Arrival:
    """One request that reached the engine."""

    id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    has_run: bool = False
    is_disconnected: bool = False
    at: float = field(default_factory=time.monotonic)
    # Requests in flight at the engine when this one arrived.
    running_before: int = 0
    # Whether the answer said that the engine leaves, the pause that it asked for, and the limit
    # that it named, in requests per second.
    has_announced: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    # Software version of the engine when the request arrived.
    version: str = ""
    has_sent_events: bool = False
    # Whether the engine was cold when the request arrived.
    is_cold: bool = False
    # Whether the engine goes on with a run that began elsewhere, from its memory.
    is_continued: bool = False
    # Events generated, and whether the run was stopped to move it.
    events: int = 0
    is_stopped: bool = False
    # When the engine began to execute it, with its first event, and when it stopped.
    began_at: float | None = None
    ended_at: float | None = None

    def was_executed_at(self, moment: float) -> bool:
        """Return whether the engine executed it at a moment."""
        if self.began_at is None or self.began_at > moment:
            return False
        return self.ended_at is None or self.ended_at > moment

    @property
    def content(self) -> tuple[str, str, bytes]:
        """Return what the memory of a run belongs to."""
        return self.method, self.path, self.body


@dataclass(slots=True)
class RunMemory:
    """Memory of a run: the request that it belongs to, and the events that were generated."""

    content: tuple[str, str, bytes]
    events: int


@dataclass(slots=True)
class PlatformEngine:
    """Engine or plain target; `faults` says, by kind, how many of the next requests fail.

    Faults: shed, error, reset (request executed, connection reset without a response), cut
    (connection closed midway), extra (a second response follows), unframed (no length, ends with
    the connection), unframed-cut (no length, reset midway), unframed-part (a stream without length
    or chunks that ends inside an event), close-after-report (connection closed after a report),
    foreign (response to another request), bare (no signature), repeat (a resumed stream starts
    over), mute (no response), busy503 (a 503 that does not say that the request was not executed),
    again-old, again-same, again-unnamed (an earlier refusal is written once more ahead of an answer
    on a kept connection: with its own id, with that of the request, or with none).
    While `is_leaving` is set, every response says so. While `retry_after_s` is set, requests are
    refused with it. While `limit_per_s` is set, every response names it. With `load_figures`, every
    response tells the load in that many figures, the fourth being the slowness; `load_text`
    replaces them. The engine ends when it begins to answer a request with a prompt part in
    `poison`, or when it begins to run one with a body in `poison_bodies`.

    With `memory_peers` it lists its runs as they were `report_lag_s` ago, without those in
    `preempted`, which wait for memory, copies the memory of a run to the engine that the request
    names while that one has room, and goes on from memory that it was sent. Faults of these: detach
    (the connection of a stream is reset midway and the run goes on for `detached_s`), move-busy (a
    move is refused with 409), move-mute (a move is not answered and the run goes on), move-full
    (the destination of a move has no room, so that the source keeps the memory of a stopped run).
    """

    id: str
    service: str
    is_stream: bool = False
    # Software version, and the Unix time of the start in milliseconds.
    version: str = "v1"
    started_ms: int = 1000
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    # Requests that it serves at a time, without bound if None; it turns others away.
    room: int | None = None
    # Until when it is cold, as `time.monotonic` counts; it says so in registrations and answers.
    cold_until: float = 0.0
    # It names this in every answer, and ends once it has turned more away in one second.
    brittle_per_s: float | None = None
    turned_away_at: list[float] = field(default_factory=list)
    on_fallen: Callable[[], None] = lambda: None
    work_s: float = 0.0
    # Current processing time, relative to the usual.
    slowness: float = 1.0
    # Whether a request keeps the slowness at its start.
    keeps_slowness: bool = False
    # Requests that it works on at a time, without bound if None; others wait.
    work_slots: int | None = None
    working: int = 0
    waiting: int = 0
    load_figures: int = 0
    load_text: str | None = None
    health_path: str | None = None
    # When each request for the health path arrived.
    probed_at: list[float] = field(default_factory=list)
    piece_interval_s: float = PIECE_INTERVAL_S
    pieces: int = PIECES_PER_STREAM
    # Bytes that are added to each answer and to each event.
    padding_bytes: int = 0
    # Time that it waits before it reads the body of a request.
    body_delay_s: float = 0.0
    faults: Counter = field(default_factory=Counter)
    arrivals: list[Arrival] = field(default_factory=list)
    poison: frozenset[str] = frozenset()
    poison_bodies: frozenset[bytes] = frozenset()
    # Engines by address that take memory of runs and send it, None if this one does neither.
    memory_peers: dict[str, "PlatformEngine"] | None = None
    # Memory that other engines have sent, by the id of the run, and the limit on their number.
    copies: dict[str, RunMemory] = field(default_factory=dict)
    copy_room: int = 1000
    # Time for which a run goes on after its connection has been reset by the fault `detach`.
    detached_s: float = 0.0
    at_work: dict[str, Arrival] = field(default_factory=dict)
    report_lag_s: float = REPORT_LAG_S
    preempted: set[str] = field(default_factory=set)
    # Memory that was moved here or kept here, by the address of its source and its handle.
    handles: dict[tuple[str, str], RunMemory] = field(default_factory=dict)
    move_s: float = 0.02
    moves: list[Arrival] = field(default_factory=list)
    on_poisoned: Callable[[], None] = lambda: None
    cached_blocks: list[tuple[str, str, int, str]] = field(default_factory=list)
    lists: int = 0
    reports: int = 0
    # Bytes in place of each answer to a request that goes on with a stream, None for the answer
    # itself; the connection is closed after them.
    resumption_answer: bytes | None = None
    # Refusals that were written once more.
    repeated: int = 0
    running: int = 0
    server: asyncio.Server | None = None
    address: str = ""
    open_writers: set = field(default_factory=set)
    free_slots: asyncio.Semaphore | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, on a free one if it is 0."""
        self.free_slots = asyncio.Semaphore(self.work_slots) if self.work_slots else None
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Stop listening and abort all open connections."""
        self.server.close()
        for arrival in list(self.at_work.values()):
            self.end_run(arrival)
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def restart(self, version: str, down_s: float = 0.0) -> None:
        """End, and start again under the same id and address with another software version."""
        await self.stop()
        await asyncio.sleep(down_s)
        self.version = version
        self.started_ms += 1
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))

    def registration(self, **changes) -> dict:
        """Return the engine's entry in the registry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.work_slots or 16,
            "state": "ready",
            "cold_remaining_ms": self.cold_ms(),
            "sequence": 1,
            "born": self.started_ms,
        }
        return entry | changes

    def cold_ms(self) -> int:
        """Return for how long the engine is still cold, in milliseconds."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def runs(self, request: str | None = None) -> int:
        """Return the number of executions, of all requests or of one."""
        return sum(a.has_run and request in (None, a.id) for a in self.arrivals)

    def consume(self, kind: str) -> bool:
        """Return whether a fault is armed, and count one occurrence if so."""
        if self.faults[kind] <= 0:
            return False
        self.faults[kind] -= 1
        return True

    def head(self, status: int, request: str, length: int | None, **more) -> bytes:
        """Return the status line and headers of a response of this engine."""
        notices = {"Server-Leaving": "1"} if self.is_leaving else {}
        if self.limit_per_s is not None:
            notices["Server-Limit"] = f"{self.limit_per_s}"
        if self.brittle_per_s is not None:
            notices["Server-Brittle"] = f"{self.brittle_per_s:g}"
        if self.cold_until:
            notices["X-Cold-Ms"] = f"{self.cold_ms()}"
        if self.load_text is not None or self.load_figures:
            notices["X-Server-Load"] = self.load_text or self.load_header()
        return head(status, request, length, **more, **notices)

    def load_header(self) -> str:
        """Return the figures that it tells of its load."""
        slots = self.work_slots or 16
        figures = (self.working, self.waiting, slots, round(100 * self.slowness))
        return ", ".join(map(str, figures[: self.load_figures]))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.open_writers.add(writer)
        try:
            is_kept_alive = False
            while arrival := await read_request(reader, self.body_delay_s):
                arrival.running_before = self.running
                self.running += 1
                if is_kept_alive:
                    self.repeat_refusal(arrival, writer)
                try:
                    is_kept_alive = await self.answer(arrival, reader, writer)
                finally:
                    self.running -= 1
                if not is_kept_alive:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The client disconnected, or the stand-in is stopping.
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    def repeat_refusal(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Write an earlier refusal once more if that is armed."""
        for kind, name in REPEATED_REFUSALS.items():
            if self.consume(kind):
                self.repeated += 1
                request = arrival.id if name == SAME_REQUEST else name
                writer.write(self.head(503, request, 0, **{"X-Not-Executed": "1"}))

    async def answer(self, arrival: Arrival, reader, writer) -> bool:
        """Answer one request; return whether the connection is kept alive."""
        if arrival.path == "/marjoramspool/kv-list":
            self.lists += 1
            body = msgspec.json.encode({"epoch": 1, "next_token": 1, "held": self.cached_blocks})
            writer.write(self.head(200, arrival.id, len(body)) + body)
            return True
        if arrival.path == "/marjoramspool/report":
            self.reports += 1
            report = {"running": self.running, "queued": self.queued(), "born": self.started_ms}
            if self.memory_peers is not None:
                report["runs"] = [(name, 0, 0, 0) for name in self.reported_runs()]
            body = msgspec.json.encode(report)
            writer.write(self.head(200, arrival.id, len(body)) + body)
            return not self.consume("close-after-report")
        if arrival.path == "/marjoramspool/kv-move":
            return await self.move(arrival, writer)
        if self.health_path is not None and arrival.path == self.health_path:
            self.probed_at.append(arrival.at)
            writer.write(self.head(200, arrival.id, 0))
            return True
        self.arrivals.append(arrival)
        if arrival.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(self.head(421, arrival.id, 0, **{"X-Instance-Id": self.id}))
            return True
        arrival.version = self.version
        arrival.is_cold = time.monotonic() < self.cold_until
        arrival.has_announced = self.is_leaving
        arrival.limit_per_s = self.limit_per_s
        if self.retry_after_s is not None:
            arrival.pause_s = self.retry_after_s
            notice = {"X-Not-Executed": "1", "Retry-After": f"{self.retry_after_s}"}
            writer.write(self.head(503, arrival.id, 0, **notice))
            return True
        if self.room is not None and self.running > self.room:
            writer.write(self.head(503, arrival.id, 0, **{"X-Not-Executed": "1"}))
            return not await self.has_fallen()
        if self.consume("shed"):
            writer.write(self.head(503, arrival.id, 0, **{"X-Not-Executed": "1"}))
            return True
        if self.poison & prompt_parts(arrival):
            await self.end_poisoned()
            return False
        if self.resumption_answer is not None and "last-event-id" in arrival.headers:
            name = arrival.id.encode()
            writer.write(self.resumption_answer.replace(b"%id", name))
            return False
        if "kv-from" in arrival.headers:
            return await self.go_on(arrival, reader, writer)
        arrival.has_run = True
        if arrival.body in self.poison_bodies:
            await self.end_poisoned()
            return False
        if self.consume("mute"):
            arrival.is_disconnected = not await reader.read(1)
            return False
        if self.consume("reset"):
            reset_connection(writer)
            return False
        if self.consume("error"):
            writer.write(self.head(500, arrival.id, 5) + b"error")
            return True
        if self.consume("busy503"):
            writer.write(self.head(503, arrival.id, 0))
            return True
        if self.is_stream:
            return await self.stream(arrival, reader, writer)
        return await self.plain(arrival, writer)

    def reported_runs(self) -> list[str]:
        """Return the ids of the runs that it executed when its report was made."""
        moment = time.monotonic() - self.report_lag_s
        executed = (a.id for a in self.arrivals if a.was_executed_at(moment))
        return [name for name in executed if name not in self.preempted]

    def queued(self) -> int:
        """Return the number of requests that wait to be executed or read in again."""
        return self.waiting + len(self.preempted)

    async def go_on(self, arrival: Arrival, reader, writer) -> bool:
        """Go on with a run from its memory, or refuse it if there is none."""
        address, _, name = arrival.headers["kv-from"].partition("/")
        memory = self.handles.pop((address, name), None)
        if memory is None and address == self.address:
            memory = self.copies.pop(name, None)
        if memory is None or memory.content != arrival.content:
            writer.write(self.head(503, arrival.id, 0, **{"X-Not-Executed": "1"}))
            return True
        arrival.is_continued = True
        return await self.stream(arrival, reader, writer)

    async def move(self, arrival: Arrival, writer) -> bool:
        """Move the memory of a run to another engine, and stop the run first if that is asked."""
        self.moves.append(arrival)
        handle = f"h{len(self.moves)}"
        fields = msgspec.json.decode(arrival.body)
        run = self.at_work.get(fields["id"])
        if self.memory_peers is None or run is None:
            writer.write(self.head(404, arrival.id, 0))
            return True
        if self.consume("move-busy"):
            writer.write(self.head(409, arrival.id, 0))
            return True
        if self.consume("move-mute"):
            await asyncio.sleep(5.0)
            return False
        if fields["last"]:
            run.is_stopped = True
            while self.at_work.get(run.id) is run:
                await asyncio.sleep(0.002)
        memory = RunMemory(run.content, run.events)
        await asyncio.sleep(self.move_s)
        peer = self.memory_peers.get(fields["to"])
        is_full = self.consume("move-full")
        if peer is not None and peer.server.is_serving() and not is_full:
            peer.handles[(self.address, handle)] = memory
            status, answer = 200, {"handle": handle, "create_revision": memory.events}
        else:
            status, answer = 503, {}
            if fields["last"]:
                self.handles[(self.address, handle)] = memory
                answer = {"handle": handle}
        body = msgspec.json.encode(answer)
        writer.write(self.head(status, arrival.id, len(body)) + body)
        return True

    def back_up(self, arrival: Arrival, events: int) -> None:
        """Copy the memory of a run to the engine that the request names."""
        peer = (self.memory_peers or {}).get(arrival.headers.get("x-kv-backup", ""))
        if peer is None or peer.server is None or not peer.server.is_serving():
            return
        if arrival.id in peer.copies or len(peer.copies) < peer.copy_room:
            peer.copies[arrival.id] = RunMemory(arrival.content, events)

    def drop_backup(self, arrival: Arrival) -> None:
        """Free the copy of a run that has ended successfully."""
        peer = (self.memory_peers or {}).get(arrival.headers.get("x-kv-backup", ""))
        if peer is not None:
            peer.copies.pop(arrival.id, None)

    async def has_fallen(self) -> bool:
        """Count a request that was turned away; return whether that ended the engine."""
        now = time.monotonic()
        self.turned_away_at = [at for at in self.turned_away_at if now - at < 1.0] + [now]
        if self.brittle_per_s is None or len(self.turned_away_at) <= self.brittle_per_s:
            return False
        self.on_fallen()
        await self.stop()
        return True

    async def end_poisoned(self) -> None:
        """End as a process that crashes, shortly after it began to run a request."""
        await asyncio.sleep(self.piece_interval_s)
        self.on_poisoned()
        await self.stop()

    async def plain(self, arrival: Arrival, writer) -> bool:
        """Send a short response."""
        await self.work()
        body = f"answer to {arrival.id}".encode() + b"a" * self.padding_bytes
        name = "another" if self.consume("foreign") else arrival.id
        if self.consume("unframed"):
            writer.write(self.head(200, name, None) + body)
            return False
        if self.consume("unframed-cut"):
            writer.write(self.head(200, name, None) + body[:4])
            await writer.drain()
            await asyncio.sleep(0.02)
            reset_connection(writer)
            return False
        if self.consume("cut"):
            writer.write(self.head(200, name, len(body)) + body[:4])
            await writer.drain()
            return False
        signature = {"X-Response-Signature": ""} if self.consume("bare") else {}
        writer.write(self.head(200, name, len(body), **signature) + body)
        if self.consume("extra"):
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(self.head(200, name, len(body)) + body)
        return True

    async def work(self) -> None:
        """Wait for a free slot and work on a request, at the speed of each moment."""
        if self.free_slots:
            self.waiting += 1
            try:
                await self.free_slots.acquire()
            finally:
                self.waiting -= 1
        self.working += 1
        try:
            await self.process(self.work_s)
        finally:
            self.working -= 1
            if self.free_slots:
                self.free_slots.release()

    async def process(self, left_s: float) -> None:
        """Process work of a number of seconds at the usual speed."""
        at = time.monotonic()
        slowness = self.slowness
        while left_s > 0.0:
            slowness = slowness if self.keeps_slowness else self.slowness
            await asyncio.sleep(min(WORK_STEP_S, left_s * slowness))
            before, at = at, time.monotonic()
            left_s -= (at - before) / slowness

    async def stream(self, arrival: Arrival, reader, writer) -> bool:
        """Execute a request whose answer is a stream; return whether the connection is kept."""
        self.at_work[arrival.id] = arrival
        try:
            return await self.send_events(arrival, reader, writer)
        finally:
            self.end_run(arrival)

    def end_run(self, arrival: Arrival) -> None:
        """Record the end of an execution."""
        if self.at_work.get(arrival.id) is arrival:
            del self.at_work[arrival.id]
            arrival.ended_at = time.monotonic()

    async def send_events(self, arrival: Arrival, reader, writer) -> bool:
        """Send events, starting after the one that Last-Event-ID names."""
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        if first > 1 and self.consume("repeat"):
            first = 1
        ends_inside = self.consume("unframed-part")
        is_unframed = ends_inside or self.consume("unframed")
        kind = {"Content-Type": "text/event-stream"} if is_unframed else {}
        writer.write(self.head(200, arrival.id, None, chunked=not is_unframed, **kind))
        for number in range(first, self.pieces + 1):
            await asyncio.sleep(self.piece_interval_s)
            if reader.at_eof():
                arrival.is_disconnected = True
                return False
            if arrival.is_stopped:
                return False
            data = f"piece {number}" + "a" * self.padding_bytes
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if number == first + 2 and self.consume("cut"):
                writer.write(chunk(event[:8]))
                await writer.drain()
                reset_connection(writer)
                return False
            if number == first + 2 and self.consume("detach"):
                reset_connection(writer)
                await asyncio.sleep(self.detached_s)
                return False
            if number == first + 2 and ends_inside:
                writer.write(event[:8])
                return False
            writer.write(event if is_unframed else chunk(event))
            arrival.has_sent_events = True
            arrival.began_at = arrival.began_at or time.monotonic()
            arrival.events = number
            self.back_up(arrival, number)
            await writer.drain()
        self.drop_backup(arrival)
        if is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True


def prompt_parts(arrival: Arrival) -> set[str]:
    """Return the ids of the prompt parts that a request names."""
    entries = arrival.headers.get("x-prompt-prefix", "").split(",")
    return {entry.partition(":")[0].strip() for entry in entries}


async def read_request(reader: asyncio.StreamReader, body_delay_s: float = 0.0) -> Arrival | None:
    """Read one request, its body after a delay; return None at the end of the connection."""
    try:
        block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = block.rstrip("\r\n").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    await asyncio.sleep(body_delay_s)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Arrival(headers.get("x-request-id", ""), method, path, headers, body)


def head(
    status: int, request: str, length: int | None, chunked: bool = False, **more: str
) -> bytes:
    """Return the status line and headers of a response."""
    headers = {"X-Request-Id": request, "X-Response-Signature": SIGNATURE} | more
    if chunked:
        headers |= {"Transfer-Encoding": "chunked", "Content-Type": "text/event-stream"}
    elif length is None:
        headers["Connection"] = "close"
    else:
        headers["Content-Length"] = str(length)
    lines = [f"{name}: {value}" for name, value in headers.items() if value]
    return "\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return data in chunked transfer coding."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
