"""Requests, answers and the dispatcher interface, independent of the target's protocol."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from marjoramspool.document import Account, Document, Target
from marjoramspool.placement.bounded_placement import Holder

__all__ = [
    "Answer",
    "Dispatcher",
    "Request",
    "single_part",
]


@dataclass(slots=True)
class Request:
    """Validated request of a caller; `deadline` is on the monotonic clock.

    `parts` are hashes of its contents, of which other requests may share all but the last. A
    request that is forwarded came from another router, which has claimed its key.
    """

    id: str
    document: Document
    account: Account
    urgency: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    parts: tuple[int, ...] = ()
    chat: int | None = None
    holders: tuple[Holder, ...] = ()
    key: str | None = None
    is_non_idempotent: bool = False
    is_stream: bool = False
    is_first_turn: bool = False
    is_forwarded: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may be sent again after it may have run."""
        return not self.is_non_idempotent and self.key is None


@dataclass(slots=True)
class Answer:
    """Answer whose first bytes were received; `parts` raises BrokenAnswerError if it breaks off."""

    status: int
    headers: dict[str, str]
    parts: AsyncIterator[bytes]
    length: int | None = None
    holders: tuple[Holder, ...] = field(default=())


class Dispatcher(Protocol):
    """Interface that sends one attempt to a target."""

    def open(
        self, request: Request, target: Target, attempt: str, reuse: bool, incarnation: int = 0
    ) -> AbstractAsyncContextManager[Answer]:
        """Send an attempt and yield its answer once its first bytes are received.

        If `reuse` is False, the attempt is sent over a new connection. `incarnation` is that of the
        target which the attempt was granted, 0 if it is unknown.

        Raise NotSentError, TargetRefusedError or MayHaveRunError.
        """


async def single_part(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body as a single part."""
    yield body
