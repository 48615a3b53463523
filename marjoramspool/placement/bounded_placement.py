"""Choice of the engine of a request under a load bound."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramspool import hashing

__all__ = [
    "BoundedLoad",
    "Candidate",
    "HashOnly",
    "Holder",
    "Policy",
    "TwoChoices",
    "choose_engine",
    "valid_holders",
]

MIN_LOAD_CAP = 4
BOUND_HEADROOM = 0.92
UNKNOWN_INCARNATION = 0


@dataclass(slots=True, frozen=True)
class Holder:
    """Engine whose cache holds the prefix of a chat."""

    engine: str
    incarnation: int


@dataclass(slots=True)
class Candidate:
    """Usable engine with its load and its limit for the current request."""

    name: str
    incarnation: int
    load: int
    limit: int


@dataclass(slots=True, frozen=True)
class BoundedLoad:
    """Place chats where their prefix is cached, below a multiple of the mean load."""

    bound: float


@dataclass(slots=True, frozen=True)
class HashOnly:
    """Place by rendezvous hash alone; a baseline for comparison."""


@dataclass(slots=True, frozen=True)
class TwoChoices:
    """Place on the less loaded of two random engines; a baseline for comparison."""


Policy = BoundedLoad | HashOnly | TwoChoices


@dataclass(slots=True, frozen=True)
class Choice:
    """Chosen engine and the reason for it."""

    engine: Candidate
    why: str


def choose_engine(
    policy: Policy,
    chat: int | None,
    holders: tuple[Holder, ...],
    candidates: list[Candidate],
    random_key: int,
    is_holder_only: bool = False,
) -> Choice | None:
    """Choose an engine for a request; return None if none has room.

    `chat` is None where no engine can hold the prefix yet. `random_key` is a random number for
    draws and ties. With `is_holder_only` only a holder of the prefix is chosen.
    """
    match policy:
        case HashOnly():
            return choose_by_hash(chat if chat is not None else random_key, candidates)
        case TwoChoices():
            return choose_of_two(random_key, candidates)
        case BoundedLoad(bound):
            return choose_bounded(bound, chat, holders, candidates, random_key, is_holder_only)


def choose_by_hash(chat: int, candidates: list[Candidate]) -> Choice | None:
    """Return the first engine of the hash order, regardless of its load."""
    by_name = {candidate.name: candidate for candidate in candidates}
    order = hashing.rank(chat, by_name)
    return Choice(by_name[order[0]], "hash") if order else None


def choose_of_two(random_key: int, candidates: list[Candidate]) -> Choice | None:
    """Return the less loaded of two random engines, or of all if both are at their limits."""
    by_name = {candidate.name: candidate for candidate in candidates}
    pair = [by_name[name] for name in hashing.rank(random_key, by_name)[:2]]
    return least_loaded([c for c in pair if c.load < c.limit] or candidates, random_key)


def choose_bounded(
    bound: float,
    chat: int | None,
    holders: tuple[Holder, ...],
    candidates: list[Candidate],
    random_key: int,
    is_holder_only: bool,
) -> Choice | None:
    """Return the first preferred engine below the bound, else the least loaded one."""
    if not candidates:
        return None
    total = sum(candidate.load for candidate in candidates)
    # The cap has a minimum, since a few requests overload no engine and a bound on a small mean
    # would only scatter chats. It stays below the bound, since the mean may fall after admission.
    load_cap = max(MIN_LOAD_CAP, math.floor(BOUND_HEADROOM * bound * (total + 1) / len(candidates)))
    for candidate in valid_holders(holders, candidates):
        if candidate.load < min(load_cap, candidate.limit):
            return Choice(candidate, "holder")
    if is_holder_only:
        return None
    # The hash order only helps chats whose callers send no affinity hint.
    if chat is not None and not holders:
        by_name = {candidate.name: candidate for candidate in candidates}
        for name in hashing.rank(chat, by_name):
            if by_name[name].load < min(load_cap, by_name[name].limit):
                return Choice(by_name[name], "hash")
    return least_loaded(candidates, random_key)


def valid_holders(holders: tuple[Holder, ...], candidates: list[Candidate]) -> Iterator[Candidate]:
    """Yield the engines that still hold a chat's prefix; a restarted one has lost its cache."""
    by_name = {candidate.name: candidate for candidate in candidates}
    for holder in holders:
        candidate = by_name.get(holder.engine)
        if candidate and holder.incarnation in (candidate.incarnation, UNKNOWN_INCARNATION):
            yield candidate


def least_loaded(candidates: list[Candidate], random_key: int) -> Choice | None:
    """Return the least loaded engine below its limit; break ties by hash."""
    available = [c for c in candidates if c.load < c.limit]
    if not available:
        return None
    best = min(available, key=lambda c: (c.load, -hashing.score(random_key, c.name)))
    return Choice(best, "least-loaded")
