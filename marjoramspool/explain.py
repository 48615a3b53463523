"""Traces of recent requests: placement, attempts and outcome."""

import time
from collections import OrderedDict

import msgspec

__all__ = ["Step", "Trace", "Traces"]


class Step(msgspec.Struct, frozen=True):
    """Step of a request; `at_ms` counts from its arrival."""

    at_ms: float
    what: str
    details: dict[str, str | int | float]


class Trace(msgspec.Struct):
    """Steps and outcome of one request."""

    request: str
    router: str
    service: str
    account: str
    arrived: float
    steps: list[Step] = []
    outcome: str = "in flight"

    def add_step(self, what: str, **details) -> None:
        """Add a step at the current time."""
        at_ms = round((time.time() - self.arrived) * 1000, 1)
        self.steps.append(Step(at_ms, what, details))


class Traces:
    """Traces of the last `limit` requests."""

    __slots__ = ("limit", "router", "traces")

    def __init__(self, router: str, limit: int):
        self.router = router
        self.limit = limit
        self.traces: OrderedDict[str, Trace] = OrderedDict()

    def start(self, request: str, service: str, account: str) -> Trace:
        """Start the trace of a request; drop the oldest above the limit."""
        trace = Trace(request, self.router, service, account, time.time(), [])
        self.traces[request] = trace
        while len(self.traces) > self.limit:
            self.traces.popitem(last=False)
        return trace

    def get(self, request: str) -> Trace | None:
        """Return the trace of a request, None if it is not kept."""
        return self.traces.get(request)
