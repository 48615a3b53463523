"""What is turned away while the engines have seconds of prompts to read."""

from marjoramspool.load_shedding import INITIAL_TOKENS_PER_S, PrefillRate, shed_request
from marjoramspool.queue_rank import queue_rank

PATIENCE_S = 4.0
LONG = queue_rank(12_000, 1)
SHORT = queue_rank(130, 0)


def test_a_long_prompt_comes_back_instead_of_waiting_till_its_caller_leaves():
    turned = shed_request(LONG, 3.0, PATIENCE_S, 15.0, 0.5)
    assert turned.retry_after_s == 4.5
    assert shed_request(LONG, 0.8, PATIENCE_S, 15.0, 0.5) is None


def test_a_short_prompt_overtakes_and_is_never_turned_away():
    assert shed_request(SHORT, 30.0, PATIENCE_S, 15.0, 0.5) is None


def test_clients_are_not_told_to_wait_longer_than_they_would():
    assert shed_request(LONG, 30.0, PATIENCE_S, 3.0, 0.9).retry_after_s == 1.0


def test_a_request_with_little_time_left_is_turned_away_sooner():
    assert shed_request(LONG, 0.8, PATIENCE_S, 15.0, 0.0) is None
    assert shed_request(LONG, 0.8, PATIENCE_S, 1.5, 0.0)


def test_the_pace_is_learned_from_waits_that_are_mostly_reading():
    pace = PrefillRate()
    for _ in range(40):
        pace.record(500, 0.5)
    assert pace.tokens_per_s == INITIAL_TOKENS_PER_S
    for _ in range(40):
        pace.record(30_000, 1.0)
    assert abs(pace.prefill_time_s(60_000) - 2.0) < 0.05


def test_an_overload_costs_less_when_long_prompts_come_back_after_it():
    """Replay one engine for 8 s, the first 4 s at twice what it can read."""
    assert lost(is_turning_away=False) > 2 * lost(is_turning_away=True)


def lost(is_turning_away):
    """Return how many callers left before their prompt was read."""
    pace, prompt = 60_000, 12_000
    coming = [(number / 10, number / 10) for number in range(40)]
    until = count = 0
    while coming:
        moment, first = coming.pop(0)
        wait_s = max(0.0, until - moment) + prompt / pace
        left_s = 15.0 - (moment - first)
        turned = shed_request(LONG, wait_s, PATIENCE_S, left_s, moment % 1)
        if turned and is_turning_away and moment == first:
            coming = sorted([*coming, (moment + turned.retry_after_s, first)])
        elif wait_s > PATIENCE_S:
            count += 1
            # What an engine has read of it by then is wasted.
            until += prompt / pace / 2
        else:
            until = moment + wait_s
    return count
