"""Simulated engines: prefill of one prompt at a time, concurrent decoding of answers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from marjoramspool.engine_state.prefix_caches import EngineCache
from marjoramspool.prompts import Prompt
from model.parameters import EngineParameters
from model.virtual_clock import VirtualClock

__all__ = ["Job", "ModelEngine", "PrefillCounts"]

CROSS_DOMAIN_COPY_FACTOR = 2


@dataclass(slots=True)
class Job:
    """One request at an engine, with callbacks for the end of prefill and of the answer."""

    prompt: Prompt
    rank: int
    source: "ModelEngine | None"
    on_prefilled: Callable[[], None]
    on_finished: Callable[[], None]
    is_abandoned: bool = False
    is_prefilled: bool = False


@dataclass(slots=True)
class PrefillCounts:
    """Prompt tokens by how they were obtained.

    Computed tokens were prefilled; recomputed ones are those of them in parts that some engine
    had prefilled before; cached ones were found in the engine's cache, also after a copy; copied
    ones came from the cache of another engine, in as many copies as `copies`.
    """

    computed: int = 0
    recomputed: int = 0
    cached: int = 0
    copied: int = 0
    copies: int = 0
    known_parts: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Reset the counts; parts prefilled before stay known."""
        self.computed = self.recomputed = self.cached = self.copied = self.copies = 0


class ModelEngine:
    """Simulated engine that serves jobs in the order of their ranks."""

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
        """Return the number of requests running or queued."""
        return self.running_requests + sum(not job.is_abandoned for _, _, job in self.queue)

    def submit(self, job: Job) -> None:
        """Queue a request."""
        heappush(self.queue, (job.rank, next(self.sequence_numbers), job))
        self.start_next_prefill()

    def start_next_prefill(self) -> None:
        """Prefill the next prompt, if no prefill is under way and a slot is free."""
        if self.prefill_until_s > self.clock():
            return
        while self.queue and self.running_requests < self.parameters.slots:
            job = heappop(self.queue)[2]
            if job.is_abandoned:
                continue
            self.prefill(job)
            return

    def prefill(self, job: Job) -> None:
        """Prefill the uncached part of a prompt, after copying what another engine has cached."""
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
        """Add or remove running requests and their memory; the cache has the remaining memory."""
        self.running_requests += requests
        self.running_tokens += tokens
        self.cache.capacity_tokens = max(0, self.parameters.memory_tokens - self.running_tokens)

    def count_prefill(self, missing_parts, prefill_tokens: int, tokens: int) -> None:
        """Count the tokens of one prefill."""
        counts = self.prefill_counts
        counts.computed += prefill_tokens
        counts.cached += tokens - prefill_tokens
        counts.recomputed += sum(
            part.tokens for part in missing_parts if part.id in counts.known_parts
        )
        counts.known_parts.update(part.id for part in missing_parts)

    def copy_prefix(self, job: Job) -> float:
        """Copy the prefix tokens cached only by the source; return the duration in seconds."""
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
        """Return the duration of one decoding step: one token of each running answer."""
        return (
            self.parameters.decode_step_s
            + self.parameters.decode_step_s_per_request * self.running_requests
        )

    def start_decoding(self, job: Job, tokens: int) -> None:
        """Report the end of prefill, start decoding and prefill the next prompt."""
        job.is_prefilled = True
        job.on_prefilled()
        self.clock.schedule(
            job.prompt.output_tokens * self.decode_step_s(), lambda: self.finish(job, tokens)
        )
        self.start_next_prefill()

    def finish(self, job: Job, tokens: int) -> None:
        """Report the end of an answer and free its slot and memory."""
        self.change_running(-1, -tokens)
        job.on_finished()
        self.start_next_prefill()


def request_memory_tokens(prompt: Prompt) -> int:
    """Return the memory in tokens that a request takes besides its shared parts."""
    return prompt.parts[-1].tokens + prompt.output_tokens
