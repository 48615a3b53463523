"""Rank of a request in an engine's queue.

Load pattern: for some seconds more prompt tokens arrive than the engines can prefill, because of a
burst of callers or the loss of most engines. In order of arrival every first token is late; with
the shortest prefill first most are on time and only the longest prompts wait. Where even that is
not enough for all, length alone would let many short requests keep urgent long ones waiting.
"""

__all__ = ["FIRST_RANK", "LAST_RANK", "RESUMED_RANK", "queue_rank", "urgency_rank"]

FIRST_RANK = 0
LAST_RANK = 9
# Rank of a stream resumed on another engine, since its caller sees the gap in the output.
RESUMED_RANK = 1
# Priorities from this value on are the least urgent.
LEAST_URGENT = 2
RANKS_PER_PRIORITY = 3
# Bits of the number of tokens from which a prompt is of medium length, and long.
MEDIUM_BITS = 10
LONG_BITS = 13


def queue_rank(prefill_tokens: int, priority: int) -> int:
    """Return the rank of a request in an engine's queue, from `FIRST_RANK` to `LAST_RANK`.

    Four times as many tokens to prefill add one to the rank, and so does a `priority` value that is
    higher by two; 0 is the most urgent.
    """
    return max(FIRST_RANK, min(LAST_RANK, (prefill_tokens.bit_length() + priority) // 2))


def urgency_rank(prefill_tokens: int, priority: int) -> int:
    """Return the rank of a request while the engines are under pressure.

    The priority decides, and only within one of them the length. All ranks are behind that of a
    resumed stream.
    """
    bits = prefill_tokens.bit_length()
    length = int(bits >= MEDIUM_BITS) + int(bits >= LONG_BITS)
    rank = RESUMED_RANK + 1 + RANKS_PER_PRIORITY * min(LEAST_URGENT, priority) + length
    return min(LAST_RANK, rank)
