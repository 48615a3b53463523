"""Stand-in for a model engine with continuous batching, a prefix cache and resumable streams."""

import asyncio
import heapq
import itertools
import random
import re
import time
from collections import OrderedDict
from collections.abc import Callable

import msgspec
import xxhash
from aiohttp import web

from standins.faults import Faults, abort_connection, hang
from standins.replies import reply

__all__ = ["EngineStandin", "EngineProfile"]

ABANDON_AFTER_S = 1.0
CHARACTERS_PER_TOKEN = 4
DEFAULT_TOKENS = 16
MAX_GENERATIONS = 2000


class EngineProfile(msgspec.Struct, frozen=True):
    """Speed and size of an engine; prefill and decode times are per token."""

    prefill_s: float = 0.00002
    decode_s: float = 0.001
    slots: int = 16
    cache_tokens: int = 200_000
    report_lag_s: float = 0.2


class Generation:
    """Events of one attempt, kept so that its stream can be resumed."""

    __slots__ = ("changed", "events", "is_cancelled", "is_done", "readers", "task")

    def __init__(self):
        self.events: list[bytes] = []
        self.is_done = False
        self.is_cancelled = False
        self.readers = 0
        self.changed = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, data: bytes) -> None:
        """Append an event and wake the readers."""
        number = len(self.events)
        self.events.append(b"id: %d\ndata: %s\n\n" % (number, data))
        self.wake()

    def wake(self) -> None:
        """Wake all readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineStandin:
    """Model engine on loopback, with faults that tests arm."""

    def __init__(
        self, profile: EngineProfile | None = None, checks_fencing: bool = True, seed: int = 1
    ):
        self.profile = profile or EngineProfile()
        self.checks_fencing = checks_fencing
        self.random = random.Random(seed)
        self.faults = Faults()
        self.incarnation = self.random.randrange(1, 1 << 31)
        self.is_draining = False
        self.running = 0
        self.peak = 0
        self.queue: list[tuple[int, int, asyncio.Future]] = []
        self.numbers = itertools.count()
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.generations: OrderedDict[str, Generation] = OrderedDict()
        self.executions: dict[str, int] = {}
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.model = ""
        self.fencing = 0
        self.orders: list[dict] = []
        self.silent_connections: set[int] = set()
        # The last refusal on each connection, as the id of its request.
        self.refused: dict[int, str] = {}
        self.reported = (0, 0)
        # Content that ends the engine, and what ends it.
        self.poison = b""
        self.on_poison: Callable[[], None] = lambda: None
        # Answer to each request that resumes a stream, None for the stream itself.
        self.resumption_answer: Callable[[str], web.Response] | None = None
        # Requests per second that each answer names as the limit.
        self.limit_per_s: float | None = None
        self.arrived_at: list[float] = []

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=1 << 26, middlewares=[self.apply_faults])
        app.on_response_prepare.append(self.name_limit)
        app.on_response_prepare.append(self.name_request)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_get("/v1/streams/{attempt}", self.resume)
        app.router.add_delete("/v1/streams/{attempt}", self.cancel)
        app.router.add_get("/v1/attempts/{attempt}", self.attempt_state)
        app.router.add_get("/load", self.load)
        app.router.add_get("/model", self.read_model)
        app.router.add_post("/orders", self.order)
        app.router.add_get("/_stats", self.stats)
        app.router.add_post("/_leave", self.toggle_draining)
        self.faults.add_routes(app)
        return app

    @web.middleware
    async def apply_faults(self, request: web.Request, handler):
        """Apply the armed faults that affect whole requests."""
        if request.path.startswith("/_"):
            return await handler(request)
        await self.faults.thawed.wait()
        if id(request.transport) in self.silent_connections:
            await hang()
        if request.path == "/v1/chat/completions":
            self.repeat_refusal(request)
            if self.faults.consume("refuse"):
                self.refused[id(request.transport)] = request.headers.get("X-Request-Id", "")
                return web.Response(status=503)
            if self.faults.consume("cut-before-run"):
                abort_connection(request)
                return web.Response(status=503)
        return await handler(request)

    def repeat_refusal(self, request: web.Request) -> None:
        """Write an earlier refusal once more if that is armed, with its id or without one."""
        refused = self.refused.get(id(request.transport))
        if refused is None:
            return
        if self.faults.consume("refuse-again"):
            write_refusal(request, {"X-Request-Id": refused})
        elif self.faults.consume("refuse-again-unnamed"):
            write_refusal(request, {})

    async def name_request(self, request: web.Request, response: web.StreamResponse) -> None:
        """Name the request in its answer, as it was named by the caller."""
        if "X-Request-Id" in request.headers:
            response.headers["X-Request-Id"] = request.headers["X-Request-Id"]

    async def name_limit(self, _: web.Request, response: web.StreamResponse) -> None:
        """Name the limit in an answer."""
        if self.limit_per_s is not None:
            response.headers["X-Requests-Per-Second"] = f"{self.limit_per_s}"

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serve a chat completion."""
        self.arrived_at.append(time.monotonic())
        data = await request.read()
        if self.poison and self.poison in data:
            self.on_poison()
            abort_connection(request)
            return web.Response(status=503)
        body = msgspec.json.decode(data)
        attempt = request.headers.get("X-Request-Id", f"attempt-{next(self.numbers)}")
        urgency = re.search(r"u=(\d)", request.headers.get("Priority", ""))
        priority = int(urgency.group(1)) if urgency else 3
        generation = Generation()
        self.generations[attempt] = generation
        while len(self.generations) > MAX_GENERATIONS:
            self.generations.popitem(last=False)
        self.executions[attempt] = self.executions.get(attempt, 0) + 1
        generation.task = asyncio.create_task(self.generate(generation, attempt, body, priority))
        if self.faults.consume("cut-after-run"):
            abort_connection(request)
            return web.Response(status=503)
        if body.get("stream"):
            return await self.stream(request, attempt, generation, 0)
        return await self.send_completion(request, attempt, generation)

    async def generate(
        self, generation: Generation, attempt: str, body: dict, priority: int
    ) -> None:
        """Run one generation in a slot."""
        await self.acquire_slot(priority)
        self.peak = max(self.peak, self.running)
        try:
            prompt, cached = self.look_up_prefix(body)
            await asyncio.sleep((prompt - cached) * self.profile.prefill_s)
            tokens = body.get("max_tokens", DEFAULT_TOKENS)
            tag = answer_tag(body)
            for number in range(tokens):
                if generation.is_cancelled:
                    return
                await asyncio.sleep(self.profile.decode_s)
                generation.add(chunk(attempt, f"{tag}-{number} "))
            generation.add(final_chunk(attempt, prompt, cached, tokens))
            generation.add(b"[DONE]")
            generation.is_done = True
        finally:
            self.release_slot()
            generation.wake()

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a slot; slots are given out in order of priority."""
        if self.running < self.profile.slots:
            self.running += 1
            return
        slot = asyncio.get_running_loop().create_future()
        heapq.heappush(self.queue, (priority, next(self.numbers), slot))
        await slot

    def release_slot(self) -> None:
        """Pass the slot to the first request in the queue, or free it."""
        while self.queue:
            _, _, slot = heapq.heappop(self.queue)
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1

    def look_up_prefix(self, body: dict) -> tuple[int, int]:
        """Return the number of prompt tokens and of cached ones, and cache the prompt."""
        hashed, prompt, cached, key = xxhash.xxh3_64(), 0, 0, 0
        for message in body["messages"]:
            text = f"{message['role']}:{message['content']}"
            hashed.update(text.encode())
            key = hashed.intdigest()
            prompt += max(1, len(text) // CHARACTERS_PER_TOKEN)
            if key in self.cache:
                self.cache.move_to_end(key)
                cached = prompt
            else:
                self.cache[key] = max(1, len(text) // CHARACTERS_PER_TOKEN)
        while sum(self.cache.values()) > self.profile.cache_tokens:
            self.cache.popitem(last=False)
        self.prompt_tokens += prompt
        self.cached_tokens += cached
        return prompt, cached

    async def stream(
        self, request: web.Request, attempt: str, generation: Generation, start: int
    ) -> web.StreamResponse:
        """Send the events of a generation, beginning with event number `start`."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        generation.readers += 1
        number = start
        try:
            while True:
                changed = generation.changed
                while number < len(generation.events):
                    if not await self.send_event(request, response, generation, number):
                        return response
                    number += 1
                if generation.is_done or generation.task.done():
                    break
                await changed.wait()
            await response.write_eof()
            return response
        finally:
            generation.readers -= 1
            self.schedule_cancellation(generation)

    async def send_event(
        self,
        request: web.Request,
        response: web.StreamResponse,
        generation: Generation,
        number: int,
    ) -> bool:
        """Send one event with the armed faults; return whether the stream continues."""
        event = generation.events[number]
        fault = next((f for f in self.faults.armed if f.after == number), None)
        if fault and fault.kind in STREAM_FAULTS:
            self.faults.consume(fault.kind)
            match fault.kind:
                case "cut":
                    abort_connection(request)
                    return False
                case "truncate":
                    await response.write_eof()
                    return False
                case "silent":
                    self.silent_connections.add(id(request.transport))
                    await hang()
                case "delay":
                    await asyncio.sleep(fault.seconds)
                case "duplicate":
                    await response.write(event)
                case "skip":
                    return True
                case "cross" | "wrong-id":
                    event = b"id: %d\ndata: %s\n\n" % (number, chunk("another-attempt", "stray "))
        await response.write(event)
        return True

    def schedule_cancellation(self, generation: Generation) -> None:
        """Cancel an unfinished generation that has no reader `ABANDON_AFTER_S` from now."""

        def cancel_if_unread() -> None:
            if not generation.readers and not generation.is_done:
                generation.is_cancelled = True

        asyncio.get_running_loop().call_later(ABANDON_AFTER_S, cancel_if_unread)

    async def send_completion(
        self, request: web.Request, attempt: str, generation: Generation
    ) -> web.StreamResponse:
        """Wait for the generation and send it as one response."""
        await generation.task
        texts, usage = [], None
        for event in generation.events[:-1]:
            data = msgspec.json.decode(event.partition(b"data: ")[2])
            texts += [choice["delta"].get("content", "") for choice in data["choices"]]
            usage = data.get("usage") or usage
        identity = "another-attempt" if self.faults.consume("wrong-id") else attempt
        message = {"role": "assistant", "content": "".join(texts)}
        body = msgspec.json.encode(
            {
                "id": identity,
                "object": "chat.completion",
                "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
                "usage": usage,
            }
        )
        if self.faults.consume("cut"):
            response = web.StreamResponse(headers={"Content-Length": str(len(body))})
            await response.prepare(request)
            await response.write(body[: len(body) // 2])
            abort_connection(request)
            return response
        return web.Response(body=body, content_type="application/json")

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Resume a stream after the event that Last-Event-ID names."""
        if self.resumption_answer:
            return self.resumption_answer(request.match_info["attempt"])
        generation = self.generations.get(request.match_info["attempt"])
        if generation is None or generation.is_cancelled:
            return web.Response(status=404)
        start = int(request.headers.get("Last-Event-ID", "-1")) + 1
        return await self.stream(request, request.match_info["attempt"], generation, start)

    async def attempt_state(self, request: web.Request) -> web.Response:
        """Return whether an attempt is running or done."""
        generation = self.generations.get(request.match_info["attempt"])
        if generation is None:
            return web.Response(status=404)
        return reply({"state": "done" if generation.task.done() else "running"})

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel an attempt."""
        generation = self.generations.get(request.match_info["attempt"])
        if generation:
            generation.is_cancelled = True
        return web.Response(status=204)

    async def load(self, request: web.Request) -> web.Response:
        """Return the load, which is out of date by `report_lag_s`."""
        current_load = (self.running, len(self.queue))
        loop = asyncio.get_running_loop()
        loop.call_later(self.profile.report_lag_s, setattr, self, "reported", current_load)
        return reply(
            {
                "incarnation": self.incarnation,
                "in_flight": self.reported[0],
                "queued": self.reported[1],
                "leaving": self.is_draining,
            }
        )

    async def read_model(self, request: web.Request) -> web.Response:
        """Return the loaded model."""
        return reply({"model": self.model})

    async def order(self, request: web.Request) -> web.Response:
        """Load the ordered model, unless the engine checks fencing and the number is stale."""
        order = msgspec.json.decode(await request.read())
        if self.checks_fencing and order["fencing"] < self.fencing:
            return web.Response(status=409)
        self.fencing = max(self.fencing, order["fencing"])
        self.model = order["model"]
        self.orders.append(order)
        return web.Response()

    async def toggle_draining(self, request: web.Request) -> web.Response:
        """Start or stop draining; with `restart` the cache is lost and the incarnation changes."""
        self.is_draining = not self.is_draining
        if "restart" in request.query:
            self.cache.clear()
            self.incarnation += 1
        return web.Response()

    async def stats(self, request: web.Request) -> web.Response:
        """Return counters for tests and measurements."""
        return reply(
            {
                "running": self.running,
                "queued": len(self.queue),
                "peak": self.peak,
                "executions": sum(self.executions.values()),
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
            }
        )


STREAM_FAULTS = ("cut", "truncate", "silent", "delay", "duplicate", "skip", "cross", "wrong-id")


def write_refusal(request: web.Request, headers: dict[str, str]) -> None:
    """Write a refusal ahead of the answer to a request."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["HTTP/1.1 503 Refused", "Content-Length: 0", *lines, "", ""])
    request.transport.write(head.encode())


def answer_tag(body: dict) -> str:
    """Return the tag of the last message, by which a caller recognizes its answer."""
    content = str(body["messages"][-1]["content"])
    return f"re:{xxhash.xxh3_64_hexdigest(content.encode())[:8]}"


def chunk(attempt: str, text: str) -> bytes:
    """Return one chunk of a streamed answer."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return msgspec.json.encode(
        {"id": attempt, "object": "chat.completion.chunk", "choices": [choice]}
    )


def final_chunk(attempt: str, prompt: int, cached: int, tokens: int) -> bytes:
    """Return the chunk that ends a streamed answer, with the token usage."""
    usage = {
        "prompt_tokens": prompt,
        "completion_tokens": tokens,
        "prompt_tokens_details": {"cached_tokens": cached},
    }
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    return msgspec.json.encode(
        {"id": attempt, "object": "chat.completion.chunk", "choices": [choice], "usage": usage}
    )
