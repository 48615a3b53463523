"""Targets whose answers take far longer than they say are judged by their answers."""

import random

import pytest

from marjoramspool.engine_state.answer_times import AnswerTimes
from marjoramspool.engine_state.engine_list import Engine

USUAL_S = 0.1


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name, started=1):
    return Engine(name, "s", "1.1.1.1:1", "zone", 2, False, started)


HONEST, LYING = engine("a"), engine("b")


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def times(clock):
    times = AnswerTimes(clock)
    for _ in range(20):
        times.record(HONEST, USUAL_S, 1.0, 1.0)
    return times


def test_nothing_is_known_before_there_are_answers(clock):
    times = AnswerTimes(clock)
    assert times.usual("s") is None
    assert times.excess(HONEST) == 1.0


def test_the_usual_time_does_not_contain_slowness(times):
    """Guards against a patience that grows twice while all targets are slow."""
    for _ in range(200):
        times.record(HONEST, 5 * USUAL_S, 5.0, 5.0)
    assert times.usual("s").mean_s == pytest.approx(USUAL_S)


def test_a_target_with_a_lying_figure_is_judged_by_its_answers(times):
    """Guards against a target that says it is fast, and takes five times as long."""
    for _ in range(20):
        times.record(HONEST, USUAL_S, 1.0, 1.0)
        times.record(LYING, 5 * USUAL_S, 1.0, 1.0)
    assert times.excess(LYING) > 2.0
    assert times.excess(HONEST) == 1.0


def test_a_lying_target_that_never_answers_is_judged_too(times):
    for _ in range(20):
        times.record_abandoned(LYING, 5 * USUAL_S, 1.0)
    assert times.excess(LYING) > 2.0


def test_alternating_slowness_is_no_lie(times):
    """Guards against judging targets whose speed changes while they work on a request."""
    choices = random.Random(1)
    for _ in range(500):
        before, after = choices.choice((1.0, 5.0)), choices.choice((1.0, 5.0))
        low, high = sorted((before, after))
        times.record(HONEST, USUAL_S * choices.uniform(low, high), before, after)
        assert times.excess(HONEST) == 1.0


def test_a_judgement_fades_and_ends_with_the_incarnation(times, clock):
    """Guards against a target that is never tried again."""
    for _ in range(20):
        times.record(HONEST, USUAL_S, 1.0, 1.0)
        times.record(LYING, 5 * USUAL_S, 1.0, 1.0)
    assert times.excess(LYING) > 2.0
    assert times.excess(engine("b", started=2)) == 1.0
    clock.now += 30.0
    assert times.excess(LYING) == 1.0


def test_old_answers_say_nothing(times, clock):
    clock.now += 11.0
    assert times.usual("s") is None
