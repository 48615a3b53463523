"""Choice of an engine for a request by the cost of its cache misses and its load.

Load pattern: many chats share few long prompt parts. Prefilling such a part costs an engine a
hundred times more than a cache hit, and each prefill delays the tokens of all other requests there.
"""

import math
from dataclasses import dataclass

from marjoramspool import hashing
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.engine_state.unreported_load import first_unfilled, water_level
from marjoramspool.placement.engine_slowness import scaled_cost

__all__ = ["Candidate", "Choice", "UnreportedLoad", "choose_engine"]

# Cost of one more running request for the others, in prefilled tokens.
REQUEST_COST_TOKENS = 120
# Engines whose costs differ by less count as equal; the hash order makes all routers agree on one.
COST_TOLERANCE_TOKENS = 400
# Extra weight of prefilling or copying tokens that another engine has cached, over new tokens.
DUPLICATE_WEIGHT = 0.5
LOAD_BOUND_FACTOR = 1.5
LOAD_BOUND_EXTRA_REQUESTS = 2
OTHER_DOMAIN_COST_TOKENS = 30
# Cost of the last room below a rate limit, which is kept for prompts that the engine has cached.
LIMIT_COST_TOKENS = 3000


@dataclass(slots=True)
class Candidate:
    """State of one usable engine with regard to the request that is placed."""

    name: str
    load: Load
    cached_tokens: int = 0
    # Tokens of the prompt that another engine has cached and this one has not.
    cached_elsewhere_tokens: int = 0
    is_same_domain: bool = True
    # Requests that fit below the engine's rate limit, and the part of the limit that is used.
    room: float = math.inf
    used_limit: float = 0.0
    # Whether it is cold and may be sent one more.
    is_cold: bool = False
    # Requests that it works on at a time, and its processing time relative to the usual.
    slots: int = 1
    slowness: float = 1.0


@dataclass(slots=True, frozen=True)
class Choice:
    """The chosen engine and its cost, in prefilled tokens."""

    engine: Candidate
    cost: int


@dataclass(slots=True, frozen=True)
class UnreportedLoad:
    """Load that other routers have sent since their last load reports.

    `tokens` is all their work for the service, `requests` the number of their requests for the same
    shared prompt part. `draw`, 0 to 1, differs between the requests for one part.
    """

    tokens: float = 0.0
    requests: float = 0.0
    draw: float = 0.0


NO_UNREPORTED_LOAD = UnreportedLoad()


def choose_engine(
    candidates: list[Candidate],
    key: int,
    prompt_tokens: int,
    unreported: UnreportedLoad = NO_UNREPORTED_LOAD,
    mean_requests: float | None = None,
) -> Choice | None:
    """Return the engine where a request costs least; None if there is none below the load bound.

    `key` is the hash of the prompt part that the request shares with others, `mean_requests` the
    mean load of the service if the candidates are not all of its engines.
    """
    if mean_requests is None:
        mean_requests = mean_load(candidates)
    bound = LOAD_BOUND_FACTOR * mean_requests + LOAD_BOUND_EXTRA_REQUESTS
    below_bound = [candidate for candidate in candidates if candidate.load.requests <= bound]
    if not below_bound:
        return None
    below_bound = [c for c in below_bound if is_preferred(c, mean_requests)] or below_bound
    costs = {candidate.name: cost_tokens(candidate, prompt_tokens) for candidate in below_bound}
    level = water_level(list(costs.values()), unreported.tokens)
    level = max(level, min(costs.values()) + COST_TOLERANCE_TOKENS)
    ranked = sorted(below_bound, key=lambda c: preference(key, c.name, costs[c.name], level))
    headrooms = [min(bound + 1 - c.load.requests, c.room) for c in ranked]
    best = ranked[first_unfilled(headrooms, unreported.requests, unreported.draw)]
    return Choice(best, costs[best.name])


def is_preferred(candidate: Candidate, mean_requests: float) -> bool:
    """Return whether a candidate goes before the others, whatever it costs.

    A router may seldom send to a cold engine, and no other may in its place: the engine gets work
    only if the permission is used at the next request.
    """
    return candidate.is_cold and candidate.load.requests <= mean_requests


def preference(key: int, name: str, cost: int, level: float) -> tuple[float, str]:
    """Return the sort key of an engine; the lowest is preferred.

    Engines below the water level are drawn in proportion to their distance from it; above it the
    cheapest comes first.
    """
    if cost < level:
        return (-hashing.score(key, name, level - cost), name)
    return (cost, name)


def mean_load(candidates: list[Candidate]) -> float:
    """Return the mean number of requests at the candidates, 0 if there are none.

    Engines with a rate limit count only if all have one: they are kept below what others take.
    """
    counted = [c for c in candidates if c.room == math.inf] or candidates
    return sum(candidate.load.requests for candidate in counted) / max(1, len(counted))


def cost_tokens(candidate: Candidate, prompt_tokens: int) -> int:
    """Return the cost of a request at an engine, in prefilled tokens."""
    prefill_cost = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_cost += int(DUPLICATE_WEIGHT * candidate.cached_elsewhere_tokens)
    distance_cost = 0 if candidate.is_same_domain else OTHER_DOMAIN_COST_TOKENS
    limit_cost = int(LIMIT_COST_TOKENS * candidate.used_limit)
    load = candidate.load
    load_cost = load.prefill_tokens + REQUEST_COST_TOKENS * load.requests
    work_cost = scaled_cost(prefill_cost + load_cost, REQUEST_COST_TOKENS, candidate.slowness)
    return work_cost + distance_cost + limit_cost
