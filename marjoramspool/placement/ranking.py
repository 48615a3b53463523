"""Rendezvous rankings of many keys, updated incrementally as names change."""

from bisect import insort

from marjoramspool import hashing

__all__ = ["Rankings"]

NAMES_KEPT = 4
MIN_NAMES = 2


class Rankings:
    """Highest-ranked names of many keys.

    Adding a name costs one score per key. Ranking a key from scratch costs one score per name.
    """

    __slots__ = ("names", "top_by_key")

    def __init__(self):
        self.names: set[str] = set()
        self.top_by_key: dict[int, list[tuple[float, str]]] = {}

    def update(self, names: set[str]) -> None:
        """Set the names to rank."""
        for name in self.names - names:
            self.remove(name)
        for name in names - self.names:
            self.add(name)

    def add(self, name: str) -> None:
        """Insert a name into each stored ranking where it is among the first."""
        self.names.add(name)
        for key, top in self.top_by_key.items():
            # Ascending by negated score, so that the best name comes first.
            insort(top, (-hashing.score(key, name), name))
            del top[NAMES_KEPT:]

    def remove(self, name: str) -> None:
        """Remove a name from each stored ranking; drop rankings that become too short."""
        self.names.discard(name)
        for key, top in list(self.top_by_key.items()):
            top[:] = [entry for entry in top if entry[1] != name]
            if len(top) < min(MIN_NAMES, len(self.names)):
                del self.top_by_key[key]

    def top_names(self, key: int) -> list[str]:
        """Return the highest-ranked names of a key, the best first."""
        if key not in self.top_by_key:
            scored = sorted((-hashing.score(key, name), name) for name in self.names)
            self.top_by_key[key] = scored[:NAMES_KEPT]
        return [name for _, name in self.top_by_key[key]]
