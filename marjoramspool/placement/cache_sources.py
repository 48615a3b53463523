"""Selection of the engine from which another copies the cache of a prompt.

This serves rolling replacements: engines are replaced one after the other, and the prompt parts
that they had cached are requested again immediately. A copy costs an eighth of a prefill; between
failure domains it takes twice as long as within one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramspool.engine_state.engine_list import Engine

__all__ = ["Holder", "select_cache_source"]

# A copy has a set-up cost; fewer tokens than this are prefilled as fast.
MIN_COPY_TOKENS = 100


@dataclass(slots=True, frozen=True)
class Holder:
    """An engine and the number of leading tokens of a prompt that it has cached."""

    engine: Engine
    cached_tokens: int
    is_draining: bool = False


def select_cache_source(
    destination: Engine, holders: Iterable[Holder], cached_tokens: int
) -> Engine | None:
    """Return the engine to copy from; None if no holder has over MIN_COPY_TOKENS more.

    `cached_tokens` is the number of leading tokens that `destination` itself has cached. Among
    holders that differ by at most MIN_COPY_TOKENS from the largest, one in the failure domain of
    `destination` is preferred, then one that is not draining.
    """
    useful = [
        holder for holder in holders if holder.cached_tokens > cached_tokens + MIN_COPY_TOKENS
    ]
    if not useful:
        return None
    most_tokens = max(holder.cached_tokens for holder in useful)
    largest = [holder for holder in useful if holder.cached_tokens + MIN_COPY_TOKENS >= most_tokens]
    preferred = min(
        largest,
        key=lambda holder: (
            holder.engine.failure_domain != destination.failure_domain,
            holder.is_draining,
        ),
    )
    return preferred.engine
