"""What a process holds for each client connection, and since when."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["ConnectionRecord", "Phase"]


class Phase(enum.Enum):
    """How far the request of a connection is."""

    # No byte was received yet, or the TLS handshake is not complete.
    OPENING = "opening"
    # All requests are answered.
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    # A whole request was received, which may have run.
    SERVED = "served"
    # The request was refused, and what follows is discarded.
    REFUSED = "refused"


def no_bytes() -> int:
    """Return that nothing is unsent."""
    return 0


def not_open() -> None:
    """Close nothing."""


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """One connection as the budget sees it; times are of the budget's clock, in seconds.

    `evict` closes the connection, with a refusal if it has part of a request; `abort` drops it.
    `unsent_bytes` returns how much of its answers waits to be sent.
    """

    group: str
    since: float
    progressed_at: float
    phase: Phase = Phase.OPENING
    evict: Callable[[], None] = not_open
    abort: Callable[[], None] = not_open
    unsent_bytes: Callable[[], int] = no_bytes
    # Received for the present request, as the client sent them.
    received_bytes: int = 0
    # Memory that is charged to the budget.
    held_bytes: int = 0
    # May be held whatever others hold.
    reserved_bytes: int = 0
    is_evicted: bool = False
    # After this time the client does not want its answer any more, None while none is due.
    answer_deadline: float | None = None
    # Unsent bytes at the last check, and since when their number is the same.
    last_unsent_bytes: int = 0
    unsent_since: float = 0.0

    @property
    def has_request(self) -> bool:
        """Return whether part of a request was received that is not answered."""
        return self.phase in (Phase.HEAD, Phase.BODY, Phase.SERVED)

    def enter(self, phase: Phase, moment: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = moment
        self.progressed_at = moment
        self.is_evicted = False

    def record_received(self, size: int, moment: float) -> None:
        """Record bytes that the client has sent."""
        self.received_bytes += size
        self.progressed_at = moment
