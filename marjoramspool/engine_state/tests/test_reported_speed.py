"""What targets say of their speed is believed for a moment, and told where it matters."""

import pytest

from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.reported_speed import Figure, LoadFigures, ReportedSpeeds
from marjoramspool.placement.engine_selector import EngineSelector


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name, started=1):
    return Engine(name, "s", "1.1.1.1:1", "zone", 2, False, started)


A, B, C = engine("a"), engine("b"), engine("c")


def load(percent):
    return LoadFigures(1, 0, 2, percent)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def speeds(clock):
    return ReportedSpeeds(clock)


def test_of_alternating_slowness_the_last_figure_is_believed(speeds, clock):
    """Guards against smoothing that is slower than the targets change."""
    for _ in range(5):
        for percent in (500, 100):
            speeds.record_answer(A, load(percent))
            speeds.record_answer(B, load(100))
            assert speeds.slowness(A) == pytest.approx(percent / 100)
            clock.now += 0.6


def test_figures_that_are_a_second_old_say_little(speeds, clock):
    """Guards against the use of a target's state of a second ago, when it has changed again."""
    speeds.record_answer(A, load(500))
    for other in (B, C):
        speeds.record_answer(other, load(100))
    clock.now += 1.0
    mean = (5.0 + 1.0 + 1.0) / 3
    assert speeds.slowness(A) == pytest.approx(mean, rel=0.15)
    assert speeds.slowness(B) == pytest.approx(mean, rel=0.15)


def test_a_figure_of_an_earlier_incarnation_is_not_used(speeds):
    """Guards against slowness that a restarted target inherits."""
    speeds.record_answer(B, load(100))
    speeds.record_answer(engine("a", started=1), load(900))
    speeds.remove_engine(engine("a", started=1))
    assert speeds.slowness(engine("a", started=2)) == pytest.approx(1.0)
    # Its last answer arrives after it was listed again.
    speeds.record_answer(engine("a", started=1), load(900))
    assert not speeds.slow([engine("a", started=2), B])


def test_an_answer_without_the_fourth_figure_changes_nothing(speeds):
    speeds.record_answer(A, LoadFigures(5, 9, 2))
    assert not speeds.is_used("s")
    assert speeds.slowness(A) == 1.0
    assert not speeds.reported()


def test_what_was_heard_later_counts_whoever_heard_it(speeds, clock):
    """Guards against a report that was delayed by relays, and replaces what is known since."""
    speeds.record_answer(A, load(100))
    speeds.record_report(A, Figure(5.0, clock.now - 0.5))
    assert speeds.slowness(A) == pytest.approx(1.0)
    clock.now += 0.1
    speeds.record_report(A, Figure(5.0, clock.now - 0.05))
    assert speeds.slow([A]) == []
    speeds.record_answer(B, load(100))
    assert speeds.slow([A, B]) == [A]


def test_only_figures_that_others_do_not_believe_are_told(speeds, clock):
    """Guards against control traffic for each answer."""
    speeds.record_answer(A, load(100))
    assert not speeds.reported()
    for _ in range(10):
        clock.now += 0.01
        speeds.record_answer(A, load(500))
    first_heard = 100.01
    assert [(key, figure.heard_at) for key, figure in speeds.reported()] == [
        (A.key, pytest.approx(first_heard))
    ]
    clock.now += 1.1
    assert not speeds.reported()


def test_an_overdue_answer_counts_as_a_figure_and_is_told(speeds, clock):
    """Guards against a target that became slow unheard and gets one request after the other."""
    speeds.record_answer(A, load(100))
    speeds.record_answer(B, load(100))
    speeds.record_overdue(A, 3.0)
    assert speeds.slow([A, B]) == [A]
    assert [key for key, _ in speeds.reported()] == [A.key]
    # It does not make a target faster than it says.
    speeds.record_answer(A, load(500))
    speeds.record_overdue(A, 3.0)
    assert speeds.slowness(A) == pytest.approx(5.0)


def test_figures_heard_from_other_routers_are_not_told_again(speeds, clock):
    """Guards against a figure that travels between routers without end."""
    speeds.record_report(A, Figure(5.0, clock.now))
    speeds.record_answer(A, load(500))
    assert not speeds.reported()


def test_a_service_is_placed_as_before_once_its_targets_tell_no_speed_any_more(speeds, clock):
    speeds.record_answer(A, load(100))
    assert speeds.is_used("s")
    clock.now += 11.0
    assert not speeds.is_used("s")


def test_removing_an_engine_removes_its_figures():
    """Guards against figures of gone targets that keep the mean of a service high."""
    engines = EngineList()
    engines.replace_all([A, B])
    selector = EngineSelector("z", engines, lambda: None)
    selector.speeds.record_answer(A, load(900))
    selector.speeds.record_answer(B, load(100))
    engines.register(engine("a", started=2))
    assert selector.speeds.mean("s") == pytest.approx(1.0)
