"""Metrics by statsd."""

from statsd import StatsClient

__all__ = ["Metrics"]

PREFIX = "marjoramspool"


class Metrics:
    """Send counters and gauges over UDP; without an address, send nothing."""

    __slots__ = ("client", "counts")

    def __init__(self, address: str | None):
        self.counts: dict[str, int] = {}
        self.client: StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self.client = StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Count something."""
        self.counts[name] = self.counts.get(name, 0) + amount
        if self.client:
            self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Report a level."""
        if self.client:
            self.client.gauge(name, value)
