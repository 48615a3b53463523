"""Order of the requests in an engine's queue, simulated for a few seconds of overload."""

import heapq

from marjoramspool.admission.queue_rank import (
    FIRST_RANK,
    LAST_RANK,
    RESUMED_RANK,
    queue_rank,
    urgency_rank,
)

PREFILL_TOKENS_PER_S = 60_000
TARGET_S = 0.5
# Prompts per second at one engine, as (tokens to prefill, count): more than it can prefill.
ARRIVALS = ((130, 40), (400, 20), (1_300, 10), (12_000, 5))
SECONDS = 5


def replay(rank):
    """Return the fraction of requests whose prompt is prefilled in time."""
    arrivals = sorted(
        (second + number / count, tokens)
        for second in range(SECONDS)
        for tokens, count in ARRIVALS
        for number in range(count)
    )
    queue, clock_s, on_time, total = [], 0.0, 0, len(arrivals)
    while arrivals or queue:
        if not queue:
            clock_s = max(clock_s, arrivals[0][0])
        while arrivals and arrivals[0][0] <= clock_s:
            arrived, tokens = arrivals.pop(0)
            heapq.heappush(queue, (rank(tokens), arrived, tokens))
        _, arrived, tokens = heapq.heappop(queue)
        clock_s += tokens / PREFILL_TOKENS_PER_S
        on_time += clock_s - arrived <= TARGET_S
    return on_time / total


def test_shortest_prefill_first_keeps_most_on_time_under_overload():
    by_arrival = replay(lambda tokens: 5)
    by_rank = replay(lambda tokens: queue_rank(tokens, 1))
    assert by_rank > 0.85
    assert by_arrival < 0.5


def test_urgency_decides_between_prompts_of_similar_size():
    assert queue_rank(1_000, 0) < queue_rank(1_000, 2)
    assert queue_rank(100, 2) < queue_rank(12_000, 0)


def test_resumed_stream_ranks_before_all_new_requests():
    ranks = [queue_rank(tokens, priority) for tokens in (10, 100, 1_000) for priority in (0, 9)]
    assert min(ranks) > RESUMED_RANK


def test_ranks_stay_within_the_range_that_engines_accept():
    ranks = [queue_rank(tokens, priority) for tokens in (0, 1, 1 << 40) for priority in (0, 9)]
    assert min(ranks) >= FIRST_RANK
    assert max(ranks) <= LAST_RANK


def test_under_pressure_long_urgent_requests_rank_before_short_ones_of_less_urgency():
    for priority in (0, 1):
        assert urgency_rank(100_000, priority) < urgency_rank(1, priority + 1)
    assert urgency_rank(100, 1) < urgency_rank(12_000, 1)
    ranks = [urgency_rank(tokens, priority) for tokens in (0, 1 << 40) for priority in (0, 9)]
    assert min(ranks) > RESUMED_RANK
    assert max(ranks) <= LAST_RANK
