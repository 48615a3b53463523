"""What each engine's cache of prompt parts is believed to hold."""

from collections import OrderedDict

from marjoramspool.prompts import Part

__all__ = ["EngineCache", "PrefixCaches"]


class EngineCache:
    """Model the cache of one engine: the least recently used parts give way."""

    __slots__ = ("capacity", "parts", "total")

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.total = 0

    def use(self, parts: tuple[Part, ...]) -> None:
        """Record that an engine reads a chain of parts."""
        # A chain's first part is touched last, so that the tail of a chain gives way first.
        for part in reversed(parts):
            self.total += part.tokens - self.parts.pop(part.id, 0)
            self.parts[part.id] = part.tokens
        while self.total > self.capacity and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.total -= tokens

    def drop(self, parts: tuple[Part, ...]) -> None:
        """Record that an engine does not hold some parts."""
        for part in parts:
            self.total -= self.parts.pop(part.id, 0)

    def lacking(self, parts: tuple[Part, ...]) -> tuple[Part, ...]:
        """Return the rest of a chain from the first part that is not held."""
        for index, part in enumerate(parts):
            if part.id not in self.parts:
                return parts[index:]
        return ()

    def held(self, parts: tuple[Part, ...]) -> int:
        """Return how many leading tokens of a chain need not be read again."""
        leading = parts[: len(parts) - len(self.lacking(parts))]
        return sum(part.tokens for part in leading)


class PrefixCaches:
    """Keep a model of the cache of each engine, by its id and incarnation."""

    __slots__ = ("caches",)

    def __init__(self):
        self.caches: dict[tuple[str, int], EngineCache] = {}

    def use(self, key: tuple[str, int], capacity: int, parts: tuple[Part, ...]) -> None:
        """Record that an engine reads a chain of parts."""
        cache = self.caches.get(key)
        if cache is None:
            cache = self.caches[key] = EngineCache(capacity)
        cache.use(parts)

    def held(self, key: tuple[str, int], parts: tuple[Part, ...]) -> int:
        """Return how many leading tokens of a chain an engine holds."""
        cache = self.caches.get(key)
        return cache.held(parts) if cache else 0

    def lacking(self, key: tuple[str, int], parts: tuple[Part, ...]) -> tuple[Part, ...]:
        """Return the rest of a chain from the first part that an engine does not hold."""
        cache = self.caches.get(key)
        return cache.lacking(parts) if cache else parts

    def drop(self, key: tuple[str, int], parts: tuple[Part, ...]) -> None:
        """Record that an engine does not hold some parts."""
        if key in self.caches:
            self.caches[key].drop(parts)

    def forget(self, key: tuple[str, int]) -> None:
        """Forget an engine that is gone or has started anew."""
        self.caches.pop(key, None)
