"""Choosing the engine of a request under a load bound."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramspool import hashing

__all__ = ["Bounded", "Candidate", "HashOnly", "Holder", "Policy", "TwoChoices", "choose"]


@dataclass(slots=True, frozen=True)
class Holder:
    """Name an engine whose cache holds the prefix of a chat."""

    engine: str
    incarnation: int


@dataclass(slots=True)
class Candidate:
    """Hold the load of one usable engine and its limit for the request at hand."""

    name: str
    incarnation: int
    load: int
    limit: int


@dataclass(slots=True, frozen=True)
class Bounded:
    """Keep chats where their prefix is, below a multiple of the mean load."""

    bound: float


@dataclass(slots=True, frozen=True)
class HashOnly:
    """Follow the hash alone; a baseline."""


@dataclass(slots=True, frozen=True)
class TwoChoices:
    """Take the less loaded of two random engines; a baseline."""


Policy = Bounded | HashOnly | TwoChoices


@dataclass(slots=True, frozen=True)
class Choice:
    """Name the chosen engine and why."""

    engine: Candidate
    why: str


def choose(
    policy: Policy,
    chat: int | None,
    holders: tuple[Holder, ...],
    candidates: list[Candidate],
    draw: int,
    typical_mean: float,
    first_turn: bool = False,
) -> Choice | None:
    """Choose an engine below its limit; return None if every engine is at its limit.

    `draw` is a random number for the choices that need one; `typical_mean` is a slow average of
    the load an engine, in requests.
    """
    match policy:
        case HashOnly():
            return choose_by_hash(chat if chat is not None else draw, candidates)
        case TwoChoices():
            return choose_of_two(draw, candidates)
        case Bounded(bound):
            key = chat if chat is not None and not first_turn else None
            return choose_bounded(bound, key, holders, candidates, draw, typical_mean)


def choose_by_hash(chat: int, candidates: list[Candidate]) -> Choice | None:
    """Take the first engine of the hash order, whatever its load."""
    by_name = {candidate.name: candidate for candidate in candidates}
    order = hashing.rank(chat, by_name)
    return Choice(by_name[order[0]], "hash") if order else None


def choose_of_two(draw: int, candidates: list[Candidate]) -> Choice | None:
    """Take the less loaded of two engines drawn at random."""
    by_name = {candidate.name: candidate for candidate in candidates}
    pair = [by_name[name] for name in hashing.rank(draw, by_name)[:2]]
    return least_loaded([c for c in pair if c.load < c.limit] or candidates, draw)


def choose_bounded(
    bound: float,
    chat: int | None,
    holders: tuple[Holder, ...],
    candidates: list[Candidate],
    draw: int,
    typical_mean: float,
) -> Choice | None:
    """Take the first preferred engine below the bound, else the least loaded one."""
    if not candidates:
        return None
    total = sum(candidate.load for candidate in candidates)
    mean = (total + 1) / len(candidates)
    # The mean may fall after admission, so a burst above the typical load earns no extra room.
    cap = max(1, math.floor(bound * min(mean, max(typical_mean, 1.0))))
    open_to = [c for c in candidates if c.load < c.limit]
    for why, candidate in preferences(chat, holders, open_to):
        if candidate.load < cap:
            return Choice(candidate, why)
    return least_loaded(open_to, draw)


def preferences(
    chat: int | None, holders: tuple[Holder, ...], candidates: list[Candidate]
) -> Iterator[tuple[str, Candidate]]:
    """Yield the engines that may hold a chat's prefix, then those of its hash order."""
    by_name = {candidate.name: candidate for candidate in candidates}
    for holder in holders:
        candidate = by_name.get(holder.engine)
        if candidate and holder.incarnation in (candidate.incarnation, 0):
            yield "holder", candidate
    if chat is None:
        return
    for name in hashing.rank(chat, by_name):
        yield "hash", by_name[name]


def least_loaded(candidates: list[Candidate], draw: int) -> Choice | None:
    """Take the engine with the fewest requests below its limit; break ties by hash."""
    open_to = [c for c in candidates if c.load < c.limit]
    if not open_to:
        return None
    best = min(open_to, key=lambda c: (c.load, -hashing.score(draw, c.name)))
    return Choice(best, "least-loaded")
