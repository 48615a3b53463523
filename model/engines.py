"""Modelled engines: they read prompts one after the other and write answers side by side."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from marjoramspool.prefix_caches import EngineCache
from marjoramspool.prompts import Prompt
from model.parameters import EngineParameters
from model.virtual_clock import VirtualClock

__all__ = ["Job", "ModelEngine", "PrefillCounts"]

CROSS_DOMAIN_COPY_FACTOR = 2


@dataclass(slots=True)
class Job:
    """Hold one request at an engine, and whom to tell when it begins and ends."""

    prompt: Prompt
    rank: int
    source: "ModelEngine | None"
    on_prefilled: Callable[[], None]
    on_finished: Callable[[], None]
    is_abandoned: bool = False
    is_prefilled: bool = False


@dataclass(slots=True)
class PrefillCounts:
    """Count prompt tokens: read, read although an engine held them before, found, copied."""

    computed: int = 0
    recomputed: int = 0
    cached: int = 0
    copied: int = 0
    copies: int = 0
    known_parts: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Count anew; what was read once stays known."""
        self.computed = self.recomputed = self.cached = self.copied = self.copies = 0


class ModelEngine:
    """Serve jobs in the order of their ranks."""

    __slots__ = (
        "cache",
        "domain",
        "name",
        "sequence_numbers",
        "prefill_counts",
        "prefill_until_s",
        "running_requests",
        "running_tokens",
        "parameters",
        "clock",
        "queue",
    )

    def __init__(
        self,
        name: str,
        domain: str,
        parameters: EngineParameters,
        clock: VirtualClock,
        prefill_counts: PrefillCounts,
    ):
        self.name = name
        self.domain = domain
        self.parameters = parameters
        self.clock = clock
        self.prefill_counts = prefill_counts
        self.cache = EngineCache(parameters.memory_tokens)
        self.queue: list[tuple[int, int, Job]] = []
        self.sequence_numbers = count()
        self.running_requests = 0
        self.running_tokens = 0
        self.prefill_until_s = 0.0

    @property
    def requests(self) -> int:
        """Return how many requests run or wait here."""
        return self.running_requests + sum(not job.is_abandoned for _, _, job in self.queue)

    def submit(self, job: Job) -> None:
        """Take in a request."""
        heappush(self.queue, (job.rank, next(self.sequence_numbers), job))
        self.start_next_prefill()

    def start_next_prefill(self) -> None:
        """Read the next prompt, if none is being read and there is a slot and memory."""
        if self.prefill_until_s > self.clock():
            return
        while self.queue and self.running_requests < self.parameters.slots:
            job = heappop(self.queue)[2]
            if job.is_abandoned:
                continue
            self.prefill(job)
            return

    def prefill(self, job: Job) -> None:
        """Read what is not held of a prompt, after a copy of what another engine holds."""
        tokens = request_memory_tokens(job.prompt)
        self.change_running(1, tokens)
        seconds = self.copy_prefix(job)
        shared = job.prompt.parts[:-1]
        missing_parts = self.cache.missing(shared)
        prefill_tokens = sum(part.tokens for part in missing_parts) + job.prompt.parts[-1].tokens
        self.count_prefill(missing_parts, prefill_tokens, job.prompt.input_tokens)
        self.cache.insert(shared)
        seconds += self.decode_step_s() + prefill_tokens / self.parameters.prefill_tokens_per_s
        self.prefill_until_s = self.clock() + seconds
        self.clock.schedule(seconds, lambda: self.start_decoding(job, tokens))

    def change_running(self, requests: int, tokens: int) -> None:
        """Take or give back memory of running requests; the cache has what is left."""
        self.running_requests += requests
        self.running_tokens += tokens
        self.cache.capacity_tokens = max(0, self.parameters.memory_tokens - self.running_tokens)

    def count_prefill(self, missing_parts, prefill_tokens: int, tokens: int) -> None:
        """Count what is read."""
        counts = self.prefill_counts
        counts.computed += prefill_tokens
        counts.cached += tokens - prefill_tokens
        counts.recomputed += sum(
            part.tokens for part in missing_parts if part.id in counts.known_parts
        )
        counts.known_parts.update(part.id for part in missing_parts)

    def copy_prefix(self, job: Job) -> float:
        """Copy what another engine holds and this one lacks; return how long it takes."""
        source, shared = job.source, job.prompt.parts[:-1]
        if source is None:
            return 0.0
        tokens = source.cache.cached_tokens(shared) - self.cache.cached_tokens(shared)
        if tokens <= 0:
            return 0.0
        copied_parts = shared[: len(shared) - len(source.cache.missing(shared))]
        self.cache.insert(copied_parts)
        self.prefill_counts.copies += 1
        self.prefill_counts.copied += tokens
        factor = 1 if source.domain == self.domain else CROSS_DOMAIN_COPY_FACTOR
        return self.parameters.copy_setup_s + factor * tokens / self.parameters.copy_tokens_per_s

    def decode_step_s(self) -> float:
        """Return how long an engine takes to write one token of each answer."""
        return (
            self.parameters.decode_step_s
            + self.parameters.decode_step_s_per_request * self.running_requests
        )

    def start_decoding(self, job: Job, tokens: int) -> None:
        """Hand out the first of an answer, and read the next prompt."""
        job.is_prefilled = True
        job.on_prefilled()
        self.clock.schedule(
            job.prompt.output_tokens * self.decode_step_s(), lambda: self.finish(job, tokens)
        )
        self.start_next_prefill()

    def finish(self, job: Job, tokens: int) -> None:
        """Hand out the last of an answer."""
        self.change_running(-1, -tokens)
        job.on_finished()
        self.start_next_prefill()


def request_memory_tokens(prompt: Prompt) -> int:
    """Return the memory that a request takes beside the parts that it shares."""
    return prompt.parts[-1].tokens + prompt.output_tokens
