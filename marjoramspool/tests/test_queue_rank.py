"""The order of what waits at an engine, replayed for a few seconds of overload."""

import heapq

from marjoramspool.queue_rank import FIRST_RANK, LAST_RANK, RESUMED_RANK, queue_rank

READ_TOKENS_A_S = 60_000
TARGET_S = 0.5
# Prompts that come each second at one engine, as (unread tokens, how many): more than it can read.
ARRIVALS = ((130, 40), (400, 20), (1_300, 10), (12_000, 5))
SECONDS = 5


def replay(rank):
    """Return the share of requests whose prompt is read in time."""
    coming = sorted(
        (second + number / count, tokens)
        for second in range(SECONDS)
        for tokens, count in ARRIVALS
        for number in range(count)
    )
    waiting, moment, in_time, total = [], 0.0, 0, len(coming)
    while coming or waiting:
        if not waiting:
            moment = max(moment, coming[0][0])
        while coming and coming[0][0] <= moment:
            arrived, tokens = coming.pop(0)
            heapq.heappush(waiting, (rank(tokens), arrived, tokens))
        _, arrived, tokens = heapq.heappop(waiting)
        moment += tokens / READ_TOKENS_A_S
        in_time += moment - arrived <= TARGET_S
    return in_time / total


def test_the_shortest_reading_first_keeps_most_on_time_under_overload():
    in_order = replay(lambda tokens: 5)
    by_rank = replay(lambda tokens: queue_rank(tokens, 1))
    assert by_rank > 0.85
    assert in_order < 0.5


def test_urgency_decides_between_prompts_of_alike_size():
    assert queue_rank(1_000, 0) < queue_rank(1_000, 2)
    assert queue_rank(100, 2) < queue_rank(12_000, 0)


def test_a_resumed_stream_comes_before_all_new_ones():
    ranks = [queue_rank(tokens, urgency) for tokens in (10, 100, 1_000) for urgency in (0, 9)]
    assert min(ranks) > RESUMED_RANK


def test_ranks_stay_within_what_engines_know():
    ranks = [queue_rank(tokens, urgency) for tokens in (0, 1, 1 << 40) for urgency in (0, 9)]
    assert min(ranks) >= FIRST_RANK
    assert max(ranks) <= LAST_RANK
