"""Reports of the processing times that targets told one router."""

import random
from collections.abc import Iterator

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.reported_speed import USUAL_PERCENT, Figure, ReportedSpeeds
from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.messages import SpeedReport, incarnation_id

__all__ = ["apply_speed_report", "report_speeds"]

MS = 1000.0
# Figures in a report, and in the reports of all routers together that are forwarded to each.
MAX_PER_REPORT = 16
MAX_PER_FLEET = 400
# Routers that report to each other directly repeat a figure for this long, in about three reports.
FULL_MESH_REPEAT_S = 0.1


def report_speeds(speeds: ReportedSpeeds, directory: Directory) -> Iterator[SpeedReport]:
    """Yield the newest figures that this router has heard itself."""
    now_s = speeds.clock()
    # Of more routers than figures, a part tells one each time.
    count = int(MAX_PER_FLEET / (len(directory.peers) + 1) + random.random())
    is_full_mesh = relays.is_full_mesh(directory)
    for key, figure in speeds.reported()[: min(MAX_PER_REPORT, count)]:
        if is_full_mesh and now_s - figure.heard_at > FULL_MESH_REPEAT_S:
            break
        percent = max(1, round(figure.slowness * USUAL_PERCENT))
        age_ms = round((now_s - figure.heard_at) * MS)
        yield SpeedReport(incarnation_id(*key), percent, age_ms)


def apply_speed_report(speeds: ReportedSpeeds, engine: Engine, report: SpeedReport) -> None:
    """Apply a figure that another router has heard; ignore one that cannot be."""
    if report.percent <= 0 or report.age_ms < 0:
        return
    heard_at = speeds.clock() - report.age_ms / MS
    speeds.record_report(engine, Figure(report.percent / USUAL_PERCENT, heard_at))
