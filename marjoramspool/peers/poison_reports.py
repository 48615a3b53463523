"""Reports of poison requests: what routers tell each other of engines that end."""

from collections.abc import Iterator

from marjoramspool.engine_state.poison_parts import EngineEnd, PoisonDetector, UnansweredAttempt
from marjoramspool.peers.messages import (
    EngineEndReport,
    QuarantineReport,
    RouterReport,
    UnansweredReport,
)

__all__ = ["apply_poison_reports", "report_attempts", "report_ends", "report_quarantines"]

MS = 1000.0
MAX_ATTEMPTS_PER_END = 8
MAX_ENDS_PER_REPORT = 6
MAX_PARTS_PER_ATTEMPT = 32


def report_ends(detector: PoisonDetector) -> tuple[EngineEndReport, ...]:
    """Return the ends that this router observed recently."""
    return tuple(
        EngineEndReport(incarnation, tuple(report_attempts(end)))
        for incarnation, end in list(detector.reported_ends())[-MAX_ENDS_PER_REPORT:]
    )


def report_attempts(end: EngineEnd) -> Iterator[UnansweredReport]:
    """Yield the unanswered attempts at an end, those sent last first."""
    for attempt in end.latest_first()[:MAX_ATTEMPTS_PER_END]:
        yield UnansweredReport(
            round((end.ended_at - attempt.sent_at) * MS), attempt.parts[-MAX_PARTS_PER_ATTEMPT:]
        )


def report_quarantines(detector: PoisonDetector) -> tuple[QuarantineReport, ...]:
    """Return the quarantined parts."""
    return tuple(QuarantineReport(q.part, q.probes) for q in detector.quarantined.values())


def apply_poison_reports(detector: PoisonDetector, report: RouterReport) -> None:
    """Apply what a router reports of engines that end and of parts that were answered.

    The message of the product's own interface has the same fields.
    """
    for end in report.ended:
        known = detector.ends.get(end.incarnation_id)
        ended_at = known.ended_at if known else detector.clock()
        attempts = [
            UnansweredAttempt(ended_at - a.age_ms / MS, tuple(a.parts)) for a in end.attempts
        ]
        detector.add_attempts(end.incarnation_id, ended_at, attempts)
    for part in report.answered:
        detector.record_reported_answer(part)
    for quarantine in report.quarantined:
        detector.adopt(quarantine.part, quarantine.probes)
