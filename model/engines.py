"""Modelled engines: they read prompts one after the other and write answers side by side."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from marjoramspool.prefix_caches import EngineCache
from marjoramspool.prompts import Prompt
from model.shape import EngineShape
from model.time import VirtualTime

__all__ = ["Job", "ModelEngine", "Reading"]

FAR_COPY_FACTOR = 2


@dataclass(slots=True)
class Job:
    """Hold one request at an engine, and whom to tell when it begins and ends."""

    prompt: Prompt
    rank: int
    source: "ModelEngine | None"
    on_begun: Callable[[], None]
    on_ended: Callable[[], None]
    is_left: bool = False
    has_begun: bool = False


@dataclass(slots=True)
class Reading:
    """Count prompt tokens: read, read although an engine held them before, found, copied."""

    read: int = 0
    again: int = 0
    found: int = 0
    copied: int = 0
    copies: int = 0
    known: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Count anew; what was read once stays known."""
        self.read = self.again = self.found = self.copied = self.copies = 0


class ModelEngine:
    """Serve jobs in the order of their ranks."""

    __slots__ = (
        "cache",
        "domain",
        "name",
        "numbers",
        "reading",
        "reads_until",
        "running",
        "running_tokens",
        "shape",
        "time",
        "waiting",
    )

    def __init__(
        self, name: str, domain: str, shape: EngineShape, time: VirtualTime, reading: Reading
    ):
        self.name = name
        self.domain = domain
        self.shape = shape
        self.time = time
        self.reading = reading
        self.cache = EngineCache(shape.memory_tokens)
        self.waiting: list[tuple[int, int, Job]] = []
        self.numbers = count()
        self.running = 0
        self.running_tokens = 0
        self.reads_until = 0.0

    @property
    def requests(self) -> int:
        """Return how many requests run or wait here."""
        return self.running + sum(not job.is_left for _, _, job in self.waiting)

    def take(self, job: Job) -> None:
        """Take in a request."""
        heappush(self.waiting, (job.rank, next(self.numbers), job))
        self.begin_next()

    def begin_next(self) -> None:
        """Read the next prompt, if none is being read and there is a slot and memory."""
        if self.reads_until > self.time():
            return
        while self.waiting and self.running < self.shape.slots:
            job = heappop(self.waiting)[2]
            if job.is_left:
                continue
            self.read(job)
            return

    def read(self, job: Job) -> None:
        """Read what is not held of a prompt, after a copy of what another engine holds."""
        tokens = own_tokens(job.prompt)
        self.hold(1, tokens)
        seconds = self.copy(job)
        shared = job.prompt.parts[:-1]
        lacking = self.cache.missing(shared)
        unread = sum(part.tokens for part in lacking) + job.prompt.parts[-1].tokens
        self.count(lacking, unread, job.prompt.input_tokens)
        self.cache.insert(shared)
        seconds += self.step_s() + unread / self.shape.read_tokens_a_s
        self.reads_until = self.time() + seconds
        self.time.after(seconds, lambda: self.begin(job, tokens))

    def hold(self, requests: int, tokens: int) -> None:
        """Take or give back memory of running requests; the cache has what is left."""
        self.running += requests
        self.running_tokens += tokens
        self.cache.capacity_tokens = max(0, self.shape.memory_tokens - self.running_tokens)

    def count(self, lacking, unread: int, tokens: int) -> None:
        """Count what is read."""
        reading = self.reading
        reading.read += unread
        reading.found += tokens - unread
        reading.again += sum(part.tokens for part in lacking if part.id in reading.known)
        reading.known.update(part.id for part in lacking)

    def copy(self, job: Job) -> float:
        """Copy what another engine holds and this one lacks; return how long it takes."""
        source, shared = job.source, job.prompt.parts[:-1]
        if source is None:
            return 0.0
        tokens = source.cache.cached_tokens(shared) - self.cache.cached_tokens(shared)
        if tokens <= 0:
            return 0.0
        held = shared[: len(shared) - len(source.cache.missing(shared))]
        self.cache.insert(held)
        self.reading.copies += 1
        self.reading.copied += tokens
        factor = 1 if source.domain == self.domain else FAR_COPY_FACTOR
        return self.shape.copy_setup_s + factor * tokens / self.shape.copy_tokens_a_s

    def step_s(self) -> float:
        """Return how long an engine takes to write one token of each answer."""
        return self.shape.step_s + self.shape.step_s_a_slot * self.running

    def begin(self, job: Job, tokens: int) -> None:
        """Hand out the first of an answer, and read the next prompt."""
        job.has_begun = True
        job.on_begun()
        self.time.after(job.prompt.output_tokens * self.step_s(), lambda: self.end(job, tokens))
        self.begin_next()

    def end(self, job: Job, tokens: int) -> None:
        """Hand out the last of an answer."""
        self.hold(-1, -tokens)
        job.on_ended()
        self.begin_next()


def own_tokens(prompt: Prompt) -> int:
    """Return the memory that a request takes beside the parts that it shares."""
    return prompt.parts[-1].tokens + prompt.output_tokens
