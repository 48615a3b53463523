"""Stand-in for the engines: model engines that stream, and plain services.

A model engine keeps the memory of runs, copies it to another engine as a run asks, and goes on
with a run from such a copy. Its report is `report_lag_s` old. It does not drop a run when the
channel of its request closes.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["Engine", "Run"]

SIGNATURE = "3e1b.07.5a2"
COPY_PERIOD_S = 0.2


@dataclass
class Run:
    """One execution of a request; times are of `time.monotonic`."""

    id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    engine: str
    arrived_at: float
    started_at: float | None = None
    ended_at: float | None = None
    events: int = 0
    status: int = 0
    is_continued: bool = False
    is_stopped: bool = False


@dataclass
class Engine:
    """Engine of one service.

    `peers` maps addresses to the engines that exchange memory. `loses_answer` says after how many
    events the channel of a run is reset while the run goes on, None if its answer is not lost.
    """

    id: str
    service: str
    zone: str = "hu-central-a"
    is_model: bool = False
    slots: int = 64
    version: str = "v1"
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    events: int = 64
    event_s: float = 0.02
    first_token_s: float = 0.03
    work_s: float = 0.0225
    answer: bytes = b"x" * 800
    report_lag_s: float = 0.2
    peers: dict[str, "Engine"] = field(default_factory=dict)
    loses_answer: Callable[[Run], int | None] = lambda run: None
    moves_have_room: bool = True
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Run] = field(default_factory=list)
    at_work: dict[str, Run] = field(default_factory=dict)
    copies: dict[str, int] = field(default_factory=dict)
    handles: dict[str, tuple[str, int]] = field(default_factory=dict)
    snapshots: list[tuple[float, list]] = field(default_factory=list)
    calls: list[tuple[float, str]] = field(default_factory=list)
    address: str = ""
    server: asyncio.Server | None = None
    tasks: set = field(default_factory=set)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        self.peers[self.address] = self

    async def stop(self) -> None:
        """End as a process that exits."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def restart(self, down_s: float, version: str) -> None:
        """End as a process that crashes, and start again under the same id and address."""
        await self.stop()
        await asyncio.sleep(down_s)
        self.born, self.version = int(time.time() * 1000), version
        self.copies.clear()
        self.handles.clear()
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))

    def entry(self, state: str = "ready") -> dict:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    def record_runs(self) -> None:
        """Keep the list of runs as it is now, for reports that are some hundred ms old."""
        listed = [
            [r.id, 1000 + r.events, r.events, 5] for r in self.at_work.values() if r.started_at
        ]
        now = time.monotonic()
        self.snapshots.append((now, listed))
        while len(self.snapshots) > 1 and self.snapshots[1][0] < now - self.report_lag_s:
            del self.snapshots[0]

    def reported_runs(self) -> list:
        """Return the runs as they were some hundred ms ago."""
        at = time.monotonic() - self.report_lag_s
        known = [listed for taken_at, listed in self.snapshots if taken_at <= at]
        return known[-1] if known else []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one channel."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while run := await self.read_request(reader):
                if not await self.handle(run, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def read_request(self, reader: asyncio.StreamReader) -> Run | None:
        """Read one request; return None at the end of the channel."""
        try:
            block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            return None
        first, *lines = block.rstrip("\r\n").split("\r\n")
        method, path, _ = first.split(" ", 2)
        headers = {k.strip().lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        run_id = headers.get("x-request-id", "")
        return Run(run_id, method, path, headers, body, self.id, time.monotonic())

    def reply(self, writer, status: int, body: bytes = b"", request: str = "", **headers) -> bool:
        """Write an answer with a length."""
        fields = {"Content-Length": str(len(body))}
        if request:
            fields["X-Request-Id"] = request
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + body)
        return True

    def reply_json(self, writer, status: int, value: object) -> bool:
        """Write an answer in JSON."""
        return self.reply(
            writer, status, json.dumps(value).encode(), Content_Type="application/json"
        )

    async def handle(self, run: Run, writer) -> bool:
        """Answer one request; return whether the channel is kept."""
        path = run.path.partition("?")[0]
        if path.startswith("/marjoramspool/"):
            self.calls.append((run.arrived_at, f"{run.method} {run.path}"))
        if path == "/marjoramspool/report":
            return self.reply_json(writer, 200, self.report())
        if path == "/marjoramspool/kv-list":
            return self.reply_json(writer, 200, {"epoch": 1, "next_token": 1, "held": []})
        if path == "/marjoramspool/kv-move":
            return await self.move(run, writer)
        if path.startswith("/marjoramspool/"):
            return self.reply(writer, 200)
        if path == "/healthz":
            load = f"{len(self.at_work)},0,{self.slots}"
            return self.reply(writer, 200, X_Instance_Id=self.id, X_Server_Load=load)
        if run.headers.get("x-expect-instance", self.id) != self.id:
            return self.reply(writer, 421, request=run.id, X_Instance_Id=self.id)
        self.arrivals.append(run)
        if not self.is_model:
            return await self.answer_plain(run, writer)
        first = 1
        if "kv-from" in run.headers:
            address, _, name = run.headers["kv-from"].partition("/")
            memory = self.handles.pop(name, None)
            if memory is None and address == self.address and name in self.copies:
                memory = (name, self.copies.pop(name))
            if memory is None or memory[0] != run.id:
                return self.reply(writer, 503, request=run.id, X_Not_Executed="1")
            run.is_continued = True
            first = int(run.headers.get("last-event-id", "0")) + 1
        elif "last-event-id" in run.headers:
            first = int(run.headers["last-event-id"]) + 1
        return await self.stream(run, first, writer)

    def report(self) -> dict:
        """Return what the engine says of itself."""
        return {
            "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": len(self.reported_runs()),
            "kv_used": 0,
            "kv_total": 564648,
            "handles": 0,
            "state": "ready",
            "next_token": 0,
            "runs": self.reported_runs(),
            "born": self.born,
        }

    async def answer_plain(self, run: Run, writer) -> bool:
        """Run a request of a plain service."""
        run.started_at = time.monotonic()
        self.runs.append(run)
        self.at_work[run.id] = run
        await asyncio.sleep(self.work_s)
        del self.at_work[run.id]
        run.ended_at = time.monotonic()
        run.status = 200
        load = f"{len(self.at_work)},0,{self.slots}"
        signature = {"X_Response_Signature": SIGNATURE, "X_Server_Load": load}
        return self.reply(writer, 200, self.answer, run.id, **signature)

    async def stream(self, run: Run, first: int, writer) -> bool:
        """Run a request to its end and send its events, whether or not its channel stays open."""
        lost_after = self.loses_answer(run)
        self.at_work[run.id] = run
        self.runs.append(run)
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n"
                f"X-Request-Id: {run.id}\r\nX-Response-Signature: {SIGNATURE}\r\n"
                f"X-Weight-Versions: 1\r\n\r\n"
            ).encode()
        )
        await asyncio.sleep(self.first_token_s)
        run.started_at = time.monotonic()
        run.status = 200
        copied_at = 0.0
        try:
            for number in range(first, self.events + 1):
                if run.is_stopped:
                    return False
                run.events = number
                self.record_runs()
                if time.monotonic() - copied_at >= COPY_PERIOD_S:
                    copied_at = time.monotonic()
                    self.back_up(run)
                event = f"id: {number}\ndata: {run.id} {self.version} piece {number}\n\n".encode()
                if not writer.transport.is_closing():
                    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                    if lost_after is not None and number - first + 1 >= lost_after:
                        await writer.drain()
                        await asyncio.sleep(0.005)
                        writer.close()
                await asyncio.sleep(self.event_s)
            if peer := self.peers.get(run.headers.get("x-kv-backup", "")):
                peer.copies.pop(run.id, None)
        finally:
            if self.at_work.get(run.id) is run:
                del self.at_work[run.id]
            run.ended_at = time.monotonic()
            self.record_runs()
        if writer.transport.is_closing():
            return False
        writer.write(b"0\r\n\r\n")
        return True

    def back_up(self, run: Run) -> None:
        """Copy the memory of a run to the engine that the request names."""
        peer = self.peers.get(run.headers.get("x-kv-backup", ""))
        if peer is not None and peer.server and peer.server.is_serving():
            peer.copies[run.id] = run.events

    async def move(self, call: Run, writer) -> bool:
        """Stop a run and move its memory to another engine."""
        fields = json.loads(call.body)
        run = self.at_work.get(fields["id"])
        if run is None or not run.started_at:
            return self.reply(writer, 404)
        if fields.get("last"):
            run.is_stopped = True
            while run.id in self.at_work:
                await asyncio.sleep(0.002)
        await asyncio.sleep(0.02)
        handle = f"h{len(self.calls)}"
        peer = self.peers.get(fields["to"])
        if peer is not None and peer.server.is_serving() and self.moves_have_room:
            peer.handles[handle] = (run.id, run.events)
            return self.reply_json(writer, 200, {"handle": handle, "create_revision": run.events})
        if fields.get("last"):
            self.handles[handle] = (run.id, run.events)
            return self.reply_json(writer, 503, {"handle": handle})
        return self.reply(writer, 503)
