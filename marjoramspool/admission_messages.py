"""What is asked of the owner of a cell, and what it decides."""

from dataclasses import dataclass

from marjoramspool.bounded_placement import Holder

__all__ = ["URGENT_THRESHOLD", "Admission", "AdmissionRequest", "EngineView", "Granted", "Refused"]

URGENT_THRESHOLD = 1


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """Ask for an engine for one attempt.

    `wait_s` bounds the time in the queue, `holder_wait_s` the time to wait for an engine that holds
    the chat's prefix before another one has to compute it again.
    """

    cell: str
    chat: int
    holders: tuple[Holder, ...]
    account: str
    weight: int
    urgency: int
    exclude: tuple[str, ...]
    wait_s: float
    holder_wait_s: float = 0.0
    first_turn: bool = False

    @property
    def is_urgent(self) -> bool:
        """Tell whether the attempt may use the reserved slots."""
        return self.urgency <= URGENT_THRESHOLD


@dataclass(slots=True, frozen=True)
class Granted:
    """Grant one attempt on an engine."""

    engine: str
    incarnation: int
    why: str


@dataclass(slots=True, frozen=True)
class Refused:
    """Refuse an attempt, with the time after which to ask again."""

    reason: str
    retry_after_s: float


Admission = Granted | Refused


@dataclass(slots=True, frozen=True)
class EngineView:
    """Hold what a cell must know of an engine."""

    name: str
    incarnation: int
    slots: int
