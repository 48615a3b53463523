"""Gossip of poison requests: messages of what ends engines."""

from marjoramspool.engine_state.poison_parts import PoisonDetector
from marjoramspool.peers.poison_reports import report_attempts
from marjoramspool.routers import peers_pb2 as pb

__all__ = ["encode_poison_report"]

MAX_ENDS_PER_MESSAGE = 16


def encode_poison_report(detector: PoisonDetector) -> pb.PoisonReport:
    """Return what this router knows of recent ends, answers and quarantines.

    Gossip passes on what others told, too, since a message reaches few routers.
    """
    return pb.PoisonReport(
        ended=[
            pb.EngineEnd(
                incarnation_id=incarnation,
                attempts=[
                    pb.UnansweredAttempt(age_ms=attempt.age_ms, parts=attempt.parts)
                    for attempt in report_attempts(end)
                ],
            )
            for incarnation, end in list(detector.recent_ends())[-MAX_ENDS_PER_MESSAGE:]
        ],
        answered=list(detector.reported_answers()),
        quarantined=[
            pb.Quarantine(part=q.part, probes=q.probes) for q in detector.quarantined.values()
        ],
    )
