"""Reports of cold engines, as remaining times, since the clocks of hosts differ."""

import math
from collections.abc import Iterator

from marjoramspool.engine_state.cold_engines import ColdEngines
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.peers.messages import ColdReport, incarnation_id

__all__ = ["apply_cold_report", "report_cold"]

MS = 1000.0


def report_cold(cold: ColdEngines) -> Iterator[ColdReport]:
    """Yield what to tell in the next report."""
    now_s = cold.clock()
    for key, notice in cold.take_due_notices():
        remaining_ms = max(0, math.ceil((notice.until - now_s) * MS))
        age_ms = round((now_s - notice.said_before) * MS)
        yield ColdReport(incarnation_id(*key), remaining_ms, age_ms)


def apply_cold_report(cold: ColdEngines, engine: Engine, report: ColdReport) -> None:
    """Apply what another router heard from an engine."""
    cold.record_report(engine, report.remaining_ms / MS, report.age_ms / MS)
