"""The audit trail of what the fleet decided by itself, kept in the platform's service."""

import asyncio
import time

import msgspec

from marjoramspool.storage import Platform, PlatformError, Written

__all__ = ["KIND", "AuditLog", "Record", "Trail"]

KIND = "audit"
MAX_RECORDS = 200
FLUSH_PERIOD_S = 30.0


class Record(msgspec.Struct, frozen=True):
    """Record one decision, at a Unix time in seconds."""

    when: float
    router: str
    what: str
    details: dict[str, str | int | float]


class Trail(msgspec.Struct):
    """Hold the stored records of one router."""

    records: list[Record] = []


class AuditLog:
    """Collect decisions and write them in batches, bounded in size and in writes."""

    __slots__ = ("pending", "platform", "router")

    def __init__(self, router: str, platform: Platform):
        self.router = router
        self.platform = platform
        self.pending: list[Record] = []

    def record(self, what: str, **details) -> None:
        """Record a decision."""
        self.pending.append(Record(time.time(), self.router, what, details))
        del self.pending[:-MAX_RECORDS]

    async def flush_periodically(self) -> None:
        """Write what is pending from time to time, for ever."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            await self.flush()

    async def flush(self) -> None:
        """Write what is pending; keep it for later if the platform is out."""
        if not self.pending:
            return
        batch = list(self.pending)
        try:
            stored = await self.platform.read(KIND, self.router)
            trail = msgspec.json.decode(stored.value, type=Trail) if stored.value else Trail([])
            trail.records = (trail.records + batch)[-MAX_RECORDS:]
            text = msgspec.json.encode(trail).decode()
            written = await self.platform.write(KIND, self.router, text, stored.version)
        except PlatformError:
            return
        if isinstance(written, Written):
            del self.pending[: len(batch)]
