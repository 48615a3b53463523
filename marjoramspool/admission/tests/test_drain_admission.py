"""Which requests a router that stops still serves, from what its services have taken of late.

Guards against a request that is passed on and cut at the end of the grace period, and against
requests that are refused although there is time for them.
"""

import pytest

from marjoramspool.admission.drain_admission import (
    MARGIN_S,
    MAX_AGE_S,
    SPREAD,
    DrainAdmission,
    Kind,
)

ORDER = Kind("desk", False)
STREAM = Kind("model", True)
GRACE_S = 8.0
REMOVAL_S = 2.0
DEADLINE_S = 5.0


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s

    def advance(self, seconds):
        self.now_s += seconds


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def admission(clock):
    return DrainAdmission(clock)


def serve(admission, kind, taken_s, is_answered=True):
    with admission.durations.measured(kind) as measurement:
        admission.clock.advance(taken_s)
        measurement.is_answered = is_answered


def begin(admission, after_s):
    admission.begin(GRACE_S, REMOVAL_S)
    admission.clock.advance(after_s)


def test_nothing_is_refused_while_the_router_does_not_stop(admission):
    serve(admission, ORDER, 60.0)
    assert not admission.refuses(ORDER, DEADLINE_S)


def test_a_late_request_is_served_while_the_longest_of_late_would_be_finished(admission, clock):
    serve(admission, ORDER, 0.1)
    serve(admission, ORDER, 1.0)
    needed_s = SPREAD * 1.0 + MARGIN_S
    begin(admission, GRACE_S - needed_s - 0.01)
    assert not admission.refuses(ORDER, DEADLINE_S)
    clock.advance(0.02)
    assert admission.refuses(ORDER, DEADLINE_S)


def test_a_request_that_would_miss_its_deadline_anyway_ends_with_it(admission):
    serve(admission, ORDER, 3.0)
    begin(admission, GRACE_S - 1.0)
    assert not admission.refuses(ORDER, 0.9)
    assert admission.refuses(ORDER, 1.1)


def test_a_late_request_of_which_nothing_is_known_has_to_end_before_the_router(admission):
    serve(admission, STREAM, 0.1)
    begin(admission, GRACE_S - 2.0)
    assert admission.refuses(ORDER, 2.1)
    assert not admission.refuses(ORDER, 1.9)


def test_requests_that_still_come_from_the_balancer_are_served_if_most_would_be_finished(
    admission,
):
    for taken_s in (1.0, 2.0, 20.0):
        serve(admission, STREAM, taken_s)
    begin(admission, 0.5)
    assert not admission.refuses(STREAM, 60.0)
    assert not admission.refuses(ORDER, 60.0)
    for _ in range(4):
        serve(admission, ORDER, GRACE_S)
    begin(admission, 0.5)
    assert admission.refuses(ORDER, 60.0)


def test_failures_and_old_answers_say_nothing_of_the_time(admission, clock):
    serve(admission, ORDER, 0.5)
    clock.advance(MAX_AGE_S)
    serve(admission, ORDER, 0.1, is_answered=False)
    begin(admission, GRACE_S - 1.0)
    assert admission.refuses(ORDER, DEADLINE_S)


def test_a_request_in_flight_that_takes_longer_counts(admission, clock):
    serve(admission, ORDER, 0.1)
    begin(admission, GRACE_S - 1.0)
    assert not admission.refuses(ORDER, DEADLINE_S)
    with admission.durations.measured(ORDER):
        begin(admission, GRACE_S - 1.0)
        assert admission.refuses(ORDER, DEADLINE_S)


def test_nothing_is_served_after_the_end(admission):
    serve(admission, ORDER, 0.0)
    begin(admission, GRACE_S)
    assert admission.refuses(ORDER, 0.0)
