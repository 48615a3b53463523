"""When a connection is closed although nothing is short."""

import enum

from marjoramspool.admission.connection_records import ConnectionRecord, Phase

__all__ = ["Expiry", "connection_expiry", "record_unsent"]

# An idle connection is closed later than clients reuse it.
IDLE_CLOSE_SHARE = 1.25


class Expiry(enum.Enum):
    """Why a connection has expired."""

    IDLE = "idle"
    # The client has read nothing of its answer for the idle timeout.
    UNREAD = "unread"
    # The client reads on, long after it has stopped to wait for the answer.
    LATE = "late"


def record_unsent(record: ConnectionRecord, unsent_bytes: int, now: float) -> None:
    """Record how much of the answers waits to be sent."""
    if unsent_bytes != record.last_unsent_bytes or not unsent_bytes:
        record.last_unsent_bytes = unsent_bytes
        record.unsent_since = now


def connection_expiry(record: ConnectionRecord, now: float, idle_timeout_s: float) -> Expiry | None:
    """Return why a connection has expired, None if it has not."""
    if record.last_unsent_bytes:
        if now - record.unsent_since > idle_timeout_s:
            return Expiry.UNREAD
        if record.answer_deadline is not None and now > record.answer_deadline + idle_timeout_s:
            return Expiry.LATE
        return None
    is_idle = record.phase in (Phase.OPENING, Phase.IDLE)
    if is_idle and now - record.since > IDLE_CLOSE_SHARE * idle_timeout_s:
        return Expiry.IDLE
    return None
