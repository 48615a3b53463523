"""The few engines that a request is compared at in a service with very many.

Load pattern: a service has a thousand engines, and each of hundreds of routers places a few
requests a second. Comparing all engines costs more than all else that a router does for a request.
Requests with the same shared prompt part see the same engines, so that they still find its cache.
"""

from bisect import bisect
from collections.abc import Iterable

from marjoramspool import hashing
from marjoramspool.engine_state.engine_list import Engine

__all__ = ["MAX_COMPARED_ENGINES", "EngineRing"]

# Services with at most this many engines are compared whole.
MAX_COMPARED_ENGINES = 64
WINDOW_ENGINES = 32


class EngineRing:
    """Engines of a service in the order of their hashes.

    The window of a key changes by one engine if an engine joins or leaves within it.
    """

    __slots__ = ("engines", "positions")

    def __init__(self, engines: Iterable[Engine]):
        placed = sorted((hashing.digest(engine.id), engine.id, engine) for engine in engines)
        self.positions = [position for position, _, _ in placed]
        self.engines = [engine for _, _, engine in placed]

    def window(self, key: int, holders: Iterable[Engine] = ()) -> list[Engine]:
        """Return the engines that follow a key, and besides them the holders of its prompt."""
        start = bisect(self.positions, key)
        count = min(WINDOW_ENGINES, len(self.engines))
        chosen = {}
        for offset in range(count):
            engine = self.engines[(start + offset) % len(self.engines)]
            chosen[engine.id] = engine
        for engine in holders:
            chosen[engine.id] = engine
        return list(chosen.values())
