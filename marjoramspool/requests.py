"""Caller requests matched to a route."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool import hashing
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
    # The last event that the caller has, if it resumes a stream, and the id of the request that
    # brought the first one.
    after_event: int | None = None
    first_request: str | None = None
    # Whether another router has no path to engines and sent the request here, and how often it may
    # have run before.
    is_forwarded: bool = False
    earlier_runs: int = 0
    # Name under which the caller reached the fleet, by which the route was found.
    host: str = ""
    # Whether it was admitted to a contended service, and is not to be counted as wanted again.
    is_admitted: bool = False
    # Whether it may go to an engine without a free slot.
    may_queue: bool = False
    clock: Callable[[], float] = now
    known_content_id: int | None = None

    @property
    def content_id(self) -> int:
        """Return the hash of what repeats of this request have in common: all but the headers."""
        if self.known_content_id is None:
            account = self.account.name if self.account else ""
            self.known_content_id = hashing.content_id(
                account, self.method, self.path, self.prompt_part_ids, self.body
            )
        return self.known_content_id

    @property
    def prompt_part_ids(self) -> tuple[int, ...]:
        """Return the ids of the prompt's parts, none without a prompt."""
        return self.prompt.part_ids if self.prompt else ()

    @property
    def parts(self) -> tuple[int, ...]:
        """Return what requests may share, the content last, which only repeats share."""
        return *self.prompt_part_ids, self.content_id

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller resumes a stream of which it has events."""
        return self.after_event is not None or self.first_request is not None

    @property
    def priority(self) -> int:
        """Return the priority of the client account or else of the route; 0 is the most urgent."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds; negative after it."""
        return self.deadline - self.clock()
