"""Admission requests to the owner of a cell, and its decisions."""

import math
from dataclasses import dataclass

from marjoramspool.placement.bounded_placement import Holder

__all__ = ["URGENT_THRESHOLD", "Admission", "AdmissionRequest", "EngineView", "Granted", "Refused"]

# A lower urgency value is more urgent.
URGENT_THRESHOLD = 1


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """Request for an engine for one attempt.

    `queue_wait_s` bounds the time in the queue. `holder_wait_s` bounds the part of it spent waiting
    for an engine whose cache holds the chat's prefix, before another engine has to compute it
    again.
    """

    cell: str
    chat: int
    holders: tuple[Holder, ...]
    account: str
    weight: int
    urgency: int
    exclude: tuple[str, ...]
    queue_wait_s: float
    holder_wait_s: float = 0.0
    is_first_turn: bool = False

    @property
    def is_urgent(self) -> bool:
        """Return whether the attempt may use the slots reserved for urgent requests."""
        return self.urgency <= URGENT_THRESHOLD


@dataclass(slots=True, frozen=True)
class Granted:
    """Decision to admit one attempt on an engine."""

    engine: str
    incarnation: int
    why: str


@dataclass(slots=True, frozen=True)
class Refused:
    """Decision to refuse an attempt, with the delay before the next request."""

    reason: str
    retry_after_s: float


Admission = Granted | Refused


@dataclass(slots=True, frozen=True)
class EngineView:
    """Name, incarnation and slots of an engine, as a cell uses them.

    `room` is the number of requests that it takes now below the rate limit that it named.
    """

    name: str
    incarnation: int
    slots: int
    room: float = math.inf
