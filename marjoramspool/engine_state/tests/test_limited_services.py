"""All engines of a service name rate limits, and the demand exceeds the sum of them.

Load pattern: the demand of a whole service turns to the few engines whose allowance is free again,
before the reports of one router's requests have reached the others.
"""

import random
from bisect import bisect_left
from collections import Counter

import pytest

from marjoramspool.engine_state.engine_loads import NO_LOAD, Load
from marjoramspool.engine_state.request_limits import LimitNotice, RequestLimits

STEP_S = 0.01
# Reports pass a relay, so that they are two to three periods old.
PERIODS_BACK = 2
MEAN_AGE_PERIODS = 2.5
WINDOW_S = 4.0
# By the requirements, from `STABLE_S` after the first notice, of what the limit allows in a window.
STABLE_S = 3.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


class FakeFleet:
    """Routers that place requests among engines with limits, and hear of each other later."""

    def __init__(self, routers, engines, limit_per_s, report_period_s):
        self.now = 100.0
        self.report_period_s = report_period_s
        report_age_s = MEAN_AGE_PERIODS * report_period_s
        self.keys = [(f"i-{number}", 1000) for number in range(engines)]
        # Totals and single loads, by report period.
        self.reports = []
        self.routers = [self.make_router(n, limit_per_s, report_age_s) for n in range(routers)]
        self.sent = {key: [] for key in self.keys}
        self.wanted = 0

    def make_router(self, number, limit_per_s, report_age_s):
        limits = RequestLimits(lambda key: self.reported(number, key), lambda: self.now)
        limits.report_age_s = lambda: report_age_s
        for key in self.keys:
            limits.record_notice(key, LimitNotice(limit_per_s, self.now))
        return limits

    def reported(self, number, key):
        if len(self.reports) <= PERIODS_BACK:
            return NO_LOAD
        totals, single = self.reports[-1 - PERIODS_BACK]
        return totals.get(key, NO_LOAD).remaining(single[number].get(key, NO_LOAD))

    def report(self):
        totals, single = {}, []
        for router in self.routers:
            loads = dict(router.own_loads())
            single.append(loads)
            for key, load in loads.items():
                totals.setdefault(key, Load()).add(load)
        self.reports.append((totals, single))

    def run(self, seconds, per_s, rng):
        steps = round(seconds / STEP_S)
        steps_a_report = round(self.report_period_s / STEP_S)
        for step in range(steps):
            self.now += STEP_S
            if step % steps_a_report == 0:
                self.report()
            for _ in range(Counter(rng.random() < per_s * STEP_S / 20 for _ in range(20))[True]):
                self.place(rng.choice(self.routers), rng)

    def place(self, router, rng):
        self.wanted += 1
        draws = {name: rng.random() for name, _ in self.keys}
        selected = sorted(router.select(self.keys, draws.get, is_urgent=True))
        if selected:
            key = rng.choice(selected)
            router.record_sent(key)
            self.sent[key].append(self.now)

    def most_in_window(self, since):
        """Return the most requests that reached one engine in a window."""
        most = 0
        for times in self.sent.values():
            times = [at for at in times if at >= since]
            counts = (bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times))
            most = max(most, max(counts, default=0))
        return most


@pytest.mark.parametrize(
    ("routers", "engines", "limit_per_s", "report_period_s"),
    [(8, 4, 2.2, 0.03), (60, 12, 2.2, 0.12), (87, 24, 2.5, 0.12), (195, 24, 2.5, 0.2)],
)
def test_demand_that_turns_to_the_engine_with_room_keeps_to_its_limit(
    routers, engines, limit_per_s, report_period_s
):
    # Fault: routers that count only what one engine was wanted for all send at its free allowance.
    rng = random.Random(1)
    fleet = FakeFleet(routers, engines, limit_per_s, report_period_s)
    limits_per_s = engines * limit_per_s
    fleet.run(STABLE_S, 3.0 * limits_per_s, rng)
    began = fleet.now
    fleet.run(9.0, 3.0 * limits_per_s, rng)
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA
    assert fleet.most_in_window(began) <= allowed
    served = sum(at >= began for times in fleet.sent.values() for at in times)
    assert served >= 0.6 * 9.0 * limits_per_s
