"""What routing needs of a target, whatever protocol it speaks."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from marjoramspool.bounded_placement import Holder
from marjoramspool.document import Account, Document, Target

__all__ = [
    "Answer",
    "Dispatcher",
    "Request",
    "single_part",
]


@dataclass(slots=True)
class Request:
    """Hold one checked request of a caller; `deadline` is on the monotonic clock."""

    id: str
    document: Document
    account: Account
    urgency: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    chat: int | None = None
    holders: tuple[Holder, ...] = ()
    key: str | None = None
    is_unsafe: bool = False
    is_stream: bool = False
    first_turn: bool = False

    @property
    def is_retryable(self) -> bool:
        """Tell whether the request may be sent again after it may have run."""
        return not self.is_unsafe and self.key is None


@dataclass(slots=True)
class Answer:
    """Hold an answer whose first bytes have come; `parts` raises BrokenAnswerError if cut."""

    status: int
    headers: dict[str, str]
    parts: AsyncIterator[bytes]
    length: int | None = None
    holders: tuple[Holder, ...] = field(default=())


class Dispatcher(Protocol):
    """Send one attempt to a target."""

    def open(
        self, request: Request, target: Target, attempt: str, reuse: bool
    ) -> AbstractAsyncContextManager[Answer]:
        """Send an attempt and yield its answer once the first bytes are there.

        `reuse` False asks for a new connection.

        Raise NotSentError, TargetRefusedError or MayHaveRunError.
        """


async def single_part(body: bytes) -> AsyncIterator[bytes]:
    """Yield one body."""
    yield body
