"""The load of each engine: what this router sent there and what the others tell."""

from dataclasses import dataclass

__all__ = ["EngineLoads", "Load"]


@dataclass(slots=True)
class Load:
    """Count the requests under way at an engine and the prompt tokens it has yet to read."""

    requests: int = 0
    unread_tokens: int = 0


NOTHING = Load()


class EngineLoads:
    """Sum up the load of each engine over all routers.

    What is told is kept summed up, since a placement looks at every engine and hundreds of routers
    tell of few each.
    """

    __slots__ = ("own", "sums", "told")

    def __init__(self):
        self.own: dict[str, Load] = {}
        self.told: dict[str, dict[str, Load]] = {}
        self.sums: dict[str, Load] = {}

    def begin(self, engine: str, unread_tokens: int) -> None:
        """Count a request that this router sends."""
        load = self.own.setdefault(engine, Load())
        load.requests += 1
        load.unread_tokens += unread_tokens

    def note_read(self, engine: str, unread_tokens: int) -> None:
        """Take off the tokens of a prompt that an engine has read."""
        load = self.own.get(engine)
        if load:
            load.unread_tokens = max(0, load.unread_tokens - unread_tokens)

    def end(self, engine: str) -> None:
        """Count a request that has ended."""
        load = self.own.get(engine)
        if load is None:
            return
        load.requests -= 1
        if load.requests <= 0:
            del self.own[engine]

    def tell(self, router: str, loads: dict[str, Load]) -> None:
        """Replace all that another router says it has under way."""
        self.forget_router(router)
        self.told[router] = loads
        for engine, load in loads.items():
            self.add(engine, load.requests, load.unread_tokens)

    def forget_router(self, router: str) -> None:
        """Drop what a router told that is no longer heard of."""
        for engine, load in self.told.pop(router, {}).items():
            self.add(engine, -load.requests, -load.unread_tokens)

    def add(self, engine: str, requests: int, unread_tokens: int) -> None:
        """Add to what all others have under way at an engine."""
        total = self.sums.setdefault(engine, Load())
        total.requests += requests
        total.unread_tokens += unread_tokens
        if not total.requests and not total.unread_tokens:
            del self.sums[engine]

    def of(self, engine: str) -> Load:
        """Return the load of an engine over all routers."""
        own = self.own.get(engine, NOTHING)
        others = self.sums.get(engine, NOTHING)
        return Load(own.requests + others.requests, own.unread_tokens + others.unread_tokens)
