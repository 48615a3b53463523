"""Rings of the services with very many engines, and the mean load at each."""

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_loads import EngineLoads
from marjoramspool.placement.candidate_engines import EngineRing

__all__ = ["EngineRings", "RingKey"]

# The mean load of a service is computed again after this time.
MEAN_LOAD_AGE_S = 0.1

# Service, and the version of the engines if only those of one count.
RingKey = tuple[str, str | None]


class EngineRings:
    """Rings of engines by service and version, kept until their engines change."""

    __slots__ = ("loads", "mean_loads", "rings")

    def __init__(self, loads: EngineLoads):
        self.loads = loads
        # Each ring with the list of engines that it was made of.
        self.rings: dict[RingKey, tuple[list[Engine], EngineRing]] = {}
        # The mean requests at the engines of each ring, and when it was computed.
        self.mean_loads: dict[RingKey, tuple[float, float]] = {}

    def ring(self, key: RingKey, engines: list[Engine]) -> EngineRing:
        """Return the ring of a service and version, made anew when its engines have changed."""
        made_of, ring = self.rings.get(key, (None, None))
        if made_of is not engines:
            ring = EngineRing(engines)
            self.rings[key] = (engines, ring)
        return ring

    def mean_requests(self, key: RingKey, engines: list[Engine]) -> float:
        """Return the mean load of a service's engines, at most `MEAN_LOAD_AGE_S` old."""
        now_s = now()
        mean, computed_at = self.mean_loads.get(key, (0.0, -MEAN_LOAD_AGE_S))
        if now_s - computed_at >= MEAN_LOAD_AGE_S:
            mean = sum(self.loads.requests(engine.id) for engine in engines) / len(engines)
            self.mean_loads[key] = (mean, now_s)
        return mean
