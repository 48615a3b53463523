"""Rate limits that engines name: what all routers send there together, on a clock of its own."""

import random
from bisect import bisect_left

import pytest

from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.engine_state.request_limits import LimitNotice, RequestLimits, allowance

KEY = ("i-1", 1000)
STEP_S = 0.01
WINDOW_S = 4.0
# By the requirements, from `STABLE_S` after the first notice, of what the limit allows in a window.
STABLE_S = 3.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FakeRouters:
    """Routers that report to each other with a delay; `groups` hear only themselves."""

    def __init__(self, count, report_age_s, groups=1):
        self.clock = FakeClock()
        self.report_age_s = report_age_s
        self.history = [[] for _ in range(count)]
        self.groups = groups
        self.routers = [self.make_router(number, count) for number in range(count)]
        self.sent_at = []
        self.refused = []

    def make_router(self, number, count):
        limits = RequestLimits(lambda _: self.reported(number), self.clock)
        limits.share = lambda: len(range(number % self.groups, count, self.groups)) / count
        limits.report_age_s = lambda: self.report_age_s
        limits.phase = (number + 0.5) / count
        return limits

    def reported(self, number):
        """Return the sum of what the others reported, as old as reports are."""
        total = Load()
        due = self.clock.now - self.report_age_s
        for other in range(number % self.groups, len(self.routers), self.groups):
            reports = self.history[other]
            index = bisect_left(reports, due, key=lambda report: report[0]) - 1
            if other != number and index >= 0:
                total.add(reports[index][1])
        return total

    def learn(self, limit_per_s):
        for router in self.routers:
            router.record_notice(KEY, LimitNotice(limit_per_s, self.clock.now))

    def run(self, seconds, requests_per_s, rng):
        """Have requests arrive at random routers; send those for which the engine has room."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += STEP_S
            for _ in range(poisson(rng, requests_per_s * STEP_S)):
                self.place(rng.choice(self.routers), rng)
            for number, router in enumerate(self.routers):
                for _, load in router.own_loads():
                    self.history[number].append((self.clock.now, load))

    def place(self, router, rng):
        draw = rng.random()
        if router.select([KEY], lambda _: draw, is_urgent=True):
            router.record_sent(KEY)
            self.sent_at.append(self.clock.now)
        else:
            self.refused.append(router.all_limited([KEY], 15.0, rng.random()))

    def most_in_window(self):
        times = self.sent_at
        return max(bisect_left(times, at + WINDOW_S) - index for index, at in enumerate(times))


def poisson(rng, mean):
    count, product = 0, rng.random()
    while product > 2.718281828**-mean:
        count += 1
        product *= rng.random()
    return count


def allowed(limit_per_s):
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA


@pytest.mark.parametrize("limit_per_s", [0.3, 1.0, 4.0, 20.0])
def test_the_largest_sum_keeps_to_the_rate(limit_per_s):
    clock = FakeClock()
    limits = RequestLimits(clock=clock)
    limits.record_notice(KEY, LimitNotice(limit_per_s, clock.now))
    sent = 0
    for _ in range(int(60 / STEP_S)):
        clock.now += STEP_S
        if limits.select([KEY], lambda _: 0.5, is_urgent=True):
            limits.record_sent(KEY)
            sent += 1
    assert 0.85 * 60 * limit_per_s <= sent <= 1.05 * 60 * limit_per_s + allowance(limit_per_s) + 1


@pytest.mark.parametrize(
    ("routers", "report_age_s", "limit_per_s", "requests_per_s"),
    [
        (8, 0.03, 1.0, 40.0),
        (8, 0.03, 4.0, 200.0),
        (87, 0.3, 1.0, 20.0),
        (87, 0.3, 1.0, 200.0),
        (195, 0.45, 1.0, 100.0),
        (195, 0.45, 5.0, 100.0),
    ],
)
def test_many_routers_with_late_reports_keep_to_a_small_limit(
    routers, report_age_s, limit_per_s, requests_per_s
):
    """Demand is high when the engine names its limit, and grows fourfold later."""
    rng = random.Random(1)
    fleet = FakeRouters(routers, report_age_s)
    fleet.learn(limit_per_s)
    fleet.run(STABLE_S, requests_per_s / 4, rng)
    fleet.sent_at.clear()
    fleet.run(8.0, requests_per_s / 4, rng)
    fleet.run(8.0, requests_per_s, rng)
    assert fleet.most_in_window() <= allowed(limit_per_s)
    assert len(fleet.sent_at) >= 0.6 * 16.0 * limit_per_s


@pytest.mark.parametrize("groups", [2, 8, 40])
def test_routers_that_do_not_hear_each_other_share_a_limit(groups):
    """They are cut while they spend the limit together, and each group has its part."""
    rng = random.Random(2)
    fleet = FakeRouters(40, 0.03)
    fleet.learn(2.0)
    fleet.run(4.0, 60.0, rng)
    fleet.groups = groups
    fleet.run(16.0, 60.0, rng)
    assert fleet.most_in_window() <= allowed(2.0)
    assert len([at for at in fleet.sent_at if at > 104.0]) >= 0.5 * 16.0 * 2.0


def test_a_limit_that_falls_or_ends_is_followed():
    rng = random.Random(3)
    fleet = FakeRouters(8, 0.03)
    fleet.learn(20.0)
    fleet.run(6.0, 100.0, rng)
    fleet.learn(1.0)
    fleet.run(3.0, 100.0, rng)
    fleet.sent_at.clear()
    fleet.run(5.0, 100.0, rng)
    assert fleet.most_in_window() <= allowed(1.0)
    fleet.learn(None)
    fleet.refused.clear()
    fleet.run(1.0, 100.0, rng)
    assert not fleet.refused


def test_refused_requests_return_later_the_higher_the_demand():
    mean_delays = []
    for requests_per_s in (10.0, 40.0):
        fleet = FakeRouters(4, 0.03)
        fleet.learn(4.0)
        fleet.run(6.0, requests_per_s, random.Random(4))
        delays = [refusal.retry_after_s for refusal in fleet.refused]
        assert max(delays) <= 5.0
        assert len(set(delays)) > len(delays) / 2
        mean_delays.append(sum(delays) / len(delays))
    assert mean_delays[1] > 1.5 * mean_delays[0]


def test_less_urgent_requests_leave_room_and_are_not_starved():
    clock, rng = FakeClock(), random.Random(5)
    limits = RequestLimits(clock=clock)
    limits.record_notice(KEY, LimitNotice(8.0, clock.now))
    sent = {True: 0, False: 0}
    for _ in range(int(60 / STEP_S)):
        clock.now += STEP_S
        is_urgent = rng.random() < 0.5
        draw = rng.random()
        if rng.random() < 0.3 and limits.select([KEY], lambda _, d=draw: d, is_urgent):
            limits.record_sent(KEY)
            sent[is_urgent] += 1
    assert sent[True] > 1.3 * sent[False]
    assert sent[False] > 0.1 * sent[True]


def test_an_answer_to_an_earlier_request_does_not_end_a_limit():
    clock = FakeClock()
    limits = RequestLimits(clock=clock)
    sent_at = clock.now
    clock.now += 0.1
    limits.record_answer(KEY, 2.0, sent_at)
    limits.record_answer(KEY, None, sent_at)
    assert limits.limit_per_s(KEY) == 2.0
    clock.now += 0.1
    limits.record_answer(KEY, None, clock.now - 0.05)
    assert limits.limit_per_s(KEY) is None


def test_the_newest_observation_of_any_router_counts():
    clock = FakeClock()
    limits = RequestLimits(clock=clock)
    limits.record_notice(KEY, LimitNotice(2.0, 100.0))
    limits.record_notice(KEY, LimitNotice(None, 99.0))
    assert limits.limit_per_s(KEY) == 2.0
    limits.record_notice(KEY, LimitNotice(None, 101.0))
    assert limits.limit_per_s(KEY) is None
    clock.now += 60.0
    assert not limits.recent_notices()


def test_a_limit_that_routers_repeat_to_each_other_ends():
    """Each report takes a while on its way, so that its age is told too low."""
    clock = FakeClock()
    first, second = RequestLimits(clock=clock), RequestLimits(clock=clock)
    first.record_notice(KEY, LimitNotice(2.0, clock.now))
    for step in range(100):
        for source, receiver in ((first, second), (second, first)):
            told = [
                (key, n.requests_per_s, clock.now - n.observed_at)
                for key, n in source.recent_notices().items()
            ]
            clock.now += 0.04
            for key, limit_per_s, age_s in told:
                receiver.record_report(key, LimitNotice(limit_per_s, clock.now - age_s))
            if step == 50:
                source.record_answer(KEY, None, clock.now)
                clock.now += 0.001
    assert first.limit_per_s(KEY) is None
    assert second.limit_per_s(KEY) is None


def test_a_report_that_was_long_on_its_way_does_not_revive_a_limit():
    clock = FakeClock()
    limits = RequestLimits(clock=clock)
    limits.record_notice(KEY, LimitNotice(2.0, clock.now))
    told_age_s = 0.0
    clock.now += 0.2
    limits.record_answer(KEY, None, clock.now)
    clock.now += 0.6
    limits.record_report(KEY, LimitNotice(2.0, clock.now - told_age_s))
    assert limits.limit_per_s(KEY) is None
    clock.now += 2.0
    limits.record_report(KEY, LimitNotice(2.0, clock.now - told_age_s))
    assert limits.limit_per_s(KEY) == 2.0


def test_a_restarted_engine_has_no_limit():
    limits = RequestLimits(clock=FakeClock())
    limits.record_notice(KEY, LimitNotice(1.0, 100.0))
    limits.record_sent(KEY)
    assert limits.limit_per_s(("i-1", 2000)) is None
    limits.remove_engine(KEY)
    assert not limits.notices
