"""Errors of attempts at a target, classified by whether the request may have run."""

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
    """The attempt failed before any byte of an answer was passed on."""


class NotSentError(AttemptError):
    """No byte of the request reached the target."""


class TargetRefusedError(AttemptError):
    """The target stated by its protocol that it did not run the request."""


class DisplacedError(TargetRefusedError):
    """The address of the target was reassigned to another target."""


class MayHaveRunError(AttemptError):
    """The request may have run."""


class ResetError(MayHaveRunError):
    """The connection broke before any byte of an answer was received."""


class SilentConnectionError(MayHaveRunError):
    """The connection went silent although the target answers on new connections."""


class BrokenAnswerError(Exception):
    """The answer broke off after a part of it was passed on."""
