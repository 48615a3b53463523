"""Counters, gauges and latency histograms, pushed to statsd or exposed to Prometheus."""

from bisect import bisect_left
from collections.abc import Callable

__all__ = ["Histogram", "Metrics"]

PREFIX = "marjoramspool"
BUCKET_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)


class Histogram:
    """Histogram of durations in seconds."""

    __slots__ = ("counts", "total_s")

    def __init__(self):
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self.total_s += duration_s

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Return the upper bound of each bucket and the number of durations up to it."""
        bounds = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
        cumulative, total = [], 0
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            cumulative.append((bound, total))
        return cumulative


class Metrics:
    """Registry of counters, gauges and histograms.

    If a statsd address is given, counts and gauges are also sent there.
    """

    __slots__ = ("statsd_client", "counts", "gauges", "histograms")

    def __init__(self, address: str | None):
        self.counts: dict[str, int] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.histograms: dict[str, Histogram] = {}
        self.statsd_client = None
        if address:
            # Imported lazily: hosts that serve the Prometheus page do not need statsd.
            from statsd import StatsClient

            host, _, port = address.rpartition(":")
            self.statsd_client = StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount
        if self.statsd_client:
            self.statsd_client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Send the value of a gauge to statsd."""
        if self.statsd_client:
            self.statsd_client.gauge(name, value)

    def observe(self, name: str, duration_s: float) -> None:
        """Add a duration to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(duration_s)
