"""In which order engines take the requests that wait there.

The load pattern it answers: for seconds more prompts come than the engines can read, because
callers come at once or most engines are gone. In order of arrival every first token is late; with
the shortest reading first most are on time, and only the longest prompts wait.
"""

__all__ = ["FIRST_RANK", "LAST_RANK", "RESUMED_RANK", "queue_rank"]

FIRST_RANK = 0
LAST_RANK = 9
# The rank of a stream that goes on elsewhere, since its caller sees the pause.
RESUMED_RANK = 1


def queue_rank(prefill_tokens: int, urgency: int) -> int:
    """Return the rank of a request among those that wait at an engine, `FIRST_RANK` to `LAST_RANK`.

    A prompt that is four times as long to read ranks one behind; so does a request whose urgency,
    0 the most urgent, is two steps lower.
    """
    return max(FIRST_RANK, min(LAST_RANK, (prefill_tokens.bit_length() + urgency) // 2))
