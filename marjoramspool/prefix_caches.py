"""Models of the prefix caches of engines, kept from the requests sent to them."""

from collections import OrderedDict

from marjoramspool.prompts import Part

__all__ = ["EngineCache", "PrefixCaches"]


class EngineCache:
    """Model of one engine's prefix cache with LRU eviction of prompt parts."""

    __slots__ = ("capacity_tokens", "parts", "total_tokens")

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self.parts: OrderedDict[int, int] = OrderedDict()
        self.total_tokens = 0

    def insert(self, parts: tuple[Part, ...]) -> None:
        """Insert a chain of parts, evicting the least recently used parts beyond the capacity."""
        # The first part of a chain is touched last, so that the tail of a chain is evicted first.
        for part in reversed(parts):
            self.total_tokens += part.tokens - self.parts.pop(part.id, 0)
            self.parts[part.id] = part.tokens
        while self.total_tokens > self.capacity_tokens and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.total_tokens -= tokens

    def remove_parts(self, parts: tuple[Part, ...]) -> None:
        """Remove parts that the engine has not cached."""
        for part in parts:
            self.total_tokens -= self.parts.pop(part.id, 0)

    def missing(self, parts: tuple[Part, ...]) -> tuple[Part, ...]:
        """Return the rest of a chain from the first part that is not cached."""
        for index, part in enumerate(parts):
            if part.id not in self.parts:
                return parts[index:]
        return ()

    def cached_tokens(self, parts: tuple[Part, ...]) -> int:
        """Return the number of leading tokens of a chain that need no prefill."""
        leading = parts[: len(parts) - len(self.missing(parts))]
        return sum(part.tokens for part in leading)


class PrefixCaches:
    """Models of the prefix caches of all engines, keyed by engine id and incarnation."""

    __slots__ = ("caches",)

    def __init__(self):
        self.caches: dict[tuple[str, int], EngineCache] = {}

    def insert(self, key: tuple[str, int], capacity_tokens: int, parts: tuple[Part, ...]) -> None:
        """Insert a chain of parts that an engine prefills."""
        cache = self.caches.get(key)
        if cache is None:
            cache = self.caches[key] = EngineCache(capacity_tokens)
        cache.insert(parts)

    def cached_tokens(self, key: tuple[str, int], parts: tuple[Part, ...]) -> int:
        """Return the number of leading tokens of a chain that an engine has cached."""
        cache = self.caches.get(key)
        return cache.cached_tokens(parts) if cache else 0

    def missing(self, key: tuple[str, int], parts: tuple[Part, ...]) -> tuple[Part, ...]:
        """Return the rest of a chain from the first part that an engine has not cached."""
        cache = self.caches.get(key)
        return cache.missing(parts) if cache else parts

    def remove_parts(self, key: tuple[str, int], parts: tuple[Part, ...]) -> None:
        """Remove parts that an engine has not cached."""
        if key in self.caches:
            self.caches[key].remove_parts(parts)

    def remove_engine(self, key: tuple[str, int]) -> None:
        """Remove the model of an engine that is gone or has restarted."""
        self.caches.pop(key, None)
