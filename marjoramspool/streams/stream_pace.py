"""Pace of streams, from which the time that a stream takes is estimated."""

__all__ = ["MIN_EVENTS", "StreamPace"]

# Assumed of a service of which no stream has been seen.
DEFAULT_SECONDS_PER_EVENT = 0.03
DEFAULT_EVENTS_PER_TOKEN = 1.0
SMOOTHING = 0.1
MIN_EVENTS = 3


class StreamPace:
    """Smoothed seconds between two events, and events for each output token, by service.

    One event may hold several tokens, and a stream may end before the longest output that its
    request allows.
    """

    __slots__ = ("events_per_token", "seconds_per_event")

    def __init__(self):
        self.seconds_per_event: dict[str, float] = {}
        self.events_per_token: dict[str, float] = {}

    def event_period_s(self, service: str) -> float:
        """Return the expected time between two events."""
        return self.seconds_per_event.get(service, DEFAULT_SECONDS_PER_EVENT)

    def expected_events(self, service: str, output_tokens: int) -> float:
        """Return the expected number of events of a stream that may bring some tokens."""
        per_token = self.events_per_token.get(service, DEFAULT_EVENTS_PER_TOKEN)
        return max(0, output_tokens) * per_token

    def record(self, service: str, output_tokens: int, events: int, duration_s: float) -> None:
        """Record that a whole stream, which might bring some tokens, had events over a time."""
        if events < MIN_EVENTS or duration_s <= 0.0 or output_tokens <= 0:
            return
        smooth(self.seconds_per_event, service, duration_s / (events - 1))
        smooth(self.events_per_token, service, events / output_tokens)


def smooth(averages: dict[str, float], service: str, sample: float) -> None:
    """Update the moving average of a service with a sample."""
    known = averages.get(service)
    averages[service] = sample if known is None else known + SMOOTHING * (sample - known)
