"""Time between the events of streams, from which the time that a stream takes is estimated."""

__all__ = ["MIN_EVENTS", "StreamPace"]

# Assumed of a service of which no stream has been seen.
DEFAULT_SECONDS_PER_EVENT = 0.03
SMOOTHING = 0.1
MIN_EVENTS = 3


class StreamPace:
    """Smoothed seconds between two events, by service."""

    __slots__ = ("paces",)

    def __init__(self):
        self.paces: dict[str, float] = {}

    def seconds_per_event(self, service: str) -> float:
        """Return the expected time between two events."""
        return self.paces.get(service, DEFAULT_SECONDS_PER_EVENT)

    def record(self, service: str, events: int, duration_s: float) -> None:
        """Record that a stream brought some events in a time, the first not counted."""
        if events < MIN_EVENTS or duration_s <= 0.0:
            return
        known = self.paces.get(service)
        pace = duration_s / events
        self.paces[service] = pace if known is None else known + SMOOTHING * (pace - known)
