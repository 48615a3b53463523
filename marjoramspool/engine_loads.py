"""Load of each engine: requests sent by this router and those that other routers report."""

from dataclasses import dataclass

__all__ = ["EngineLoads", "Load"]


@dataclass(slots=True)
class Load:
    """Requests in flight at an engine and the prompt tokens that it has yet to prefill."""

    requests: int = 0
    prefill_tokens: int = 0


NO_LOAD = Load()


class EngineLoads:
    """Load of each engine, summed over all routers.

    Totals over the reports are kept up to date as reports arrive, because a placement reads the
    load of every engine while each of hundreds of routers reports only a few engines.
    """

    __slots__ = ("local", "reported", "reported_totals")

    def __init__(self):
        self.local: dict[str, Load] = {}
        self.reported: dict[str, dict[str, Load]] = {}
        self.reported_totals: dict[str, Load] = {}

    def begin(self, engine: str, prefill_tokens: int) -> None:
        """Add a request that this router sends to an engine."""
        load = self.local.setdefault(engine, Load())
        load.requests += 1
        load.prefill_tokens += prefill_tokens

    def record_prefill(self, engine: str, prefill_tokens: int) -> None:
        """Subtract the tokens of a prompt that an engine has prefilled."""
        load = self.local.get(engine)
        if load:
            load.prefill_tokens = max(0, load.prefill_tokens - prefill_tokens)

    def end(self, engine: str) -> None:
        """Remove a request of this router that has ended."""
        load = self.local.get(engine)
        if load is None:
            return
        load.requests -= 1
        if load.requests <= 0:
            del self.local[engine]

    def replace_report(self, router: str, loads: dict[str, Load]) -> None:
        """Replace the loads that another router reports."""
        self.remove_router(router)
        self.reported[router] = loads
        for engine, load in loads.items():
            self.add_reported(engine, load.requests, load.prefill_tokens)

    def remove_router(self, router: str) -> None:
        """Remove the loads reported by a router that is no longer live."""
        for engine, load in self.reported.pop(router, {}).items():
            self.add_reported(engine, -load.requests, -load.prefill_tokens)

    def clear_reports(self) -> None:
        """Remove all reported loads."""
        self.reported.clear()
        self.reported_totals.clear()

    def add_reported(self, engine: str, requests: int, prefill_tokens: int) -> None:
        """Add to the total that the other routers report for an engine."""
        total = self.reported_totals.setdefault(engine, Load())
        total.requests += requests
        total.prefill_tokens += prefill_tokens
        if not total.requests and not total.prefill_tokens:
            del self.reported_totals[engine]

    def requests(self, engine: str) -> int:
        """Return the requests at an engine, summed over all routers."""
        local = self.local.get(engine, NO_LOAD)
        return local.requests + self.reported_totals.get(engine, NO_LOAD).requests

    def total(self, engine: str) -> Load:
        """Return the load of an engine, summed over all routers."""
        local = self.local.get(engine, NO_LOAD)
        others = self.reported_totals.get(engine, NO_LOAD)
        return Load(local.requests + others.requests, local.prefill_tokens + others.prefill_tokens)
