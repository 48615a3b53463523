"""Caller requests matched to a route."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.prompts import Prompt
from marjoramspool.routes import ClientAccount, Route, RouteKind

__all__ = ["RoutedRequest"]


@dataclass(slots=True)
class RoutedRequest:
    """Validated request; `received` and `deadline` are times of `clock.now`, in seconds."""

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
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def priority(self) -> int:
        """Return the priority of the client account or else of the route; 0 is the most urgent."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds; negative after it."""
        return self.deadline - self.clock()
