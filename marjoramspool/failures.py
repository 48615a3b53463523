"""How an attempt at a target fails, and what that says of whether it ran."""

__all__ = [
    "AttemptError",
    "BrokenAnswerError",
    "DisplacedError",
    "MayHaveRunError",
    "NotSentError",
    "ResetError",
    "SilentConnectionError",
    "TargetRefusedError",
]


class AttemptError(Exception):
    """Report that an attempt failed before any byte of an answer was passed on."""


class NotSentError(AttemptError):
    """Report that no byte of the request reached the target."""


class TargetRefusedError(AttemptError):
    """Report that the target's protocol says that it did not run the request."""


class DisplacedError(TargetRefusedError):
    """Report that a target's address belongs to another one now."""


class MayHaveRunError(AttemptError):
    """Report that the request may have run."""


class ResetError(MayHaveRunError):
    """Report that a connection broke before any byte of an answer came."""


class SilentConnectionError(MayHaveRunError):
    """Report that a connection went silent although its target answers new ones."""


class BrokenAnswerError(Exception):
    """Report that an answer broke off after a part of it was passed on."""
