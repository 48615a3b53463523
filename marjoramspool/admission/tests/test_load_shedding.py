"""Load shedding while the engines have seconds of prefill queued."""

from marjoramspool.admission.load_shedding import (
    INITIAL_TOKENS_PER_S,
    PrefillPressure,
    PrefillRate,
    shed_request,
)
from marjoramspool.admission.queue_rank import queue_rank

FIRST_EVENT_TIMEOUT_S = 4.0
LONG_RANK = queue_rank(12_000, 1)
SHORT_RANK = queue_rank(130, 0)


def test_long_prompt_is_shed_before_its_caller_times_out():
    shed = shed_request(LONG_RANK, 3.0, FIRST_EVENT_TIMEOUT_S, 15.0, 0.5)
    assert shed.retry_after_s == 4.5
    assert shed_request(LONG_RANK, 0.8, FIRST_EVENT_TIMEOUT_S, 15.0, 0.5) is None


def test_short_prompt_overtakes_and_is_never_shed():
    assert shed_request(SHORT_RANK, 30.0, FIRST_EVENT_TIMEOUT_S, 15.0, 0.5) is None


def test_retry_delay_is_bounded_by_the_time_left():
    assert shed_request(LONG_RANK, 30.0, FIRST_EVENT_TIMEOUT_S, 3.0, 0.9).retry_after_s == 1.0


def test_request_with_little_time_left_is_shed_sooner():
    assert shed_request(LONG_RANK, 0.8, FIRST_EVENT_TIMEOUT_S, 15.0, 0.0) is None
    assert shed_request(LONG_RANK, 0.8, FIRST_EVENT_TIMEOUT_S, 1.5, 0.0)


def test_prefill_rate_ignores_waits_that_are_not_mostly_prefill():
    rate = PrefillRate()
    for _ in range(40):
        rate.record(500, 0.5)
    assert rate.tokens_per_s == INITIAL_TOKENS_PER_S
    for _ in range(40):
        rate.record(30_000, 1.0)
    assert abs(rate.prefill_time_s(60_000) - 2.0) < 0.05


def test_shedding_long_prompts_loses_fewer_requests_under_overload():
    """Simulate one engine for 8 s, for the first 4 s at twice the tokens that it can prefill."""
    assert count_lost(is_shedding=False) > 2 * count_lost(is_shedding=True)


def count_lost(is_shedding):
    """Return how many callers timed out before their prompt was prefilled."""
    tokens_per_s, prompt_tokens = 60_000, 12_000
    arrivals = [(number / 10, number / 10) for number in range(40)]
    busy_until_s = count = 0
    while arrivals:
        arrived_s, first_sent_s = arrivals.pop(0)
        wait_s = max(0.0, busy_until_s - arrived_s) + prompt_tokens / tokens_per_s
        remaining_s = 15.0 - (arrived_s - first_sent_s)
        shed = shed_request(LONG_RANK, wait_s, FIRST_EVENT_TIMEOUT_S, remaining_s, arrived_s % 1)
        if shed and is_shedding and arrived_s == first_sent_s:
            arrivals = sorted([*arrivals, (arrived_s + shed.retry_after_s, first_sent_s)])
        elif wait_s > FIRST_EVENT_TIMEOUT_S:
            count += 1
            # The tokens prefilled for it by then are wasted.
            busy_until_s += prompt_tokens / tokens_per_s / 2
        else:
            busy_until_s = arrived_s + wait_s
    return count


def test_under_pressure_the_least_urgent_are_shed_first():
    def is_shed(rank, wait_s, priority):
        return shed_request(rank, wait_s, FIRST_EVENT_TIMEOUT_S, 15.0, 0.5, priority) is not None

    waits = {0: 2.5, 1: 1.3, 2: 0.9}
    for priority, wait_s in waits.items():
        assert is_shed(LONG_RANK, wait_s, priority)
        assert not is_shed(LONG_RANK, wait_s - 0.2, priority)
    assert is_shed(SHORT_RANK, 0.9, 2)
    assert not is_shed(SHORT_RANK, 30.0, 1)


def test_pressure_ends_some_time_after_the_last_long_wait():
    times = [0.0]
    pressure = PrefillPressure(lambda: times[0])
    pressure.record(0.1, 2.0)
    assert not pressure.is_pressed()
    pressure.record(0.5, 2.0)
    assert pressure.is_pressed()
    times[0] = 1.5
    assert not pressure.is_pressed()
