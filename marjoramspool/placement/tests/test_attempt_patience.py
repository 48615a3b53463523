"""Attempts wait for as long as targets may need at the moment, and no longer than is useful."""

import math

import pytest

from marjoramspool.placement.attempt_patience import Outlook, further_wait_s

USUAL_S = 0.14
SPREAD_S = 0.03
SLOWNESS = 5.0
DEADLINE_S = 3.0


def outlook(slowness=1.0, elsewhere=1.0):
    return Outlook(slowness * USUAL_S, slowness * SPREAD_S, elsewhere * USUAL_S)


def given_up_at(outlook_at, deadline_s=DEADLINE_S):
    """Return when an attempt without an answer is given up, None if it is not."""
    waited_s = 0.0
    while waited_s < deadline_s - 1e-9:
        wait_s = further_wait_s(outlook_at(waited_s), waited_s, deadline_s - waited_s)
        if wait_s <= 0.0:
            return waited_s
        waited_s += wait_s
    return None


def test_while_all_targets_are_slow_no_attempt_is_given_up_before_its_target_can_answer():
    """Guards against attempts that end before a slow target can answer, and are all for nothing."""
    slow = outlook(SLOWNESS, SLOWNESS)
    at = given_up_at(lambda _: slow)
    assert at is None or at > SLOWNESS * (USUAL_S + 3 * SPREAD_S)


def test_at_one_target_that_became_slow_unheard_the_attempt_is_given_up_in_time():
    """Guards against waiting for a slow target while another would answer within the target."""
    at = given_up_at(lambda _: outlook())
    assert USUAL_S + 2 * SPREAD_S < at < 0.36


def test_at_one_slow_target_with_fast_ones_elsewhere_the_answer_may_come_first():
    """Guards against giving up an attempt that was sent when its target was known to be slow."""
    at = given_up_at(lambda _: outlook(SLOWNESS))
    assert at > SLOWNESS * USUAL_S


def test_alternating_slowness_is_followed_while_the_attempt_waits():
    """Guards against a limit that is set once, when the request is sent."""
    alternating = [outlook(SLOWNESS, SLOWNESS), outlook()]
    at = given_up_at(lambda waited_s: alternating[waited_s > 0.5])
    assert 0.5 < at <= 0.6


def test_a_lost_answer_leads_to_a_second_attempt():
    """Guards against a request that ends with its deadline because one answer was lost."""
    at = given_up_at(lambda _: outlook())
    assert at + 2 * USUAL_S < DEADLINE_S


@pytest.mark.parametrize("slowness", [1.0, 2.2, SLOWNESS])
def test_a_target_that_never_answers_leaves_time_for_a_second_attempt(slowness):
    at = given_up_at(lambda _: outlook(slowness, slowness))
    assert at + slowness * USUAL_S < DEADLINE_S


def test_a_second_attempt_that_would_miss_the_deadline_is_not_started():
    """Guards against a second execution that nobody waits for."""
    assert given_up_at(lambda _: outlook(SLOWNESS, SLOWNESS), deadline_s=1.0) is None


def test_without_a_retry_or_another_target_an_attempt_waits_until_the_deadline():
    """Guards against a 502 while the answer is still to come."""
    alone = Outlook(USUAL_S, SPREAD_S, math.inf)
    assert given_up_at(lambda _: alone) is None


def test_a_retry_that_becomes_possible_is_used():
    alone = Outlook(USUAL_S, SPREAD_S, math.inf)
    at = given_up_at(lambda waited_s: alone if waited_s < 1.0 else outlook())
    assert 1.0 <= at < 1.2
