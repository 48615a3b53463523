"""Tagged outcomes of a request."""

from dataclasses import dataclass

__all__ = ["Completed", "NotRun", "Outcome", "Problem", "Unknown"]


@dataclass(slots=True, frozen=True)
class Problem:
    """Describe a fault to a caller, as RFC 9457 problem details."""

    status: int
    title: str
    remedy: str
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Completed:
    """State that the whole answer was delivered."""

    tag = "completed"


@dataclass(slots=True, frozen=True)
class NotRun:
    """State that no byte of the request reached a target, or that the target refused it."""

    problem: Problem
    tag = "not-run"


@dataclass(slots=True, frozen=True)
class Unknown:
    """State that the request may have run."""

    problem: Problem
    tag = "unknown"


Outcome = Completed | NotRun | Unknown
