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

    def insert(self, parts: tuple[Part, ...]) -> list[int]:
        """Insert a chain of parts; return the least recently used parts evicted for it."""
        evicted = []
        # The first part of a chain is touched last, so that the tail of a chain is evicted first.
        for part in reversed(parts):
            self.total_tokens += part.tokens - self.parts.pop(part.id, 0)
            self.parts[part.id] = part.tokens
        while self.total_tokens > self.capacity_tokens and self.parts:
            part, tokens = self.parts.popitem(last=False)
            self.total_tokens -= tokens
            evicted.append(part)
        return evicted

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
    """Models of the prefix caches of all engines, keyed by engine id and incarnation.

    `holders` is the index from each part to the engines that have it cached.
    """

    __slots__ = ("caches", "holders")

    def __init__(self):
        self.caches: dict[tuple[str, int], EngineCache] = {}
        self.holders: dict[int, set[tuple[str, int]]] = {}

    def insert(self, key: tuple[str, int], capacity_tokens: int, parts: tuple[Part, ...]) -> None:
        """Insert a chain of parts that an engine prefills."""
        cache = self.caches.get(key)
        if cache is None:
            cache = self.caches[key] = EngineCache(capacity_tokens)
        evicted = cache.insert(parts)
        for part in parts:
            self.holders.setdefault(part.id, set()).add(key)
        for part_id in evicted:
            self.drop_holder(part_id, key)

    def drop_holder(self, part_id: int, key: tuple[str, int]) -> None:
        """Remove an engine from the holders of a part."""
        holders = self.holders.get(part_id, set())
        holders.discard(key)
        if not holders:
            self.holders.pop(part_id, None)

    def holders_beyond(self, parts: tuple[Part, ...], cached_tokens: int) -> list[tuple[str, int]]:
        """Return the engines, in a fixed order, that may have more of a chain than some tokens."""
        for part in parts:
            if cached_tokens < part.tokens:
                return sorted(self.holders.get(part.id, ()))
            cached_tokens -= part.tokens
        return []

    def deepest_holders(self, parts: tuple[Part, ...]) -> list[tuple[str, int]]:
        """Return the engines, in a fixed order, that have the last part of a chain anyone has."""
        for part in reversed(parts):
            if holders := self.holders.get(part.id):
                return sorted(holders)
        return []

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
            for part in parts:
                self.drop_holder(part.id, key)

    def remove_engine(self, key: tuple[str, int]) -> None:
        """Remove the model of an engine that is gone or has restarted."""
        cache = self.caches.pop(key, None)
        for part_id in cache.parts if cache else ():
            self.drop_holder(part_id, key)
