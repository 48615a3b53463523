"""Metrics page in the Prometheus text exposition format."""

from collections.abc import Iterator

from marjoramspool.metrics import PREFIX, Metrics

__all__ = ["render_metrics_page"]


class Collector:
    """Prometheus collector that exports the metrics."""

    def __init__(self, metrics: Metrics):
        self.metrics = metrics

    def collect(self) -> Iterator[object]:
        """Yield a metric family for each counter, gauge and histogram."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, count in sorted(self.metrics.counts.items()):
            yield CounterMetricFamily(prometheus_name(name), name, value=count)
        for name, read_value in sorted(self.metrics.gauges.items()):
            yield GaugeMetricFamily(prometheus_name(name), name, value=read_value())
        for name, histogram in sorted(self.metrics.histograms.items()):
            yield HistogramMetricFamily(
                prometheus_name(name),
                name,
                buckets=histogram.cumulative_counts(),
                sum_value=histogram.total_s,
            )


def render_metrics_page(metrics: Metrics) -> bytes:
    """Return the page; prometheus_client is imported on the first call, to save memory."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(metrics))
    return generate_latest(registry)


def prometheus_name(name: str) -> str:
    """Return the Prometheus name of a metric."""
    return f"{PREFIX}_{name.replace('.', '_').replace('-', '_')}"
