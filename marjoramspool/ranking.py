"""Rendezvous ranks of many keys, kept while names come and go."""

from bisect import insort

from marjoramspool import hashing

__all__ = ["Rankings"]

KEPT = 4
FEWEST = 2


class Rankings:
    """Keep the first names of many keys.

    A name that comes or goes costs one score a key; ranking all names anew costs one a name.
    """

    __slots__ = ("firsts", "names")

    def __init__(self):
        self.names: set[str] = set()
        self.firsts: dict[int, list[tuple[float, str]]] = {}

    def update(self, names: set[str]) -> None:
        """Take the names of now."""
        for name in self.names - names:
            self.remove(name)
        for name in names - self.names:
            self.add(name)

    def add(self, name: str) -> None:
        """Add a name to every kept order that it belongs into."""
        self.names.add(name)
        for key, first in self.firsts.items():
            # Ascending by negated score, so that the best name comes first.
            insort(first, (-hashing.score(key, name), name))
            del first[KEPT:]

    def remove(self, name: str) -> None:
        """Remove a name from every kept order; one that grows too short is made anew."""
        self.names.discard(name)
        for key, first in list(self.firsts.items()):
            first[:] = [entry for entry in first if entry[1] != name]
            if len(first) < min(FEWEST, len(self.names)):
                del self.firsts[key]

    def first(self, key: int) -> list[str]:
        """Return the first names of a key, the best first."""
        if key not in self.firsts:
            scored = sorted((-hashing.score(key, name), name) for name in self.names)
            self.firsts[key] = scored[:KEPT]
        return [name for _, name in self.firsts[key]]
