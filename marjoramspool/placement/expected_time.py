"""Choice of the target where an answer is expected first.

Load pattern: targets of a service become several times slower than others and fast again, many
times a second. Many routers see the same target become fast, each some tenths of a second before
it hears of the others' requests: all of them together must not send it more than fits.
"""

from marjoramspool import hashing
from marjoramspool.placement.cost_placement import Candidate, Choice, cost_tokens

__all__ = ["choose_fastest", "expected_factor"]

# Part of the processing time that each further request in the free slots of a target adds, so that
# of equally fast targets one with fewer requests is chosen.
SHARING_COST = 0.3


def expected_factor(used: float, slowness: float) -> float:
    """Return the time of an answer in usual times, where `used` is the requests over the slots."""
    return slowness * max(1.0, used)


def choose_fastest(
    candidates: list[Candidate], key: int, unreported: float, tokens: int = 0
) -> Choice | None:
    """Return the candidate where an answer is expected first, None if there are none.

    `unreported` is the number of requests that other routers have sent to the candidates and not
    reported yet. They fill the fastest up to a level of time: the request is drawn by its `key`
    among the targets below that level, in proportion to the requests that fit there.
    """
    if not candidates:
        return None
    level = fill_level(candidates, unreported + 1.0)
    places = {candidate.name: places_below(candidate, level) for candidate in candidates}
    below = [candidate for candidate in candidates if places[candidate.name] > 0.0]
    if below:
        best = max(below, key=lambda c: hashing.score(key, c.name, places[c.name]))
    else:
        best = min(candidates, key=ranked_time)
    return Choice(best, cost_tokens(best, tokens))


def fill_level(candidates: list[Candidate], requests: float) -> float:
    """Return the time up to which a number of requests fill the fastest candidates.

    Of each candidate, the requests that fit below a level of time grow with it at a rate that is
    lower once its slots are used.
    """
    changes = []
    for candidate in candidates:
        start = ranked_time(candidate)
        rate = candidate.slots / candidate.slowness
        if start < candidate.slowness:
            changes.append((start, rate / SHARING_COST))
            changes.append((candidate.slowness, rate - rate / SHARING_COST))
        else:
            changes.append((start, rate))
    changes.sort()
    level, rate, filled = changes[0][0], 0.0, 0.0
    for at, change in changes:
        if filled + rate * (at - level) >= requests:
            break
        filled += rate * (at - level)
        rate += change
        level = at
    return level + (requests - filled) / rate


def ranked_time(candidate: Candidate) -> float:
    """Return the time at which the next request at a candidate begins to count, in usual times."""
    used = candidate.load.requests / candidate.slots
    return candidate.slowness * max(1.0 - SHARING_COST + SHARING_COST * used, used)


def places_below(candidate: Candidate, level: float) -> float:
    """Return the requests that fit at a candidate until its time reaches a level."""
    relative = level / candidate.slowness
    used = relative if relative >= 1.0 else (relative - 1.0 + SHARING_COST) / SHARING_COST
    return min(candidate.room, max(0.0, used * candidate.slots - candidate.load.requests))
