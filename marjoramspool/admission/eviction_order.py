"""Order in which connections are given up when a process is short of connections or of memory.

Load pattern: crowds that open connections and send nothing, or send bodies and heads that stop
short of their end. Ordinary clients come after them, so that the newcomer is not the one to lose.
"""

import heapq
from collections.abc import Iterable

from marjoramspool.admission.connection_records import ConnectionRecord, Phase

__all__ = ["UNFINISHED", "choose_for_connections", "choose_for_memory"]

# Clients reuse connections that have been idle for up to this share of the idle timeout.
REUSED_IDLE_SHARE = 0.8
# Clients send their first byte sooner after connecting.
FIRST_BYTE_S = 1.0
# A head or a body without a byte for this long has stalled.
STALL_S = 1.0
# The rate of a head or a body is judged after this time.
MIN_RATE_AGE_S = 0.5
UNFINISHED = (Phase.HEAD, Phase.BODY)


def choose_for_connections(
    records: Iterable[ConnectionRecord], now: float, idle_timeout_s: float, count: int
) -> list[ConnectionRecord]:
    """Return up to `count` connections to close for others, the first to go first.

    None of them has a request that has run or may have, or an answer that is not sent yet.
    """
    ranked = (
        (rank, order, id(record), record)
        for record in records
        for rank, order in [rank_connection(record, now, idle_timeout_s)]
        if rank is not None
    )
    return [entry[-1] for entry in heapq.nsmallest(count, ranked)]


def rank_connection(
    record: ConnectionRecord, now: float, idle_timeout_s: float
) -> tuple[int | None, float]:
    """Return the rank of a connection, the lowest goes first, and its order within the rank."""
    if record.is_evicted:
        return None, 0.0
    age_s = now - record.since
    match record.phase:
        case Phase.REFUSED:
            return 0, record.since
        case Phase.OPENING:
            return (1 if age_s > FIRST_BYTE_S else 3), record.since
        case Phase.IDLE if record.unsent_bytes() == 0:
            return (1 if age_s > REUSED_IDLE_SHARE * idle_timeout_s else 4), record.since
        case Phase.HEAD | Phase.BODY if now - record.progressed_at > STALL_S:
            return 2, record.progressed_at
        case Phase.HEAD | Phase.BODY if age_s > MIN_RATE_AGE_S:
            return 5, record.received_bytes / age_s
    return None, 0.0


def choose_for_memory(
    records: Iterable[ConnectionRecord], now: float, size: int
) -> list[ConnectionRecord]:
    """Return connections whose memory comes to `size` bytes, the first to go first.

    Those that have stalled go first, the one that holds most ahead; then those that make the least
    progress. Return none if they hold less in all.
    """
    unfinished = (r for r in records if r.phase in UNFINISHED and not r.is_evicted)
    ranked = sorted(
        (entry for record in unfinished if (entry := rank_memory(record, now))),
        key=lambda entry: entry[:2],
    )
    chosen = []
    for _, _, record in ranked:
        if size <= 0:
            break
        chosen.append(record)
        size -= record.held_bytes
    return chosen if size <= 0 else []


def rank_memory(record: ConnectionRecord, now: float) -> tuple[int, float, ConnectionRecord] | None:
    """Return the rank and the order of a connection, None if it cannot be judged yet."""
    if now - record.progressed_at > STALL_S:
        return 0, -record.held_bytes, record
    age_s = now - record.since
    if age_s > MIN_RATE_AGE_S:
        return 1, record.received_bytes / age_s, record
    return None
