"""Requests of callers, matched to their route."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.prompts import Prompt
from marjoramspool.routes import ClientAccount, Route, RouteKind

__all__ = ["RoutedRequest"]


@dataclass(slots=True)
class RoutedRequest:
    """Hold one checked request; `deadline` is on the clock of `clock.now`."""

    id: str
    route: Route
    service: str
    account: ClientAccount | None
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    received: float
    deadline: float
    prompt: Prompt | None = None
    after_event: int | None = None
    clock: Callable[[], float] = now

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a series of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def priority(self) -> int:
        """Return the rank of the request, 0 the most urgent."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - self.clock()
