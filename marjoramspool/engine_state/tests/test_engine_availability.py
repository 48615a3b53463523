"""Registration, draining and ejection of engines, and the shared retry budget."""

import pytest

from marjoramspool.engine_state.engine_list import RENEWAL_GRACE_S, Engine, EngineList
from marjoramspool.engine_state.engine_pauses import EnginePauses
from marjoramspool.engine_state.outlier_detection import MAX_EJECTION_S, OutlierDetector
from marjoramspool.retries import SharedRetryBudget


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name, draining=False, started=1, service="s"):
    return Engine(name, service, f"1.1.1.1:{len(name)}", "zone", 8, draining, started)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def engines(clock):
    engines = EngineList(clock)
    engines.replace_all([engine("a"), engine("b"), engine("c")])
    return engines


def names(engines):
    return sorted(e.id for e in engines.usable("s"))


def test_engine_unregistered_without_an_outage_gets_no_new_requests(engines):
    engines.remove("a")
    assert names(engines) == ["b", "c"]


def test_registration_lapsed_during_a_store_outage_may_be_renewed(engines, clock):
    engines.replace_all([engine("b")], renewals_until=clock.now + RENEWAL_GRACE_S)
    assert names(engines) == ["a", "b", "c"]
    engines.register(engine("a"))
    clock.now += RENEWAL_GRACE_S + 0.1
    assert names(engines) == ["a", "b"]


def test_draining_engine_gets_no_renewal_grace(engines, clock):
    engines.register(engine("a", draining=True))
    engines.replace_all([engine("b"), engine("c")], renewals_until=clock.now + RENEWAL_GRACE_S)
    assert "a" not in engines.engines


def test_unlisted_engine_serves_for_the_grace_period_and_is_then_removed(engines, clock):
    removed = []
    engines.on_removed.append(lambda e: removed.append(e.id))
    engines.remove("a")
    assert engines.find(("a", 1)) == engine("a")
    engines.expire_grace_periods()
    assert not removed
    assert not removed
    clock.now += 2.1
    assert engines.find(("a", 1)) is None
    engines.expire_grace_periods()
    assert removed == ["a"]


def test_engine_with_reassigned_address_is_unusable_until_it_restarts(engines):
    engines.record_reassigned(engine("a"))
    engines.register(engine("a"))
    assert names(engines) == ["b", "c"]
    engines.register(engine("a", started=2))
    assert names(engines) == ["a", "b", "c"]


def test_repeated_failures_eject_an_engine_for_growing_periods(clock):
    detector = OutlierDetector(clock)
    for _ in range(3):
        detector.record_failure("a")
    assert detector.exclude_ejected("abc") == {"b", "c"}
    clock.now += 1.1
    assert detector.exclude_ejected("abc") == {"a", "b", "c"}
    detector.record_failure("a")
    clock.now += 1.1
    assert detector.exclude_ejected("abc") == {"b", "c"}, "the second ejection is longer"


@pytest.mark.parametrize("is_refusing", [True, False])
def test_an_engine_that_is_never_reached_can_be_ejected_for_ever(clock, is_refusing):
    """Guards against requests that fail once the length of an ejection exceeds all numbers."""
    detector = OutlierDetector(clock)
    for _ in range(3000):
        detector.record_unreachable("a", is_refusing)
        detector.record_failure("a")
        clock.now += MAX_EJECTION_S
    detector.record_unreachable("a", is_refusing)
    assert detector.is_ejected("a")
    clock.now += MAX_EJECTION_S
    assert not detector.is_ejected("a")


def test_isolated_failures_do_not_eject(clock):
    detector = OutlierDetector(clock)
    for number in range(100):
        (detector.record_failure if number % 7 == 0 else detector.record_success)("a")
    assert detector.exclude_ejected("abc") == {"a", "b", "c"}


def test_all_engines_are_used_when_most_are_ejected(clock):
    detector = OutlierDetector(clock)
    for name in "abc":
        detector.record_unreachable(name, is_refusing_connections=True)
    assert detector.exclude_ejected("abcd") == set("abcd")


@pytest.mark.parametrize("routers", [1, 7, 87])
def test_retries_of_all_routers_stay_within_the_budget(clock, routers):
    budgets = [SharedRetryBudget(0.2, 54, 10.0, lambda: routers, clock) for _ in range(routers)]
    for number in range(10 * routers):
        budgets[number % routers].record_request()
    spent = sum(budget.try_acquire() for budget in budgets for _ in range(200))
    assert 0 < spent <= 0.2 * 10 * routers + 54


def test_continuous_failures_stay_within_the_budget_in_every_window(clock):
    budget = SharedRetryBudget(0.2, 54, 10.0, lambda: 1, clock)
    spent = []
    for _ in range(3000):
        clock.now += 0.01
        budget.record_request()
        if budget.try_acquire():
            spent.append(clock.now)
    for start_s in spent:
        within = sum(start_s <= at_s < start_s + 10.0 for at_s in spent)
        assert within <= 0.2 * 1000 + 54


def test_two_unreachable_reports_eject_an_engine(clock):
    detector = OutlierDetector(clock)
    detector.record_report("x", frozenset("a"))
    assert detector.exclude_ejected("abc") == set("abc"), "the reporting router may be at fault"
    detector.record_report("y", frozenset("a"))
    assert detector.exclude_ejected("abc") == set("bc")
    detector.record_report("x", frozenset())
    assert detector.exclude_ejected("abc") == set("abc")


def test_only_locally_unreachable_engines_are_reported(clock):
    detector = OutlierDetector(clock)
    detector.record_report("x", frozenset("a"))
    detector.record_report("y", frozenset("a"))
    detector.record_unreachable("b", is_refusing_connections=True)
    for _ in range(3):
        detector.record_failure("c")
    assert detector.unreachable() == {"b"}
    clock.now += 1.0
    assert detector.unreachable() == frozenset()


def test_announced_departure_holds_for_the_incarnation_only(engines):
    engines.record_announcement(engine("a"))
    engines.register(engine("a"))
    assert names(engines) == ["b", "c"]
    engines.remove("a")
    engines.register(engine("a"))
    assert names(engines) == ["b", "c"]
    engines.register(engine("a", started=2))
    assert names(engines) == ["a", "b", "c"]


def test_only_departures_heard_from_the_engine_itself_are_reported(engines):
    engines.record_announcement(engine("a"), source="1.1.1.2")
    engines.record_announcement(engine("b"))
    engines.record_announcement(engine("b"), source="1.1.1.2")
    assert [e.id for e in engines.locally_announced()] == ["b"]


def test_a_later_refusal_never_shortens_a_pause(clock):
    pauses = EnginePauses(clock)
    pauses.record(engine("a"), 10.0)
    pauses.record(engine("a"), 1.0)
    clock.now += 5.0
    assert pauses.is_paused(engine("a"))
    assert not pauses.is_paused(engine("a", started=2))
    clock.now += 5.1
    assert not pauses.is_paused(engine("a"))


def test_a_service_is_paused_only_if_all_its_engines_are(clock):
    pauses = EnginePauses(clock)
    both = [engine("a"), engine("b")]
    pauses.record(both[0], 10.0)
    assert pauses.all_paused(both, 0.0) is None
    pauses.record(both[1], 2.0)
    assert pauses.all_paused(both, 0.0).retry_after_s == 2.0
    assert 2.0 < pauses.all_paused(both, 0.7).retry_after_s <= 3.0
    assert pauses.all_paused([], 0.0) is None


def test_a_running_ejection_is_neither_shortened_nor_weakened(clock):
    detector = OutlierDetector(clock)
    for _ in range(4):
        detector.record_unreachable("a", is_refusing_connections=True)
    clock.now += 0.1
    for _ in range(4):
        detector.record_failure("a")
    assert "a" in detector.unreachable()
    clock.now += 3.0
    assert detector.exclude_ejected("abc") == {"b", "c"}


def test_an_engine_that_fails_a_request_refuses_no_connections(clock):
    detector = OutlierDetector(clock)
    detector.record_unreachable("a", is_refusing_connections=True)
    assert detector.is_refusing_connections("a")
    detector.record_failure("a")
    assert not detector.is_refusing_connections("a")


def test_reports_of_routers_that_are_cut_off_do_not_eject_an_engine_that_answers_here(clock):
    """Most routers of a failure domain lose the path to one engine and report it."""
    detector = OutlierDetector(clock)
    for router in "xyz":
        detector.record_report(router, frozenset("a"))
    assert detector.exclude_ejected("abc") == {"b", "c"}
    detector.record_success("a")
    assert detector.exclude_ejected("abc") == {"a", "b", "c"}
    clock.now += 2.0
    assert detector.exclude_ejected("abc") == {"b", "c"}
    detector.record_success("a")
    detector.record_unreachable("a", is_refusing_connections=False)
    assert detector.exclude_ejected("abc") == {"b", "c"}
