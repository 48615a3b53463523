"""What each engine's cache of prompt parts is believed to hold."""

from collections import OrderedDict

from marjoramspool.prompts import Part

__all__ = ["EngineCache", "PrefixCaches"]


class EngineCache:
    """Model the cache of one engine: the least recently used parts give way."""

    __slots__ = ("capacity_tokens", "parts", "total_tokens")

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.total_tokens = 0

    def insert(self, parts: tuple[Part, ...]) -> None:
        """Record that an engine reads a chain of parts."""
        # A chain's first part is touched last, so that the tail of a chain gives way first.
        for part in reversed(parts):
            self.total_tokens += part.tokens - self.parts.pop(part.id, 0)
            self.parts[part.id] = part.tokens
        while self.total_tokens > self.capacity_tokens and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.total_tokens -= tokens

    def remove_parts(self, parts: tuple[Part, ...]) -> None:
        """Record that an engine does not hold some parts."""
        for part in parts:
            self.total_tokens -= self.parts.pop(part.id, 0)

    def missing(self, parts: tuple[Part, ...]) -> tuple[Part, ...]:
        """Return the rest of a chain from the first part that is not held."""
        for index, part in enumerate(parts):
            if part.id not in self.parts:
                return parts[index:]
        return ()

    def cached_tokens(self, parts: tuple[Part, ...]) -> int:
        """Return how many leading tokens of a chain need not be read again."""
        leading = parts[: len(parts) - len(self.missing(parts))]
        return sum(part.tokens for part in leading)


class PrefixCaches:
    """Keep a model of the cache of each engine, by its id and incarnation."""

    __slots__ = ("caches",)

    def __init__(self):
        self.caches: dict[tuple[str, int], EngineCache] = {}

    def insert(self, key: tuple[str, int], capacity_tokens: int, parts: tuple[Part, ...]) -> None:
        """Record that an engine reads a chain of parts."""
        cache = self.caches.get(key)
        if cache is None:
            cache = self.caches[key] = EngineCache(capacity_tokens)
        cache.insert(parts)

    def cached_tokens(self, key: tuple[str, int], parts: tuple[Part, ...]) -> int:
        """Return how many leading tokens of a chain an engine holds."""
        cache = self.caches.get(key)
        return cache.cached_tokens(parts) if cache else 0

    def missing(self, key: tuple[str, int], parts: tuple[Part, ...]) -> tuple[Part, ...]:
        """Return the rest of a chain from the first part that an engine does not hold."""
        cache = self.caches.get(key)
        return cache.missing(parts) if cache else parts

    def remove_parts(self, key: tuple[str, int], parts: tuple[Part, ...]) -> None:
        """Record that an engine does not hold some parts."""
        if key in self.caches:
            self.caches[key].remove_parts(parts)

    def remove_engine(self, key: tuple[str, int]) -> None:
        """Forget an engine that is gone or has started anew."""
        self.caches.pop(key, None)
