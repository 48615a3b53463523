"""The load of each engine: what this router sent there and what the others tell."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["EngineLoads", "Load"]


@dataclass(slots=True)
class Load:
    """Count the requests under way at an engine and the prompt tokens it has yet to read."""

    requests: int = 0
    unread_tokens: int = 0


class EngineLoads:
    """Sum up the load of each engine over all routers."""

    __slots__ = ("own", "told")

    def __init__(self):
        self.own: dict[str, Load] = {}
        self.told: dict[str, dict[str, Load]] = {}

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
        self.told[router] = loads

    def forget_router(self, router: str) -> None:
        """Drop what a router told that is no longer heard of."""
        self.told.pop(router, None)

    def of(self, engine: str) -> Load:
        """Return the load of an engine over all routers."""
        parts = [load for load in self.each(engine) if load]
        return Load(sum(load.requests for load in parts), sum(load.unread_tokens for load in parts))

    def each(self, engine: str) -> Iterable[Load | None]:
        """Yield the load of an engine at each router."""
        yield self.own.get(engine)
        for loads in self.told.values():
            yield loads.get(engine)
