"""Which of several routers gets a request of a router that has no path to its targets."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

__all__ = ["select_peer"]

Peer = TypeVar("Peer")

# A router of another failure domain is used if those of the own one have this much more to do.
FAR_FACTOR = 2.0
FAR_EXTRA_REQUESTS = 4


def select_peer(
    near: Sequence[Peer], far: Sequence[Peer], load: Callable[[Peer], int], source: random.Random
) -> Peer | None:
    """Return the router to send a request through, None if there is none.

    Of two drawn from the own failure domain (`near`), or from others if that has too much to do, it
    is the less loaded one.
    """
    best_near, best_far = draw(near, load, source), draw(far, load, source)
    if best_near is None or best_far is None:
        return best_near or best_far
    limit = FAR_FACTOR * load(best_far) + FAR_EXTRA_REQUESTS
    return best_near if load(best_near) <= limit else best_far


def draw(peers: Sequence[Peer], load: Callable[[Peer], int], source: random.Random) -> Peer | None:
    """Return the less loaded of two routers drawn at random."""
    if not peers:
        return None
    return min(source.sample(peers, min(2, len(peers))), key=load)
