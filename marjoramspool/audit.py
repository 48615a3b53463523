"""Audit trail of the fleet's automatic decisions, stored on the platform."""

import asyncio
import time

import msgspec

from marjoramspool.engine_state.engine_list import MAX_COPY_AGE_S
from marjoramspool.storage import Platform, PlatformError, Written
from marjoramspool.untrusted_json import decode_json

__all__ = ["KIND", "AuditLog", "Record", "Trail"]

KIND = "audit"
MAX_RECORDS = 200
FLUSH_PERIOD_S = 30.0


class Record(msgspec.Struct, frozen=True):
    """One decision; `when` is a Unix time in seconds."""

    when: float
    router: str
    what: str
    details: dict[str, str | int | float]


class Trail(msgspec.Struct):
    """Stored records of one router, oldest first."""

    records: list[Record] = []


class AuditLog:
    """Buffer of decisions, written in batches to bound the stored size and the write rate.

    Recent batches are written again if the store is restored from a copy that may lack them.
    """

    __slots__ = ("pending", "platform", "recent", "router")

    def __init__(self, router: str, platform: Platform):
        self.router = router
        self.platform = platform
        self.pending: list[Record] = []
        self.recent: list[Record] = []
        platform.store.on_restored.append(self.handle_restored)

    def handle_restored(self) -> None:
        """Queue the records again that the store may have lost."""
        oldest = time.time() - MAX_COPY_AGE_S - FLUSH_PERIOD_S
        self.pending = [r for r in self.recent if r.when >= oldest] + self.pending

    def record(self, what: str, **details) -> None:
        """Add a decision to the next batch; drop the oldest if too many are pending."""
        self.pending.append(Record(time.time(), self.router, what, details))
        del self.pending[:-MAX_RECORDS]

    async def flush_periodically(self) -> None:
        """Write the pending records every FLUSH_PERIOD_S."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            await self.flush()

    async def flush(self) -> None:
        """Write the pending records; keep them for the next flush if the write fails."""
        if not self.pending:
            return
        batch = list(self.pending)
        try:
            stored = await self.platform.read(KIND, self.router)
            trail = decode_json(stored.value, Trail) if stored.value else Trail([])
            missing = [record for record in batch if record not in trail.records]
            trail.records = (trail.records + missing)[-MAX_RECORDS:]
            text = msgspec.json.encode(trail).decode()
            written = await self.platform.write(KIND, self.router, text, stored.version)
        except PlatformError:
            return
        if isinstance(written, Written):
            del self.pending[: len(batch)]
            self.recent = (self.recent + batch)[-MAX_RECORDS:]
