"""Capacity of a service, from the slots of its engines and the time of requests there.

Load pattern: demand exceeds capacity. What is served then says little of the capacity: it falls
when admission lowers what is sent. Slots and the time in an engine do not.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.unreported_load import WorkRate

__all__ = ["CapacitySums", "ServiceCapacity", "ServiceView"]

# Time constant of the sums of answers, of their times and of refusals.
SMOOTHING_S = 2.0
# With fewer answers of all routers in the sums, the mean time is unknown.
MIN_ANSWERS = 0.5
# Part of the requests sent that engines may turn away before they count as having fewer places than
# slots. With old reports, engines without a queue are often full while others have room.
MAX_REFUSED_PART = 0.35
MAX_REFUSED_PART_OLD_REPORTS = 0.55
# Requests at an engine that a router may not know of, beside those that arrived since the reports.
UNSEEN_REQUESTS = 1
# Reports tell which engines have free slots if their age is at most this part of the mean time.
MAX_REPORT_AGE_PART = 0.5
FILL_CHANGE_PER_S = 0.4
MAX_FILL_CHANGE = 0.2
MIN_FILL = 0.05
# Engines that queue are kept a little above their slots, so that none of these is idle.
MAX_FILL = 1.15
# Engines that turn away more than this part do not queue.
MAX_QUEUE_REFUSED_PART = 0.03
# Part of a place that the fill may lack of a whole one.
PLACE_TOLERANCE = 0.25
# The requests at the engines are brought to their aim within this many report ages.
# With old reports, twice the time: demand is told as late as the requests there.
AIM_REPORT_AGES = 2.0
AIM_REPORT_AGES_OLD_REPORTS = 4.0
MIN_AIM_S = 0.05
# Engines without a queue turn more away the more is sent: beyond this, little more is served.
MAX_SURPLUS = 0.7
# With this part of the slots queued, engines have a queue for sure.
MAX_QUEUED_PART = 0.5
# What differs from the aim changes the rate by at most these factors.
MIN_RATE_FACTOR = 0.5
MAX_RATE_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class ServiceView:
    """What a router knows of a service: slots and requests at its usable engines.

    `heard_share` is the part of the fleet's `routers` that is heard, this one included.
    """

    slots: int
    requests: float
    routers: int = 1
    heard_share: float = 1.0
    report_age_s: float = 0.0


@dataclass(slots=True, frozen=True)
class CapacitySums:
    """Decaying sums of answers, of their times in seconds, and of refusals.

    `unexplained` are the refusals of engines that should have had room.
    """

    answers: float = 0.0
    times_s: float = 0.0
    refusals: float = 0.0
    unexplained: float = 0.0

    def plus(self, other: "CapacitySums") -> "CapacitySums":
        """Return the sum with those of other routers."""
        return CapacitySums(
            self.answers + other.answers,
            self.times_s + other.times_s,
            self.refusals + other.refusals,
            self.unexplained + other.unexplained,
        )


class ServiceCapacity:
    """Mean time of requests in the engines of a service, and the part of the slots to fill.

    The fill falls while engines turn requests away with fewer requests than it allows, as they do
    with fewer places than the slots that they registered, and rises while they answer.
    """

    __slots__ = (
        "answers",
        "changed_at",
        "clock",
        "fill",
        "others",
        "refusals",
        "times",
        "unexplained",
    )

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.fill = 1.0
        self.changed_at = clock()
        self.answers = WorkRate(clock, SMOOTHING_S)
        self.times = WorkRate(clock, SMOOTHING_S)
        self.refusals = WorkRate(clock, SMOOTHING_S)
        self.unexplained = WorkRate(clock, SMOOTHING_S)
        self.others = CapacitySums()

    def record_answer(self, time_s: float, requests: int, slots: int, view: ServiceView) -> None:
        """Record the time of a request in an engine that had `requests`, itself included.

        What exceeds the slots has waited; that time does not count. A full engine has got more
        requests since the reports than it shows.
        """
        if requests > slots:
            unseen = slots / (self.mean_time_s or math.inf) * view.report_age_s
            requests += min(slots, unseen * (1.0 - 1.0 / view.routers))
        self.answers.record(1.0)
        self.times.record(max(0.0, time_s) * min(1.0, slots / max(1, requests)))

    def record_refusal(self, requests: int, slots: int, view: ServiceView) -> None:
        """Record that an engine with `requests` turned another one away.

        By new reports, only an engine with fewer requests than it should hold lacks places.
        """
        slots_filled = self.fill * slots
        arrived = slots_filled / (self.mean_time_s or math.inf) * view.report_age_s
        is_explained = requests + UNSEEN_REQUESTS + arrived >= slots_filled
        self.refusals.record(1.0)
        if not (is_explained and self.tells_free_slots(view)):
            self.unexplained.record(1.0)

    def own_sums(self) -> CapacitySums:
        """Return what this router has to tell."""
        now_s = self.clock()
        rates = (self.answers, self.times, self.refusals, self.unexplained)
        return CapacitySums(*(rate.decayed_work(now_s) for rate in rates))

    def sums(self) -> CapacitySums:
        """Return the sums over all routers that are heard."""
        return self.own_sums().plus(self.others)

    def update(self, others: CapacitySums, view: ServiceView) -> None:
        """Use what other routers tell, and change the fill by the time that has passed."""
        self.others = others
        now_s = self.clock()
        passed_s, self.changed_at = now_s - self.changed_at, now_s
        sums = self.sums()
        is_new = self.tells_free_slots(view)
        allowed = MAX_REFUSED_PART if is_new else MAX_REFUSED_PART_OLD_REPORTS
        refused = sums.unexplained / max(1e-9, sums.answers + sums.unexplained)
        change = FILL_CHANGE_PER_S * passed_s * (1.0 - refused / allowed)
        is_queueing = sums.refusals <= MAX_QUEUE_REFUSED_PART * sums.answers
        max_fill = MAX_FILL if is_queueing else max(1.0, self.fill - FILL_CHANGE_PER_S * passed_s)
        change = max(-MAX_FILL_CHANGE, min(MAX_FILL_CHANGE, change))
        self.fill = max(MIN_FILL, min(max_fill, self.fill * (1.0 + change)))

    def places(self, slots: int) -> int:
        """Return how many requests an engine with some slots should have."""
        return max(1, math.ceil(self.fill * slots - PLACE_TOLERANCE))

    @property
    def mean_time_s(self) -> float | None:
        """Return the mean time of a request in an engine, None if there are no answers."""
        sums = self.sums()
        if sums.answers < MIN_ANSWERS or sums.times_s <= 0.0:
            return None
        return sums.times_s / sums.answers

    def tells_free_slots(self, view: ServiceView) -> bool:
        """Return whether reports are new enough to tell which engines have free slots."""
        return view.report_age_s <= MAX_REPORT_AGE_PART * (self.mean_time_s or 0.0)

    def mean_per_s(self, view: ServiceView) -> float | None:
        """Return the requests per second that the engines can run, None if it is unknown."""
        mean_time_s = self.mean_time_s
        if mean_time_s is None:
            return None
        return view.slots * min(1.0, self.fill) / mean_time_s

    def allowed_per_s(self, view: ServiceView) -> float | None:
        """Return the requests per second that may be sent by the routers that are heard.

        It is the capacity, more while the engines have fewer requests than they should and less
        while they have more, slowly enough that reports tell of the change. What arrives varies by
        the square root of its number: aimed at the slots alone, it would leave some idle.
        """
        capacity_per_s = self.mean_per_s(view)
        if capacity_per_s is None:
            return None
        aim = view.slots * self.fill + math.sqrt(view.slots)
        missing = aim - view.requests / view.heard_share
        is_new = self.tells_free_slots(view)
        ages = AIM_REPORT_AGES if is_new else AIM_REPORT_AGES_OLD_REPORTS
        aim_s = max(MIN_AIM_S, ages * view.report_age_s)
        factor = 1.0 + missing / aim_s / max(1e-9, capacity_per_s)
        factor = max(MIN_RATE_FACTOR, min(MAX_RATE_FACTOR, factor))
        return capacity_per_s * factor * self.surplus_factor(view) * view.heard_share

    def surplus_factor(self, view: ServiceView) -> float:
        """Return by how much more is sent than served, since engines turn a part away.

        With new reports requests wait for free slots instead. Engines that queue have more requests
        than slots: to send more would only keep their queues full.
        """
        if self.tells_free_slots(view):
            return 1.0
        queued_part = view.requests / view.heard_share / max(1, view.slots) - 1.0
        used = max(0.0, min(1.0, 1.0 - queued_part / MAX_QUEUED_PART))
        sums = self.sums()
        return 1.0 + used * min(MAX_SURPLUS, sums.refusals / max(1.0, sums.answers))

    def expected_time_s(self, view: ServiceView) -> float:
        """Return the expected time of one more request, 0 if it is unknown."""
        waiting = max(1.0, view.requests / view.heard_share / max(1, view.slots))
        return (self.mean_time_s or 0.0) * waiting
