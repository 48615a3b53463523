"""Turning away at once what could not begin before its caller leaves.

The load pattern it answers: the engines have seconds of prompts to read. A long prompt ranks behind
all shorter ones and its caller leaves before the first token, so that it is lost and what was read
of it is wasted. Turned away at once, it comes back when the engines have caught up.
"""

from dataclasses import dataclass

__all__ = ["OVERTAKEN_FROM_RANK", "PrefillRate", "Shed", "turn_away"]

# Before anything is measured nobody is turned away for a wait that may be short.
FIRST_TOKENS_A_S = 70_000.0
SLOWEST_TOKENS_A_S = 5_000.0
NEWEST_WEIGHT = 0.2
# Short waits tell little of the pace, since a step of the engine is a large part of them.
FEWEST_TOKENS_MEASURED = 20_000
# Requests that rank before this one overtake what waits.
OVERTAKEN_FROM_RANK = 5
WAIT_SHARE = 0.3
SOONEST_RETURN_S = 0.5
# Clients wait no longer than this share of the time they have left.
LATEST_RETURN_SHARE = 1 / 3


@dataclass(slots=True, frozen=True)
class Shed:
    """State that a request is not sent, since it would wait too long; times in seconds."""

    wait_s: float
    return_s: float


class PrefillRate:
    """Learn how fast the engines of a service read prompts, in tokens a second."""

    __slots__ = ("tokens_a_s",)

    def __init__(self):
        self.tokens_a_s = FIRST_TOKENS_A_S

    def note(self, tokens: int, waited_s: float) -> None:
        """Take in how long the first of an answer took with so many tokens to read before it."""
        if tokens < FEWEST_TOKENS_MEASURED or waited_s <= 0.0:
            return
        newest = tokens / waited_s
        mean = self.tokens_a_s + NEWEST_WEIGHT * (newest - self.tokens_a_s)
        self.tokens_a_s = max(SLOWEST_TOKENS_A_S, min(FIRST_TOKENS_A_S, mean))

    def wait_s(self, tokens: int) -> float:
        """Return how long it takes to read so many tokens, in seconds."""
        return tokens / self.tokens_a_s


def turn_away(
    rank: int, wait_s: float, patience_s: float, left_s: float, share: float
) -> Shed | None:
    """Return when a request should come back instead of waiting; None if it may wait.

    `wait_s` is the time to read what waits at the best engine, `patience_s` how long its caller
    waits for the first of an answer; `share`, 0 to 1, spreads the returns.
    """
    if rank < OVERTAKEN_FROM_RANK or wait_s <= WAIT_SHARE * min(patience_s, left_s):
        return None
    latest_s = LATEST_RETURN_SHARE * left_s
    return_s = min(latest_s, max(SOONEST_RETURN_S, wait_s * (1.0 + share)))
    return Shed(wait_s, return_s)
