"""The load of each engine: what this router sent there and what the others tell."""

from dataclasses import dataclass

__all__ = ["EngineLoads", "Load"]


@dataclass(slots=True)
class Load:
    """Count the requests under way at an engine and the prompt tokens it has yet to read."""

    requests: int = 0
    prefill_tokens: int = 0


NO_LOAD = Load()


class EngineLoads:
    """Sum up the load of each engine over all routers.

    What is told is kept summed up, since a placement looks at every engine and hundreds of routers
    tell of few each.
    """

    __slots__ = ("local", "reported_totals", "reported")

    def __init__(self):
        self.local: dict[str, Load] = {}
        self.reported: dict[str, dict[str, Load]] = {}
        self.reported_totals: dict[str, Load] = {}

    def begin(self, engine: str, prefill_tokens: int) -> None:
        """Count a request that this router sends."""
        load = self.local.setdefault(engine, Load())
        load.requests += 1
        load.prefill_tokens += prefill_tokens

    def record_prefill(self, engine: str, prefill_tokens: int) -> None:
        """Take off the tokens of a prompt that an engine has read."""
        load = self.local.get(engine)
        if load:
            load.prefill_tokens = max(0, load.prefill_tokens - prefill_tokens)

    def end(self, engine: str) -> None:
        """Count a request that has ended."""
        load = self.local.get(engine)
        if load is None:
            return
        load.requests -= 1
        if load.requests <= 0:
            del self.local[engine]

    def replace_report(self, router: str, loads: dict[str, Load]) -> None:
        """Replace all that another router says it has under way."""
        self.remove_router(router)
        self.reported[router] = loads
        for engine, load in loads.items():
            self.add_reported(engine, load.requests, load.prefill_tokens)

    def remove_router(self, router: str) -> None:
        """Drop what a router told that is no longer heard of."""
        for engine, load in self.reported.pop(router, {}).items():
            self.add_reported(engine, -load.requests, -load.prefill_tokens)

    def add_reported(self, engine: str, requests: int, prefill_tokens: int) -> None:
        """Add to what all others have under way at an engine."""
        total = self.reported_totals.setdefault(engine, Load())
        total.requests += requests
        total.prefill_tokens += prefill_tokens
        if not total.requests and not total.prefill_tokens:
            del self.reported_totals[engine]

    def total(self, engine: str) -> Load:
        """Return the load of an engine over all routers."""
        local = self.local.get(engine, NO_LOAD)
        others = self.reported_totals.get(engine, NO_LOAD)
        return Load(local.requests + others.requests, local.prefill_tokens + others.prefill_tokens)
