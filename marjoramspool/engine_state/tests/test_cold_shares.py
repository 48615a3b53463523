"""Requests that all routers together send to engines that have just started, on a fake clock."""

import random

import pytest

from bench.traffic import most_in_window
from marjoramspool.bounds import Bounds
from marjoramspool.engine_state.cold_engines import ColdEngines
from marjoramspool.engine_state.cold_shares import FleetView
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.routes import NEVER_COLD, ColdStart

COLD = Engine("i-1", "desk", "1.1.1.1:1", "zone", 8, False, 1000)
WARM = Engine("i-2", "desk", "1.1.1.1:2", "zone", 8, False, 1000)
COLD_START = ColdStart(600.0, 4.0)
STEP_S = 0.01
# By the requirements, in any second and while there is demand.
ALLOWED = 4.0 * 1.5 + 5.0
USED_FRACTION = 0.5


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FakeRouters:
    """Routers of one fleet; `heard` returns the numbers of those that one of them hears."""

    def __init__(self, count, cold_start=COLD_START, bounds=None):
        self.clock = FakeClock()
        self.cold_start = cold_start
        self.bounds = bounds or Bounds()
        self.names = [f"10.0.0.{number}" for number in range(count)]
        self.unsettled = set()
        self.heard = lambda _: range(count)
        self.rng = random.Random(7)
        self.routers = [self.make_router(number) for number in range(count)]
        self.sent_at = []

    def make_router(self, number):
        cold = ColdEngines(lambda _: self.cold_start, self.clock)
        cold.bounds = self.bounds
        cold.shares.fleet = lambda: self.view(number)
        cold.shares.draw = self.rng.random
        cold.record_answer(COLD, 600.0, self.clock.now)
        return cold

    def view(self, number):
        live = tuple(sorted(self.names[other] for other in {*self.heard(number), number}))
        return FleetView(self.names[number], live, len(self.names), number not in self.unsettled)

    def run(self, seconds, per_s, engines=(COLD, WARM)):
        """Have requests arrive at random routers, which send them to the cold engine if they may.

        Return the seconds that passed.
        """
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += STEP_S
            while self.rng.random() < per_s * STEP_S / (1.0 + per_s * STEP_S):
                self.place(self.rng.choice(self.routers), engines)
        return seconds

    def place(self, router, engines=(COLD, WARM)):
        if COLD in router.select(list(engines)):
            router.record_sent(COLD)
            self.sent_at.append(self.clock.now)

    def most(self):
        return most_in_window(self.sent_at, 0.0, 1.0)


@pytest.mark.parametrize("engines", [(COLD, WARM), (COLD,)])
@pytest.mark.parametrize("count", [1, 3, 8, 66, 195])
def test_a_cold_engine_gets_no_more_than_it_sustains_and_at_least_half(count, engines):
    # Fault: each router sends its next request to the engine that is the least loaded.
    fleet = FakeRouters(count)
    seconds = fleet.run(20.0, 20.0 + 2.0 * count, engines)
    assert fleet.most() <= ALLOWED
    assert len(fleet.sent_at) >= USED_FRACTION * COLD_START.per_s * seconds


@pytest.mark.parametrize("count", [8, 66, 195])
@pytest.mark.parametrize("groups", [2, 3, 5])
def test_the_parts_of_a_partitioned_fleet_keep_to_the_bound_together(count, groups):
    # Fault: each part takes itself for the whole fleet.
    fleet = FakeRouters(count)
    fleet.heard = lambda number: range(number % groups, count, groups)
    fleet.run(20.0, 20.0 + 4.0 * count, (COLD,))
    assert fleet.most() <= ALLOWED
    assert fleet.sent_at


def test_a_majority_keeps_the_whole_rate_when_routers_are_dead():
    fleet = FakeRouters(8)
    fleet.heard = lambda _: range(5)
    fleet.routers = fleet.routers[:5]
    seconds = fleet.run(20.0, 40.0)
    assert len(fleet.sent_at) >= USED_FRACTION * COLD_START.per_s * seconds


@pytest.mark.parametrize("count", [8, 66, 195])
def test_routers_that_hear_different_others_keep_to_the_bound(count):
    # Fault: the loss of heartbeats differs between routers, and with it the ranking.
    fleet = FakeRouters(count)
    lost = {n: set(fleet.rng.sample(range(count), count // 8)) for n in range(count)}
    fleet.heard = lambda number: set(range(count)) - lost[number]
    fleet.run(20.0, 20.0 + 4.0 * count, (COLD,))
    assert fleet.most() <= ALLOWED


@pytest.mark.parametrize("count", [3, 8, 66])
def test_routers_cut_off_from_each_other_leave_cold_engines_alone_while_others_serve(count):
    fleet = FakeRouters(count)
    fleet.heard = lambda number: (number,)
    fleet.run(20.0, 20.0 + 4.0 * count)
    assert not fleet.sent_at
    fleet.run(20.0, 20.0 + 4.0 * count, (COLD,))
    assert 0 < fleet.most() <= ALLOWED


@pytest.mark.parametrize("size", [1, 2, 3])
def test_small_parts_of_a_fleet_do_not_save_up_what_they_may_send(size):
    # Fault: parts that were idle for long all have a request left to send when demand returns.
    fleet = FakeRouters(66)
    fleet.heard = lambda number: range(number - number % size, number - number % size + size)
    for _ in range(5):
        fleet.run(1.0, 300.0, (COLD,))
        fleet.clock.now += 30.0
    assert fleet.most() <= ALLOWED


@pytest.mark.parametrize("count", [1, 8, 195])
def test_routers_that_know_nobody_yet_keep_to_the_bound_together(count):
    # Fault: routers that start together each take themselves for the only one.
    fleet = FakeRouters(count)
    fleet.heard = lambda number: (number,)
    fleet.unsettled = set(range(count))
    fleet.run(10.0, 20.0 + 4.0 * count)
    assert not fleet.sent_at
    fleet.run(10.0, 20.0 + 4.0 * count, (COLD,))
    assert fleet.most() <= ALLOWED


@pytest.mark.parametrize("count", [1, 3, 8, 66])
def test_routers_that_restart_keep_to_the_bound(count):
    # Fault: a router that starts again has forgotten what it sent.
    fleet = FakeRouters(count)
    down = set()
    fleet.heard = lambda _: set(range(count)) - down
    for round_number in range(40):
        number = round_number % count
        down.add(number)
        fleet.run(0.1, 20.0 + 4.0 * count)
        fleet.routers[number] = fleet.make_router(number)
        down.discard(number)
        fleet.run(0.2, 20.0 + 4.0 * count, (COLD,))
    assert fleet.most() <= ALLOWED


def test_a_router_that_was_frozen_sends_no_backlog():
    fleet = FakeRouters(3)
    fleet.run(3.0, 60.0)
    frozen = fleet.routers[0]
    fleet.clock.now += 5.0
    for _ in range(50):
        fleet.place(frozen, (COLD,))
    assert fleet.most() <= ALLOWED
    assert len([at for at in fleet.sent_at if at == fleet.clock.now]) <= 1


@pytest.mark.parametrize(
    ("per_s", "overshoot", "slack"),
    [(20.0, 1.5, 5.0), (0.5, 1.5, 5.0), (4.5, 1.5, 0.0), (6.0, 1.0, 0.0)],
)
def test_other_rates_and_bounds_are_kept(per_s, overshoot, slack):
    bounds = Bounds(cold_overshoot=overshoot, cold_slack=slack)
    fleet = FakeRouters(30, ColdStart(600.0, per_s), bounds)
    seconds = fleet.run(20.0, 200.0)
    assert fleet.most() <= max(1.0, per_s * overshoot + slack)
    assert len(fleet.sent_at) >= USED_FRACTION * per_s * seconds


SHORT_COLD_START = ColdStart(10.0, 4.0)


def make_cold(cold_start=SHORT_COLD_START):
    return ColdEngines(lambda _: cold_start, FakeClock())


def registered(remaining_s):
    return Engine("i-1", "desk", "1.1.1.1:1", "zone", 8, False, 1000, "", remaining_s)


def test_a_service_whose_engines_are_never_cold_is_served_as_without_figures():
    cold = make_cold(NEVER_COLD)
    cold.record_registered(registered(5.0))
    cold.assume_cold(COLD)
    assert not cold.is_cold(COLD)
    assert cold.select([COLD, WARM]) == [COLD, WARM]
    assert cold.all_cold([COLD], 3.0, 0.5) is None
    assert not cold.has_unreported_change()
    assert not cold.take_due_notices()


def test_an_engine_is_cold_for_as_long_as_it_says():
    cold = make_cold()
    cold.record_registered(registered(5.0))
    cold.clock.now += 4.9
    assert cold.is_cold(COLD)
    cold.clock.now += 0.2
    assert not cold.is_cold(COLD)
    cold.expire()
    assert not cold.cold_engines()


def test_an_engine_whose_state_is_unknown_counts_as_cold_until_it_says_otherwise():
    cold = make_cold()
    cold.record_listed(registered(None))
    assert cold.is_cold(COLD)
    cold.record_answer(COLD, 0.0, cold.clock.now)
    assert not cold.is_cold(COLD)


def test_an_engine_that_never_says_whether_it_is_cold_gets_warm():
    cold = make_cold()
    cold.record_listed(registered(None))
    cold.clock.now += 10.1
    cold.record_registered(registered(None))
    assert not cold.is_cold(COLD)


def test_what_an_engine_said_before_a_doubt_does_not_end_it():
    # Fault: a registration from before the end of an evacuation arrives after it.
    cold = make_cold()
    cold.assume_cold(COLD)
    cold.clock.now += 0.3
    cold.record_registered(registered(0.0))
    cold.record_answer(COLD, 0.0, cold.clock.now - 0.5)
    cold.record_report(COLD, 0.0, 0.4)
    assert cold.is_cold(COLD)
    cold.clock.now += 1.2
    cold.record_registered(registered(0.0))
    assert not cold.is_cold(COLD)


def test_a_report_never_shortens_what_an_engine_said_later():
    cold = make_cold()
    cold.record_answer(COLD, 8.0, cold.clock.now)
    cold.clock.now += 0.5
    cold.record_report(COLD, 0.0, 0.2)
    cold.record_report(COLD, 2.0, 5.0)
    assert cold.remaining_s(COLD.key) == pytest.approx(7.5)


def test_routers_that_repeat_what_they_heard_do_not_prolong_it():
    # Fault: a report takes a while on its way, and its remaining time starts again on arrival.
    clock = FakeClock()
    first, second = (ColdEngines(lambda _: SHORT_COLD_START, clock) for _ in range(2))
    first.record_registered(registered(5.0))
    until = clock.now + 5.0
    for _ in range(100):
        for teller, hearer in ((first, second), (second, first)):
            told = teller.take_due_notices()
            remaining_s = [n.until - clock.now for _, n in told]
            age_s = [clock.now - n.said_before for _, n in told]
            clock.now += 0.1
            for left_s, seconds in zip(remaining_s, age_s, strict=True):
                hearer.record_report(COLD, left_s, seconds)
    assert clock.now > until + 0.5
    assert not first.is_cold(COLD)
    assert not second.is_cold(COLD)


def test_a_countdown_is_no_news():
    cold = make_cold()
    cold.record_registered(registered(5.0))
    assert cold.has_unreported_change()
    assert cold.take_due_notices()
    for _ in range(10):
        cold.clock.now += 0.4
        cold.record_registered(registered(max(0.0, 105.0 - cold.clock.now)))
        assert not cold.has_unreported_change()
    cold.clock.now += 1.5
    assert cold.has_unreported_change()


def test_engines_beyond_the_first_that_fit_a_report_are_told_in_the_next():
    cold = make_cold()
    for number in range(150):
        engine = Engine(f"i-{number}", "desk", "1.1.1.1:1", "zone", 8, False, 1)
        cold.record_answer(engine, 5.0, cold.clock.now)
    told = set()
    for _ in range(3):
        assert cold.has_unreported_change()
        told |= {key for key, _ in cold.take_due_notices()}
        cold.clock.now += 0.03
    assert len(told) == 150
    assert not cold.has_unreported_change()


def test_a_restarted_incarnation_has_its_own_state():
    cold = make_cold()
    cold.record_answer(COLD, 5.0, cold.clock.now)
    cold.remove_engine(COLD.key)
    assert not cold.is_cold(COLD)
    assert not cold.has_unreported_change()


def test_refused_callers_return_the_later_the_more_they_are():
    few, many = make_cold(), make_cold()
    few.record_answer(COLD, 5.0, few.clock.now)
    many.record_answer(COLD, 5.0, many.clock.now)
    for _ in range(60):
        many.record_wanted("desk")
    soon, late = (cold.all_cold([COLD], 30.0, 0.0).retry_after_s for cold in (few, many))
    assert soon < late <= 10.0
    assert many.all_cold([COLD], 3.0, 1.0).retry_after_s <= 1.0
