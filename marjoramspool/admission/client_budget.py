"""Memory and connections of one process for all its clients together.

Fault: limits for each request do not bound what many clients hold together.
"""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.admission.connection_records import ConnectionRecord
from marjoramspool.admission.eviction_order import (
    UNFINISHED,
    choose_for_connections,
    choose_for_memory,
)
from marjoramspool.admission.token_bucket import TokenBucket
from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.metrics import Metrics

__all__ = ["BudgetLimits", "ClientBudget"]

# Up to this many bytes, what a connection holds may draw on the whole budget.
SMALL_REQUEST_BYTES = 64 << 10
# Share of the budget for what goes beyond it, so that large requests leave room for small ones.
LARGE_REQUEST_SHARE = 0.75
# Bytes a second of chunk framing that are parsed, and how many at once. Parsing a chunk takes the
# processor as long as parsing some kilobytes of a long one.
FRAMING_BYTES_PER_S = 1.5 * (1 << 20)
FRAMING_BURST_BYTES = 4 << 20
# Connections closed at a time, so that each new one of a crowd does not rank all others again.
EVICTION_BATCH = 8


@dataclass(slots=True, frozen=True)
class BudgetLimits:
    """Most that clients may hold: bytes of requests, bytes of answers, and connections."""

    request_bytes: int
    answer_bytes: int
    connections: int


class ClientBudget:
    """Budget of one process; what is charged is given back by `release` and `close`.

    `idle_timeout_s` returns for how long clients may leave a connection idle.
    """

    __slots__ = (
        "clock",
        "framing",
        "held_bytes",
        "idle_timeout_s",
        "large_bytes",
        "limits",
        "metrics",
        "records",
    )

    def __init__(
        self,
        limits: BudgetLimits,
        metrics: Metrics,
        idle_timeout_s: Callable[[], float],
        clock: Callable[[], float] = now,
    ):
        self.limits = limits
        self.metrics = metrics
        self.idle_timeout_s = idle_timeout_s
        self.clock = clock
        # Open connections by the group that shares a limit on their number.
        self.records: dict[str, set[ConnectionRecord]] = {}
        self.held_bytes = 0
        self.large_bytes = 0
        self.framing = TokenBucket(FRAMING_BYTES_PER_S, FRAMING_BURST_BYTES, clock)

    def open(
        self, group: str, cost_bytes: int, limit: int, reserved_bytes: int = 0
    ) -> ConnectionRecord | None:
        """Return the record of a new connection, None if there is no room for it.

        `limit` bounds the number of connections of the group; each may always hold
        `reserved_bytes`.
        """
        moment = self.clock()
        records = self.records.setdefault(group, set())
        if len(records) >= limit and not self.evict_connections(records, moment):
            self.count_refusal("connections")
            return None
        record = ConnectionRecord(group, moment, moment, reserved_bytes=reserved_bytes)
        records.add(record)
        if not self.charge(record, cost_bytes) and not self.make_room(record, cost_bytes):
            records.discard(record)
            self.count_refusal("connection_memory")
            return None
        return record

    def make_room(self, record: ConnectionRecord, size: int) -> bool:
        """Close a connection without a request for a new one; return whether that was possible."""
        others = self.records[record.group] - {record}
        if not self.evict_connections(others, self.clock()):
            return False
        self.add(record, size)
        return True

    def close(self, record: ConnectionRecord) -> None:
        """Give back all that a connection holds."""
        self.release(record, 0)
        self.records[record.group].discard(record)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return sum(map(len, self.records.values()))

    def charge(self, record: ConnectionRecord, size: int) -> bool:
        """Charge memory to a connection; return whether there is room, or others made room."""
        if record.held_bytes + size > record.reserved_bytes and (
            record.is_evicted or not self.can_take(record, size)
        ):
            return False
        self.add(record, size)
        return True

    def missing_bytes(self, record: ConnectionRecord, size: int) -> int:
        """Return how much others have to give back before a connection may hold more bytes."""
        missing = self.held_bytes + size - self.limits.request_bytes
        large = large_part(record.held_bytes, size)
        if large:
            large_limit = int(LARGE_REQUEST_SHARE * self.limits.request_bytes)
            missing = max(missing, self.large_bytes + large - large_limit)
        return max(0, missing)

    def can_take(self, record: ConnectionRecord, size: int) -> bool:
        """Return whether there is room for more bytes of a connection, after others made room."""
        return not self.missing_bytes(record, size) or self.reclaim(record, size)

    def add(self, record: ConnectionRecord, size: int) -> None:
        """Charge memory that is held already."""
        self.large_bytes += large_part(record.held_bytes, size)
        self.held_bytes += size
        record.held_bytes += size

    def release(self, record: ConnectionRecord, kept_bytes: int) -> None:
        """Give back what a connection holds, but for some bytes."""
        freed = record.held_bytes - kept_bytes
        if freed <= 0:
            return
        record.held_bytes = kept_bytes
        self.held_bytes -= freed
        self.large_bytes -= large_part(kept_bytes, freed)

    def reclaim(self, record: ConnectionRecord, size: int) -> bool:
        """Close connections that make the least progress; return whether that makes enough room.

        A connection that would be among them gets no room, and is not closed here.
        """
        moment = self.clock()
        everyone = (other for records in self.records.values() for other in records)
        chosen = choose_for_memory(everyone, moment, self.missing_bytes(record, size))
        if not chosen or record in chosen:
            return False
        for other in chosen:
            self.evict(other, "memory")
            self.release(other, 0)
        return not self.missing_bytes(record, size)

    def evict_connections(self, records: set[ConnectionRecord], moment: float) -> bool:
        """Close some connections of a group; return whether any could be closed."""
        chosen = choose_for_connections(records, moment, self.idle_timeout_s(), EVICTION_BATCH)
        for record in chosen:
            self.evict(record, "connections")
        return bool(chosen)

    def evict(self, record: ConnectionRecord, shortage: str) -> None:
        """Close one connection because of a shortage."""
        phase = record.phase
        age_s = round(self.clock() - record.since, 3)
        log(
            Event.CLIENT_EVICTED,
            shortage=shortage,
            phase=phase.value,
            age_s=age_s,
            held_bytes=record.held_bytes,
        )
        self.metrics.count(f"clients_evicted.{shortage}.{phase.value}")
        record.is_evicted = True
        if phase not in UNFINISHED:
            # It is closed without a refusal, and makes room for another at once.
            self.records[record.group].discard(record)
        record.evict()

    def count_refusal(self, shortage: str) -> None:
        """Count and log what was refused for want of room."""
        self.metrics.count(f"clients_refused.{shortage}")
        log(
            Event.CLIENT_REFUSED,
            shortage=shortage,
            held_bytes=self.held_bytes,
            connections=self.connection_count(),
        )


def large_part(held_bytes: int, added_bytes: int) -> int:
    """Return how many of some added bytes lie beyond those of a small request."""
    before = max(0, held_bytes - SMALL_REQUEST_BYTES)
    return max(0, held_bytes + added_bytes - SMALL_REQUEST_BYTES) - before
