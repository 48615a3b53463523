"""Choosing the engine of a request by what its cache holds and what it has to do.

The load pattern it answers: many chats over few shared subjects, each of which costs an engine a
hundred times more to read than to find in its cache, while every prompt that is read delays the
tokens of all requests beside it.
"""

from dataclasses import dataclass

from marjoramspool import hashing
from marjoramspool.engine_loads import Load
from marjoramspool.unreported_load import first_unfilled, water_level

__all__ = ["Candidate", "Choice", "UnreportedLoad", "choose_engine"]

# What one more running request costs the others, as prompt tokens read.
REQUEST_COST_TOKENS = 120
# Engines whose costs differ by less are alike; the hash order keeps routers agreed on one.
COST_TOLERANCE_TOKENS = 400
# What it weighs more to read or copy what another engine holds than to read something new.
DUPLICATE_WEIGHT = 0.5
LOAD_BOUND_FACTOR = 1.5
LOAD_BOUND_EXTRA_REQUESTS = 2
OTHER_DOMAIN_COST_TOKENS = 30


@dataclass(slots=True)
class Candidate:
    """Hold what is known of one usable engine for the request at hand."""

    name: str
    load: Load
    cached_tokens: int = 0
    # Tokens that this engine lacks and another holds.
    cached_elsewhere_tokens: int = 0
    is_same_domain: bool = True


@dataclass(slots=True, frozen=True)
class Choice:
    """Name the chosen engine and the cost that decided, in prompt tokens."""

    engine: Candidate
    cost: int


@dataclass(slots=True, frozen=True)
class UnreportedLoad:
    """Say what other routers have sent since they last told of it.

    `tokens` is all their work for the service, `requests` are those for the subject at hand; `draw`
    from 0 to 1 differs between the requests for one subject.
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
) -> Choice | None:
    """Return the engine where a request costs least; None if there is none.

    `key` is the hash of what the request shares with others.
    """
    bound = requests_bound(candidates)
    below_bound = [candidate for candidate in candidates if candidate.load.requests <= bound]
    if not below_bound:
        return None
    costs = {candidate.name: cost_tokens(candidate, prompt_tokens) for candidate in below_bound}
    level = water_level(list(costs.values()), unreported.tokens)
    level = max(level, min(costs.values()) + COST_TOLERANCE_TOKENS)
    ranked = sorted(below_bound, key=lambda c: preference(key, c.name, costs[c.name], level))
    headrooms = [bound + 1 - candidate.load.requests for candidate in ranked]
    best = ranked[first_unfilled(headrooms, unreported.requests, unreported.draw)]
    return Choice(best, costs[best.name])


def preference(key: int, name: str, cost: int, level: float) -> tuple[float, str]:
    """Return the place of an engine in the order of choice, the least first.

    Below the level they are drawn in proportion to their room, above it the cheapest is next.
    """
    if cost < level:
        return (-hashing.score(key, name, level - cost), name)
    return (cost, name)


def requests_bound(candidates: list[Candidate]) -> float:
    """Return how many requests an engine may have so that its load is not far above the mean."""
    if not candidates:
        return 0.0
    mean = sum(candidate.load.requests for candidate in candidates) / len(candidates)
    return LOAD_BOUND_FACTOR * mean + LOAD_BOUND_EXTRA_REQUESTS


def cost_tokens(candidate: Candidate, prompt_tokens: int) -> int:
    """Return what a request costs at an engine, in prompt tokens to read."""
    prefill_cost = max(0, prompt_tokens - candidate.cached_tokens)
    prefill_cost += int(DUPLICATE_WEIGHT * candidate.cached_elsewhere_tokens)
    distance_cost = 0 if candidate.is_same_domain else OTHER_DOMAIN_COST_TOKENS
    load = candidate.load
    return prefill_cost + load.unread_tokens + REQUEST_COST_TOKENS * load.requests + distance_cost
