"""Time that targets take for an answer, and targets that take far longer than they say.

Load pattern: targets tell how slow they are at the moment. What an answer takes is what answers of
the service usually take, times the slowness of its target. A target whose answers take several
times as long, again and again, is judged by them.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.request_limits import EngineKey
from marjoramspool.events import Event, log

__all__ = ["AnswerTimes", "UsualTime"]

# Answers before the usual time of a service is known, and before a target is judged by its own.
MIN_ANSWERS = 4
MIN_JUDGED_ANSWERS = 5
SAMPLE_WEIGHT = 0.05
JUDGED_WEIGHT = 0.15
# The usual time is not known any more this long after the last answer.
MAX_AGE_S = 10.0
# Time constant with which the judgement of a target fades, so that it is tried again.
JUDGEMENT_FADE_S = 10.0
# A judgement says nothing any more after this many fades.
MAX_FADES = 5.0
# What the answers of other targets take is compared again after this time.
BASELINE_AGE_S = 0.5
# Targets are judged if their answers take this many times what they say, in the geometric mean.
# Single answers of honest targets take several times as long when the speed changes meanwhile.
JUDGED_FACTOR = 2.0
MAX_RATIO = 10.0
# Standard deviation of a normal distribution, in mean absolute deviations.
DEVIATIONS = 1.25


@dataclass(slots=True, frozen=True)
class UsualTime:
    """Time that a target at its usual speed, without others waiting, takes for an answer."""

    mean_s: float
    spread_s: float


@dataclass(slots=True)
class Samples:
    """Decaying mean of the answer times of a service at the usual speed."""

    count: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0
    updated_at: float = 0.0

    def add(self, sample_s: float, now_s: float) -> None:
        """Add the time of one answer."""
        self.count += 1
        self.updated_at = now_s
        weight = max(SAMPLE_WEIGHT, 1.0 / self.count)
        self.deviation_s += weight * (abs(sample_s - self.mean_s) - self.deviation_s)
        if self.count == 1:
            self.deviation_s = 0.0
        self.mean_s += weight * (sample_s - self.mean_s)


@dataclass(slots=True)
class Judgement:
    """Decaying mean of the logarithm of taken over expected times of a target's answers."""

    service: str
    count: int = 0
    log_ratio: float = 0.0
    updated_at: float = 0.0
    is_logged: bool = False

    def faded(self, now_s: float) -> float:
        """Return the mean as far as it still counts."""
        return self.log_ratio * math.exp((self.updated_at - now_s) / JUDGEMENT_FADE_S)


class AnswerTimes:
    """Answer times of services, and the targets that are judged by theirs."""

    __slots__ = ("baselines", "clock", "judgements", "samples")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.samples: dict[str, Samples] = {}
        self.judgements: dict[EngineKey, Judgement] = {}
        # Baseline of each service, and when it was computed.
        self.baselines: dict[str, tuple[float, float]] = {}

    def record(self, engine: Engine, waited_s: float, before: float, after: float) -> None:
        """Record an answer.

        `before` and `after` are what it was expected to take as a multiple of the usual time, by
        the target's figures when it was sent and when it was answered.
        """
        if usual := self.usual(engine.service):
            self.judge(engine, waited_s / (usual.mean_s * max(before, after)))
        samples = self.samples.setdefault(engine.service, Samples())
        expected = math.sqrt(before * after) * self.excess(engine)
        samples.add(waited_s / expected, self.clock())

    def record_abandoned(self, engine: Engine, waited_s: float, expected: float) -> None:
        """Record an attempt without an answer, at which `expected` usual times were expected."""
        if usual := self.usual(engine.service):
            self.judge(engine, max(1.0, waited_s / (usual.mean_s * expected)))

    def prune(self, now_s: float) -> None:
        """Forget the judgements that have faded; some are of targets that have gone."""
        oldest = now_s - MAX_FADES * JUDGEMENT_FADE_S
        self.judgements = {k: j for k, j in self.judgements.items() if j.updated_at > oldest}

    def judge(self, engine: Engine, ratio: float) -> None:
        """Add the ratio of the taken to the expected time of one attempt."""
        now_s = self.clock()
        if engine.key not in self.judgements:
            self.prune(now_s)
        judgement = self.judgements.setdefault(engine.key, Judgement(engine.service))
        log_ratio = math.log(min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio)))
        before = judgement.faded(now_s)
        judgement.log_ratio = before + JUDGED_WEIGHT * (log_ratio - before)
        judgement.updated_at = now_s
        judgement.count += 1
        excess = self.excess(engine)
        if excess > 1.0 and not judgement.is_logged:
            log(Event.SPEED_DOUBTED, engine=engine.id, factor=round(excess, 2))
        judgement.is_logged = excess > 1.0

    def excess(self, engine: Engine) -> float:
        """Return how many times longer a target's answers take than it says, 1.0 if not far."""
        judgement = self.judgements.get(engine.key)
        if judgement is None or judgement.count < MIN_JUDGED_ANSWERS:
            return 1.0
        ratio = math.exp(judgement.faded(self.clock()) - self.baseline(engine.service))
        return ratio if ratio >= JUDGED_FACTOR else 1.0

    def baseline(self, service: str) -> float:
        """Return the median of a service's judgements, at most 0.

        It is below 0 if targets that are slower than they say are so many that they have raised the
        usual time.
        """
        now_s = self.clock()
        baseline, computed_at = self.baselines.get(service, (0.0, -math.inf))
        if now_s - computed_at >= BASELINE_AGE_S:
            ratios = sorted(
                judgement.faded(now_s)
                for judgement in self.judgements.values()
                if judgement.service == service and judgement.count >= MIN_JUDGED_ANSWERS
            )
            baseline = min(0.0, ratios[(len(ratios) - 1) // 2]) if ratios else 0.0
            self.baselines[service] = (baseline, now_s)
        return baseline

    def usual(self, service: str) -> UsualTime | None:
        """Return the usual time of a service's answers, None if it is not known."""
        samples = self.samples.get(service)
        if samples is None or samples.count < MIN_ANSWERS or samples.mean_s <= 0.0:
            return None
        if self.clock() - samples.updated_at > MAX_AGE_S:
            return None
        # The mean of few answers is uncertain by about as much as one of them counts.
        uncertain_s = samples.mean_s * max(SAMPLE_WEIGHT, 1.0 / samples.count)
        return UsualTime(samples.mean_s, DEVIATIONS * samples.deviation_s + uncertain_s)

    def remove_engine(self, engine: Engine) -> None:
        """Remove the judgement of a target that is gone or has restarted."""
        self.judgements.pop(engine.key, None)
