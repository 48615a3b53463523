"""Operational limits that a deployment sets for its routers."""

from dataclasses import dataclass

__all__ = ["Bounds"]


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits of one deployment."""

    shutdown_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_reserve: float = 50.0
    retry_window_s: float = 10.0
    # Time within which an evacuation takes effect; None where operators evacuate nothing.
    evacuation_s: float | None = None
    # A cold engine may get this multiple of what it sustains in any second, and so many more.
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
