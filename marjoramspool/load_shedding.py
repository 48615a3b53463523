"""Turning away at once what could not begin before its caller leaves.

The load pattern it answers: the engines have seconds of prompts to read. A long prompt ranks behind
all shorter ones and its caller leaves before the first token, so that it is lost and what was read
of it is wasted. Turned away at once, it comes back when the engines have caught up.
"""

from dataclasses import dataclass

__all__ = ["MIN_OVERTAKEN_RANK", "PrefillRate", "Shed", "shed_request"]

# Before anything is measured nobody is turned away for a wait that may be short.
INITIAL_TOKENS_PER_S = 70_000.0
MIN_TOKENS_PER_S = 5_000.0
SAMPLE_WEIGHT = 0.2
# Short waits tell little of the pace, since a step of the engine is a large part of them.
MIN_SAMPLE_TOKENS = 20_000
# Requests that rank before this one overtake what waits.
MIN_OVERTAKEN_RANK = 5
MAX_WAIT_FRACTION = 0.3
MIN_RETRY_DELAY_S = 0.5
# Clients wait no longer than this share of the time they have left.
MAX_RETRY_DELAY_FRACTION = 1 / 3


@dataclass(slots=True, frozen=True)
class Shed:
    """State that a request is not sent, since it would wait too long; times in seconds."""

    wait_s: float
    retry_after_s: float


class PrefillRate:
    """Learn how fast the engines of a service read prompts, in tokens a second."""

    __slots__ = ("tokens_per_s",)

    def __init__(self):
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def record(self, tokens: int, waited_s: float) -> None:
        """Take in how long the first of an answer took with so many tokens to read before it."""
        if tokens < MIN_SAMPLE_TOKENS or waited_s <= 0.0:
            return
        sample = tokens / waited_s
        mean = self.tokens_per_s + SAMPLE_WEIGHT * (sample - self.tokens_per_s)
        self.tokens_per_s = max(MIN_TOKENS_PER_S, min(INITIAL_TOKENS_PER_S, mean))

    def prefill_time_s(self, tokens: int) -> float:
        """Return how long it takes to read so many tokens, in seconds."""
        return tokens / self.tokens_per_s


def shed_request(
    rank: int, wait_s: float, first_event_timeout_s: float, left_s: float, jitter: float
) -> Shed | None:
    """Return when a request should come back instead of waiting; None if it may wait.

    `wait_s` is the time to read what waits at the best engine, `first_event_timeout_s` how long its caller
    waits for the first of an answer; `jitter`, 0 to 1, spreads the returns.
    """
    if rank < MIN_OVERTAKEN_RANK or wait_s <= MAX_WAIT_FRACTION * min(
        first_event_timeout_s, left_s
    ):
        return None
    max_delay_s = MAX_RETRY_DELAY_FRACTION * left_s
    retry_after_s = min(max_delay_s, max(MIN_RETRY_DELAY_S, wait_s * (1.0 + jitter)))
    return Shed(wait_s, retry_after_s)
