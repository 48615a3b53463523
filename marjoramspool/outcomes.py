"""Outcomes of a request, with the tags that callers receive."""

from dataclasses import dataclass

__all__ = ["Completed", "NotRun", "Outcome", "Problem", "Unknown"]


@dataclass(slots=True, frozen=True)
class Problem:
    """Fault reported to a caller as problem details (RFC 9457)."""

    status: int
    title: str
    remedy: str
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Completed:
    """The complete answer was delivered."""

    tag = "completed"


@dataclass(slots=True, frozen=True)
class NotRun:
    """No target ran the request: no byte of it reached one, or the target refused it."""

    problem: Problem
    tag = "not-run"


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may have run."""

    problem: Problem
    tag = "unknown"


Outcome = Completed | NotRun | Unknown
