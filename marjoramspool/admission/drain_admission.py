"""Requests that become complete while a router stops, and what can be finished before it ends.

Load pattern: the head of a request came before the stop, and its body is complete only late. Passed
on, it would be cut at the end of the grace period, although it may not be repeated.
"""

import statistics
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.outcomes import Problem

__all__ = ["REFUSAL_S", "STOPPING", "AnswerDurations", "DrainAdmission", "Kind"]

MAX_SAMPLES = 64
# Older durations say nothing of what a service takes now.
MAX_AGE_S = 30.0
# A late request may take this many times as long as the longest of late, and this much more.
SPREAD = 1.25
MARGIN_S = 0.2
# Requests that are still being received are refused this long before the router ends, so that
# clients can read it.
REFUSAL_S = 0.5
STOPPING = Problem(
    503, "the router stops before the request would be finished", "send it again", 0.1
)


@dataclass(slots=True, frozen=True)
class Kind:
    """Requests that are expected to take about as long as one another."""

    service: str
    is_stream: bool


@dataclass(slots=True, frozen=True)
class Sample:
    """Duration of one answer, in seconds, and when it ended."""

    ended_at: float
    taken_s: float


@dataclass(slots=True, eq=False)
class Measurement:
    """Measurement of one request; only an answer says what its kind takes."""

    began_at: float
    is_answered: bool = False


class AnswerDurations:
    """Time that requests of each kind take, from the end of a request to that of its answer."""

    __slots__ = ("clock", "ended", "running")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.ended: dict[Kind, deque[Sample]] = defaultdict(lambda: deque(maxlen=MAX_SAMPLES))
        self.running: dict[Kind, set[Measurement]] = defaultdict(set)

    @contextmanager
    def measured(self, kind: Kind) -> Iterator[Measurement]:
        """Measure a block that serves a request, and says whether it got an answer."""
        measurement = Measurement(self.clock())
        self.running[kind].add(measurement)
        try:
            yield measurement
            if measurement.is_answered:
                ended_at = self.clock()
                self.ended[kind].append(Sample(ended_at, ended_at - measurement.began_at))
        finally:
            self.running[kind].discard(measurement)

    def recent(self, kind: Kind) -> list[float]:
        """Return the durations of the last answers, in seconds."""
        oldest = self.clock() - MAX_AGE_S
        return [s.taken_s for s in self.ended.get(kind, ()) if s.ended_at >= oldest]

    def typical_s(self, kind: Kind) -> float | None:
        """Return the median of the last durations, None if there are none."""
        recent = self.recent(kind)
        return statistics.median(recent) if recent else None

    def longest_s(self, kind: Kind) -> float | None:
        """Return the longest of the last durations, None if there are none.

        Requests in flight that have taken longer by now count as well.
        """
        recent = self.recent(kind)
        now_s = self.clock()
        if not recent:
            return None
        return max(*recent, *(now_s - m.began_at for m in self.running.get(kind, ())), 0.0)


class DrainAdmission:
    """Decision whether a request that is complete now is served by a router that may be stopping.

    Until the load balancer has removed the router, requests are expected, and one is refused only
    if most of its kind would not be finished. Later ones have to be known to be finished.
    """

    __slots__ = ("clock", "durations", "ends_at", "expected_until")

    def __init__(self, clock: Callable[[], float] = now):
        self.durations = AnswerDurations(clock)
        self.clock = clock
        self.ends_at: float | None = None
        self.expected_until = 0.0

    def begin(self, grace_s: float, removal_s: float) -> None:
        """Record that the router ends in `grace_s` and is removed from use in `removal_s`."""
        now_s = self.clock()
        self.ends_at = now_s + grace_s
        self.expected_until = now_s + removal_s

    def refuses(self, kind: Kind, remaining_s: float) -> bool:
        """Return whether a request with `remaining_s` until its deadline is refused as not run."""
        if self.ends_at is None:
            return False
        left_s = self.ends_at - self.clock()
        return left_s <= 0.0 or min(remaining_s, self.needed_s(kind, remaining_s)) > left_s

    def needed_s(self, kind: Kind, remaining_s: float) -> float:
        """Return the time that a request is taken to need, in seconds."""
        if self.clock() < self.expected_until:
            return self.durations.typical_s(kind) or 0.0
        longest_s = self.durations.longest_s(kind)
        return remaining_s if longest_s is None else SPREAD * longest_s + MARGIN_S
