"""Choosing the engine from which another copies a prompt that it does not hold.

The load pattern it answers: engines are replaced one after the other, and the subjects that they
held are asked for again at once. A copy costs an eighth of reading; between failure domains it
takes twice as long as within one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramspool.engine_list import Engine

__all__ = ["Holder", "select_source"]

# A copy has to be set up; fewer tokens are read as fast.
MIN_COPY_TOKENS = 100


@dataclass(slots=True, frozen=True)
class Holder:
    """Say how many leading tokens of a prompt an engine holds."""

    engine: Engine
    cached_tokens: int


def select_source(
    destination: Engine, holders: Iterable[Holder], cached_tokens: int
) -> Engine | None:
    """Return the engine to copy from; None if no holder has much that `destination` lacks.

    `cached_tokens` is what `destination` holds itself. Among holders of alike size one near
    `destination` comes first, then one that stays.
    """
    useful = [
        holder for holder in holders if holder.cached_tokens > cached_tokens + MIN_COPY_TOKENS
    ]
    if not useful:
        return None
    most_tokens = max(holder.cached_tokens for holder in useful)
    largest = [
        holder.engine for holder in useful if holder.cached_tokens + MIN_COPY_TOKENS >= most_tokens
    ]
    return min(
        largest,
        key=lambda engine: (
            engine.failure_domain != destination.failure_domain,
            engine.is_draining,
        ),
    )
