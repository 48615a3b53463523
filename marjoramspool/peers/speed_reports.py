"""Reports of the processing times that targets told one router."""

import random
from collections.abc import Callable, Iterable, Iterator

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.reported_speed import USUAL_PERCENT, Figure, ReportedSpeeds
from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.messages import SpeedReport, incarnation_id

__all__ = ["SpeedQueue", "apply_speed_report", "report_speeds"]

MS = 1000.0
# Figures in a report, in one message of a relay, and in the reports of all routers together.
MAX_PER_REPORT = 16
MAX_PER_RELAY_MESSAGE = 64
MAX_PER_FLEET = 400
# Routers that report to each other directly repeat a figure for this long, in about three reports.
FULL_MESH_REPEAT_S = 0.1
RELAYED_REPEAT_S = 0.25


def report_speeds(speeds: ReportedSpeeds, directory: Directory) -> Iterator[SpeedReport]:
    """Yield the newest figures that this router has heard itself."""
    now_s = speeds.clock()
    # Of more routers than figures, a part tells one each time.
    count = int(MAX_PER_FLEET / (len(directory.peers) + 1) + random.random())
    repeat_s = FULL_MESH_REPEAT_S if relays.is_full_mesh(directory) else RELAYED_REPEAT_S
    for key, figure in speeds.reported()[: min(MAX_PER_REPORT, count)]:
        if now_s - figure.heard_at > repeat_s:
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


class SpeedQueue:
    """Figures that a relay passes on with its next sums of loads, the newest of each target."""

    __slots__ = ("clock", "entries")

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        # Percent and the time at which it was heard, by incarnation.
        self.entries: dict[int, tuple[int, float]] = {}

    def add(self, reports: Iterable[SpeedReport]) -> None:
        """Queue figures that have just arrived."""
        now_s = self.clock()
        for report in reports:
            heard_at = now_s - report.age_ms / MS
            known = self.entries.get(report.incarnation_id)
            if known is None or heard_at > known[1]:
                self.entries[report.incarnation_id] = (report.percent, heard_at)

    def take(self) -> tuple[SpeedReport, ...]:
        """Return the newest queued figures and clear the queue."""
        now_s = self.clock()
        newest = sorted(self.entries.items(), key=lambda entry: -entry[1][1])
        self.entries.clear()
        return tuple(
            SpeedReport(incarnation, percent, round((now_s - heard_at) * MS))
            for incarnation, (percent, heard_at) in newest[:MAX_PER_RELAY_MESSAGE]
        )
