"""Errors of attempts at a target, classified by whether the request may have run."""

from marjoramspool.outcomes import Problem

__all__ = [
    "AttemptError",
    "BrokenAnswerError",
    "DisplacedError",
    "MayHaveRunError",
    "NoPathError",
    "NotSentError",
    "PeerFailedError",
    "PeerRefusedError",
    "ResetError",
    "RunMovedError",
    "SilentConnectionError",
    "TargetRefusedError",
]


# Longest detail of a failure in a log line.
MAX_DETAIL_LENGTH = 300


class AttemptError(Exception):
    """The attempt failed before any byte of an answer was passed on; a client may read its text."""

    @property
    def detail(self) -> str:
        """Return what the cause says of itself, for the log alone, since it may quote a peer."""
        return repr(self.__cause__)[:MAX_DETAIL_LENGTH] if self.__cause__ else ""


class NotSentError(AttemptError):
    """No byte of the request reached the target."""


class TargetRefusedError(AttemptError):
    """The target stated by its protocol that it did not run the request."""


class DisplacedError(TargetRefusedError):
    """The address of the target was reassigned to another target."""


class NoPathError(TargetRefusedError):
    """Another router has tried nothing, since it has no path to engines or no room either."""


class PeerRefusedError(TargetRefusedError):
    """Another router has refused the request; `problem` says why, and when to come back."""

    def __init__(self, problem: Problem):
        super().__init__(problem.title)
        self.problem = problem


class MayHaveRunError(AttemptError):
    """The request may have run."""


class PeerFailedError(MayHaveRunError):
    """Another router got no answer to the request; `problem` says why."""

    def __init__(self, problem: Problem):
        super().__init__(problem.title)
        self.problem = problem


class ResetError(MayHaveRunError):
    """The connection broke before any byte of an answer was received."""


class SilentConnectionError(MayHaveRunError):
    """The connection went silent although the target answers on new connections."""


class RunMovedError(AttemptError):
    """The target has stopped the run in order to move it; `handle` names its memory.

    It was copied to the destination if `is_copied`, else the source has kept it.
    """

    def __init__(self, handle: str, is_copied: bool):
        super().__init__("the target stopped the run to move it")
        self.handle = handle
        self.is_copied = is_copied


class BrokenAnswerError(Exception):
    """The answer broke off after a part of it was passed on."""
