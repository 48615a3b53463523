"""Shedding of requests that could not start before their callers time out.

Load pattern: the engines have seconds of prefill queued. A long prompt ranks behind all shorter
ones, so its caller times out before the first token: the request is lost and the tokens prefilled
for it are wasted. If it is shed on arrival, its client retries once the engines have caught up.
Under pressure the less urgent are shed first.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.admission.queue_rank import LEAST_URGENT
from marjoramspool.clock import now
from marjoramspool.retry_delay import longest_retry_delay_s

__all__ = ["MIN_OVERTAKEN_RANK", "PrefillPressure", "PrefillRate", "Shed", "shed_request"]

# Also the upper limit: without measurements no request is shed for a wait that may be short.
INITIAL_TOKENS_PER_S = 70_000.0
MIN_TOKENS_PER_S = 5_000.0
SAMPLE_WEIGHT = 0.2
# Shorter prefills say little about the rate: one engine step is a large part of their time.
MIN_SAMPLE_TOKENS = 20_000
# Requests with a lower rank overtake the queue and are never shed.
MIN_OVERTAKEN_RANK = 5
MAX_WAIT_FRACTION = 0.3
# The same under pressure, by priority; the last is that of the least urgent.
PRESSED_WAIT_FRACTIONS = (0.6, 0.3, 0.2)
# Engines are under pressure while a request would wait for this part of its caller's patience
# before its own prefill, and for some time after.
PRESSURE_FRACTION = 0.15
PRESSURE_HOLD_S = 1.0
# By how much later the callers of each less urgent priority come back.
PRIORITY_DELAY_PART = 0.25
MIN_RETRY_DELAY_S = 0.5


@dataclass(slots=True, frozen=True)
class Shed:
    """A request shed for its expected wait, with the delay before its retry, in seconds."""

    wait_s: float
    retry_after_s: float


class PrefillRate:
    """Moving average of the prefill rate of one service's engines, in tokens per second."""

    __slots__ = ("tokens_per_s",)

    def __init__(self):
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def record(self, tokens: int, waited_s: float) -> None:
        """Record that the first event came after `waited_s`, with `tokens` to prefill before it."""
        if tokens < MIN_SAMPLE_TOKENS or waited_s <= 0.0:
            return
        sample = tokens / waited_s
        mean = self.tokens_per_s + SAMPLE_WEIGHT * (sample - self.tokens_per_s)
        self.tokens_per_s = max(MIN_TOKENS_PER_S, min(INITIAL_TOKENS_PER_S, mean))

    def prefill_time_s(self, tokens: int) -> float:
        """Return the time to prefill a number of tokens, in seconds."""
        return tokens / self.tokens_per_s


class PrefillPressure:
    """Whether the engines of one service have much to prefill before a new request."""

    __slots__ = ("clock", "until")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.until = -math.inf

    def record(self, wait_s: float, patience_s: float) -> None:
        """Record how long a request would wait at the best engine before its own prefill."""
        if wait_s > PRESSURE_FRACTION * patience_s:
            self.until = self.clock() + PRESSURE_HOLD_S

    def is_pressed(self) -> bool:
        """Return whether requests are ranked and shed by urgency first."""
        return self.clock() < self.until


def shed_request(
    rank: int,
    wait_s: float,
    first_event_timeout_s: float,
    remaining_s: float,
    jitter: float,
    pressed_priority: int | None = None,
) -> Shed | None:
    """Return a `Shed` if a request would wait too long, None if it may be sent.

    `wait_s` is the time to prefill what is queued at the best engine and `first_event_timeout_s`
    the time for which the caller waits for the first event. `jitter`, 0 to 1, spreads the retries.
    `pressed_priority` is that of the request while the engines are under pressure: the least urgent
    requests then wait for all others, however short they are.
    """
    priority = 0 if pressed_priority is None else min(LEAST_URGENT, pressed_priority)
    fraction = MAX_WAIT_FRACTION if pressed_priority is None else PRESSED_WAIT_FRACTIONS[priority]
    is_overtaken = rank >= MIN_OVERTAKEN_RANK or priority == LEAST_URGENT
    if not is_overtaken or wait_s <= fraction * min(first_event_timeout_s, remaining_s):
        return None
    max_delay_s = longest_retry_delay_s(remaining_s)
    delay_s = max(MIN_RETRY_DELAY_S, wait_s * (1.0 + jitter))
    retry_after_s = min(max_delay_s, delay_s * (1.0 + PRIORITY_DELAY_PART * priority))
    return Shed(wait_s, retry_after_s)
