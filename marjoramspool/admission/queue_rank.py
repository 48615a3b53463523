"""Rank of a request in an engine's queue.

Load pattern: for some seconds more prompt tokens arrive than the engines can prefill, because of a
burst of callers or the loss of most engines. In order of arrival every first token is late; with
the shortest prefill first most are on time and only the longest prompts wait.
"""

__all__ = ["FIRST_RANK", "LAST_RANK", "RESUMED_RANK", "queue_rank"]

FIRST_RANK = 0
LAST_RANK = 9
# Rank of a stream resumed on another engine, since its caller sees the gap in the output.
RESUMED_RANK = 1


def queue_rank(prefill_tokens: int, priority: int) -> int:
    """Return the rank of a request in an engine's queue, from `FIRST_RANK` to `LAST_RANK`.

    Four times as many tokens to prefill add one to the rank, and so does a `priority` value that is
    higher by two; 0 is the most urgent.
    """
    return max(FIRST_RANK, min(LAST_RANK, (prefill_tokens.bit_length() + priority) // 2))
