"""Choosing the engine from which another copies a prompt that it does not hold.

The load pattern it answers: engines are replaced one after the other, and the subjects that they
held are asked for again at once. A copy costs an eighth of reading; between failure domains it
takes twice as long as within one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramspool.engine_list import Engine

__all__ = ["Holder", "choose_source"]

# A copy has to be set up; fewer tokens are read as fast.
COPY_ABOVE_TOKENS = 100


@dataclass(slots=True, frozen=True)
class Holder:
    """Say how many leading tokens of a prompt an engine holds."""

    engine: Engine
    tokens: int


def choose_source(to: Engine, holders: Iterable[Holder], held_tokens: int) -> Engine | None:
    """Return the engine to copy from; None if no holder has much that `to` lacks.

    `held_tokens` is what `to` holds itself. Among holders of alike size one near `to` comes first,
    then one that stays.
    """
    useful = [holder for holder in holders if holder.tokens > held_tokens + COPY_ABOVE_TOKENS]
    if not useful:
        return None
    most = max(holder.tokens for holder in useful)
    alike = [holder.engine for holder in useful if holder.tokens + COPY_ABOVE_TOKENS >= most]
    return min(
        alike, key=lambda engine: (engine.failure_domain != to.failure_domain, engine.is_leaving)
    )
