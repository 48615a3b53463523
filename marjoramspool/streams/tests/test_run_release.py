"""Evidence that an engine no longer executes a run.

Guards against two engines that execute one request, since a report of an earlier moment was taken
for the present.
"""

import pytest

from marjoramspool.attempts import RunState
from marjoramspool.streams.run_release import MAX_REPORT_AGE_S, RunRelease


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def test_a_report_is_no_proof_until_it_describes_a_moment_after_the_first_event():
    clock = Clock()
    release = RunRelease(clock(), 30.0, clock)
    assert not release.is_proof(RunState.UNLISTED, clock())
    assert not release.is_proof(RunState.UNLISTED, clock() + MAX_REPORT_AGE_S - 0.001)
    assert release.is_proof(RunState.UNLISTED, clock() + MAX_REPORT_AGE_S)


def test_the_report_on_a_run_that_has_long_begun_is_proof_at_once():
    clock = Clock()
    release = RunRelease(clock() - MAX_REPORT_AGE_S, 30.0, clock)
    assert release.is_proof(RunState.UNLISTED, clock())


def test_no_report_is_proof_for_a_run_that_may_begin_later():
    """The run was sent and has brought no event: it may wait in the queue of the engine."""
    release = RunRelease(None, 30.0, Clock())
    assert not release.is_proof(RunState.UNLISTED, 1e9)
    assert release.is_proof(RunState.REFUSED, 0.0)


@pytest.mark.parametrize("state", [RunState.AT_WORK, RunState.UNKNOWN])
def test_what_shows_no_end_is_no_proof(state):
    release = RunRelease(0.0, 30.0, Clock())
    assert not release.is_proof(state, 1e9)


def test_the_checks_go_on_until_a_report_can_be_proof_and_end_with_the_deadline():
    clock = Clock()
    young = RunRelease(clock(), 30.0, clock)
    brief = RunRelease(clock(), 0.2, clock)
    clock.now_s += 0.2
    assert brief.is_over()
    clock.now_s = 100.0 + MAX_REPORT_AGE_S
    assert not young.is_over()
    clock.now_s += 1.0
    assert young.is_over()


def test_a_run_that_has_long_begun_is_given_up_soon():
    clock = Clock()
    release = RunRelease(clock() - 5.0, 30.0, clock)
    clock.now_s += 0.5
    assert release.is_over()
