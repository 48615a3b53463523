"""Load of each engine: requests sent by this router and those that other routers report."""

from dataclasses import dataclass

__all__ = ["NO_LOAD", "EngineLoads", "Load"]


@dataclass(slots=True)
class Load:
    """Requests in flight at an engine and the prompt tokens that it has yet to prefill.

    For an engine with a rate limit, also the decaying sums of the requests that it was sent and of
    those that it was wanted for, in thousandths; these are told of other routers only.
    """

    requests: int = 0
    prefill_tokens: int = 0
    sent_milli: int = 0
    wanted_milli: int = 0

    def add(self, other: "Load", sign: int = 1) -> None:
        """Add another load, or subtract it with a `sign` of -1."""
        self.requests += sign * other.requests
        self.prefill_tokens += sign * other.prefill_tokens
        self.sent_milli += sign * other.sent_milli
        self.wanted_milli += sign * other.wanted_milli

    def remaining(self, part: "Load") -> "Load":
        """Return what is left of a load without a part of it, which may be of another moment."""
        return Load(
            max(0, self.requests - part.requests),
            max(0, self.prefill_tokens - part.prefill_tokens),
            max(0, self.sent_milli - part.sent_milli),
            max(0, self.wanted_milli - part.wanted_milli),
        )

    @property
    def is_zero(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.requests or self.prefill_tokens or self.sent_milli or self.wanted_milli)


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
            self.add_reported(engine, load)

    def remove_router(self, router: str) -> None:
        """Remove the loads reported by a router that is no longer live."""
        for engine, load in self.reported.pop(router, {}).items():
            self.add_reported(engine, load, sign=-1)

    def clear_reports(self) -> None:
        """Remove all reported loads."""
        self.reported.clear()
        self.reported_totals.clear()

    def add_reported(self, engine: str, load: Load, sign: int = 1) -> None:
        """Add to the total that the other routers report for an engine, or subtract from it."""
        total = self.reported_totals.setdefault(engine, Load())
        total.add(load, sign)
        if total.is_zero:
            del self.reported_totals[engine]

    def others(self, engine: str) -> Load:
        """Return what the other routers report of an engine."""
        return self.reported_totals.get(engine, NO_LOAD)

    def requests(self, engine: str) -> int:
        """Return the requests at an engine, summed over all routers."""
        local = self.local.get(engine, NO_LOAD)
        return local.requests + self.reported_totals.get(engine, NO_LOAD).requests

    def total(self, engine: str) -> Load:
        """Return the load of an engine, summed over all routers."""
        local = self.local.get(engine, NO_LOAD)
        others = self.reported_totals.get(engine, NO_LOAD)
        return Load(local.requests + others.requests, local.prefill_tokens + others.prefill_tokens)
