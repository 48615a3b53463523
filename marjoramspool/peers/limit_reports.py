"""Reports of the rate limits that engines name."""

from collections.abc import Iterator

from marjoramspool.engine_state.request_limits import MILLI, EngineKey, LimitNotice, RequestLimits
from marjoramspool.peers.messages import LimitReport, incarnation_id

__all__ = ["apply_limit_report", "report_limits"]

MS = 1000.0


def report_limits(limits: RequestLimits) -> Iterator[LimitReport]:
    """Yield the limits that this router knows of, and those that ended recently."""
    now_s = limits.clock()
    for key, notice in limits.recent_notices().items():
        per_s = notice.requests_per_s
        yield LimitReport(
            incarnation_id(*key),
            None if per_s is None else round(per_s * MILLI),
            round((now_s - notice.observed_at) * MS),
        )


def apply_limit_report(limits: RequestLimits, key: EngineKey, report: LimitReport) -> None:
    """Apply what another router reports of an engine's limit."""
    per_s = None if report.milli_per_s is None else report.milli_per_s / MILLI
    observed_at = limits.clock() - report.age_ms / MS
    limits.record_report(key, LimitNotice(per_s, observed_at))
