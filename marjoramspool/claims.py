"""At most once: group commit of claims to shards in the object API."""

import asyncio
import random
import time
import uuid
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from marjoramspool import hashing, ledger
from marjoramspool.events import Event, log
from marjoramspool.ledger import Entry, Operation, Release, Result, Segment, Shard, Take, Unsettled
from marjoramspool.storage import (
    Platform,
    PlatformError,
    WriteUncertainError,
    Written,
)

__all__ = ["Claims", "ShardWriter"]

HEADS = "claims"
SEGMENTS = "claims-old"
BATCH_OPERATIONS = 500
COMMIT_PERIOD_S = 0.05
RECORD_DELAY_S = 0.1
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
RELEASE_DELAY_S = 5.0
SETTLE_FOR_S = 900.0
SETTLE_PAUSE_S = 1.0
OUTAGE_KNOWN_S = 1.0
LEDGER_WAIT_S = 3.0


@dataclass(slots=True)
class Pending:
    """Hold one operation until its commit."""

    operation: Operation
    expires: float
    result: asyncio.Future


class ShardWriter:
    """Commit the operations of one shard in batches; one task writes them.

    Only the conditional update makes a claim; several routers may write one shard at once.
    """

    __slots__ = ("head", "name", "pending", "platform", "retention_s", "segments", "task", "urgent")

    def __init__(self, name: str, platform: Platform, retention_s: Callable[[], float]):
        self.name = name
        self.platform = platform
        self.retention_s = retention_s
        self.pending: list[Pending] = []
        self.urgent = asyncio.Event()
        self.head: tuple[int, Shard] | None = None
        self.segments: dict[str, dict[str, Entry]] = {}
        self.task: asyncio.Task | None = None

    async def submit(self, operation: Operation, wait_s: float) -> Result:
        """Commit one operation; the result is Unsettled if that took longer than `wait_s`."""
        loop = asyncio.get_running_loop()
        entry = Pending(operation, loop.time() + wait_s, loop.create_future())
        self.pending.append(entry)
        if isinstance(operation, Take):
            self.urgent.set()
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.drain())
        await asyncio.wait([entry.result], timeout=wait_s)
        if entry.result.done():
            return entry.result.result()
        return Unsettled("the platform did not confirm the write in time")

    async def drain(self) -> None:
        """Commit batches until nothing is pending."""
        while self.pending:
            await self.gather_more()
            batch = self.pending[:BATCH_OPERATIONS]
            del self.pending[:BATCH_OPERATIONS]
            await self.commit(batch)
            await asyncio.sleep(COMMIT_PERIOD_S)

    async def gather_more(self) -> None:
        """Let records of outcomes wait for company; nobody waits for them, as for claims."""
        if not self.urgent.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(RECORD_DELAY_S):
                    await self.urgent.wait()
        self.urgent.clear()

    async def commit(self, batch: list[Pending]) -> None:
        """Write one batch, again and again until it is settled or has expired."""
        pause_s = FIRST_PAUSE_S
        while batch:
            try:
                is_fresh = self.head is None
                version, shard = self.head or await self.read_head()
                self.head = None
                older = await self.read_segments(shard)
                # Checked after the read: a later release makes this version's write fail.
                batch = unexpired(batch)
                if not batch or await self.write_batch(version, shard, older, batch, is_fresh):
                    return
            except PlatformError as error:
                self.head = None
                if self.platform.out_s() > OUTAGE_KNOWN_S:
                    settle_all(batch, Unsettled(str(error)))
                    return
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
            batch = unexpired(batch)

    async def write_batch(
        self,
        version: int,
        shard: Shard,
        older: dict[str, Entry],
        batch: list[Pending],
        is_fresh: bool,
    ) -> bool:
        """Apply a batch to a head and write it; return whether the results are settled.

        A batch that changes nothing is settled by a head that was just read, without a write.
        """
        now = time.time()
        before = dict(shard.entries)
        results = [ledger.apply(shard, older, entry.operation, now) for entry in batch]
        releases = any(isinstance(entry.operation, Release) for entry in batch)
        if releases or shard.entries != before:
            shard.commit = uuid.uuid4().hex
            await self.roll(shard, now, len(batch))
            if not await self.write_head(shard, version):
                return False
        elif not is_fresh:
            return False
        for entry, result in zip(batch, results, strict=True):
            settle_all([entry], result)
        return True

    async def write_head(self, shard: Shard, version: int) -> bool:
        """Write the head if it still has a version; settle a lost reply by reading it back."""
        text = msgspec.json.encode(shard).decode()
        try:
            written = await self.platform.write(HEADS, self.name, text, version)
        except WriteUncertainError:
            _, stored = await self.read_head()
            return stored.commit == shard.commit
        if isinstance(written, Written):
            self.head = (written.version, shard)
            return True
        return False

    async def read_head(self) -> tuple[int, Shard]:
        """Read the head of the shard."""
        stored = await self.platform.read(HEADS, self.name)
        if stored.value is None:
            return stored.version, Shard()
        return stored.version, msgspec.json.decode(stored.value, type=Shard)

    async def read_segments(self, shard: Shard) -> dict[str, Entry]:
        """Return the entries of the older segments; a segment never changes once read."""
        older: dict[str, Entry] = {}
        for segment in shard.segments:
            if segment.name not in self.segments:
                self.segments[segment.name] = await self.read_segment(segment.name)
            older.update(self.segments[segment.name])
        for name in set(self.segments) - {segment.name for segment in shard.segments}:
            del self.segments[name]
        return older

    async def read_segment(self, name: str) -> dict[str, Entry]:
        """Read one segment; raise PlatformError if the store does not show it yet."""
        stored = await self.platform.read(SEGMENTS, name)
        if stored.value is None:
            # A head names only segments that were written, so this read is stale.
            raise PlatformError(f"segment {name} is hidden by a stale read; read it again")
        return msgspec.json.decode(stored.value, type=dict[str, Entry])

    async def roll(self, shard: Shard, now: float, batch: int) -> None:
        """Move the oldest settled entries of a long head to a segment; drop expired ones."""
        oldest = now - self.retention_s()
        shard.segments = [s for s in shard.segments if s.newest >= oldest]
        keys = ledger.removable(shard, now, batch)
        if not keys:
            return
        moved = {key: shard.entries[key] for key in keys}
        name = f"{self.name}.{shard.rolled}.{shard.commit[:8]}"
        text = msgspec.json.encode(moved).decode()
        if not isinstance(await self.platform.write(SEGMENTS, name, text, 0), Written):
            return
        for key in keys:
            del shard.entries[key]
        shard.segments.append(Segment(name, max(entry.at for entry in moved.values())))
        shard.rolled += 1


class Claims:
    """Claim keys, through the shard's preferred router where that is another one.

    `forward` sends an operation to the preferred router and returns None if it cannot answer.
    """

    __slots__ = ("forward", "platform", "preferred", "retention_s", "settling", "shards", "writers")

    def __init__(
        self,
        platform: Platform,
        shards: int,
        preferred: Callable[[str], str | None],
        forward: Callable[[str, Operation, float], Awaitable[Result | None]],
        retention_s: Callable[[], float],
    ):
        self.platform = platform
        self.shards = shards
        self.preferred = preferred
        self.forward = forward
        self.retention_s = retention_s
        self.writers: dict[str, ShardWriter] = {}
        self.settling: set[asyncio.Task] = set()

    def shard(self, key: str) -> str:
        """Return the name of a key's shard."""
        return f"shard-{ledger.shard_of(key, self.shards)}"

    async def commit_here(self, operation: Operation, wait_s: float) -> Result:
        """Commit an operation from this router."""
        name = self.shard(operation.key)
        if name not in self.writers:
            self.writers[name] = ShardWriter(name, self.platform, self.retention_s)
        return await self.writers[name].submit(operation, wait_s)

    async def commit(self, operation: Operation, wait_s: float = LEDGER_WAIT_S) -> Result:
        """Commit an operation through the preferred router, else from here."""
        router = self.preferred(self.shard(operation.key))
        if router is not None:
            result = await self.forward(router, operation, wait_s / 2)
            if result is not None:
                return result
            wait_s /= 2
        return await self.commit_here(operation, wait_s)

    def release_later(self, key: str, attempt: str) -> None:
        """Release the claim of an attempt that never ran, once it can no longer be written."""
        self.settle_later(Release(key, attempt), RELEASE_DELAY_S)

    def settle_later(self, operation: Operation, delay_s: float = 0.0) -> None:
        """Commit an operation in the background, for as long as an outage may last."""
        task = asyncio.create_task(self.settle(operation, delay_s))
        self.settling.add(task)
        task.add_done_callback(self.settling.discard)

    async def settle(self, operation: Operation, delay_s: float) -> None:
        """Commit an operation, trying again while the platform is out."""
        give_up = time.monotonic() + SETTLE_FOR_S
        await asyncio.sleep(delay_s)
        while isinstance(await self.commit(operation), Unsettled):
            if time.monotonic() > give_up:
                log(Event.CLAIM_UNSETTLED, key=operation.key, attempt=operation.attempt)
                return
            await asyncio.sleep(SETTLE_PAUSE_S * random.uniform(0.5, 1.5))
        if isinstance(operation, Release):
            log(Event.CLAIM_RELEASED, key=operation.key, attempt=operation.attempt)

    async def finish(self, wait_s: float) -> None:
        """Wait a bounded time for the operations in the background."""
        if self.settling:
            await asyncio.wait(list(self.settling), timeout=wait_s)

    async def close(self) -> None:
        """Stop all background work."""
        tasks = [w.task for w in self.writers.values() if w.task] + list(self.settling)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def settle_all(batch: list[Pending], result: Result) -> None:
    """Give operations their result."""
    for entry in batch:
        if not entry.result.done():
            entry.result.set_result(result)


def unexpired(batch: list[Pending]) -> list[Pending]:
    """Return the operations that may still be written."""
    now = asyncio.get_running_loop().time()
    return [entry for entry in batch if entry.expires > now and not entry.result.done()]


def preferred_router(shard: str, me: str, routers: set[str]) -> str | None:
    """Return the router that batches a shard, None if it is this one."""
    order = hashing.rank(hashing.digest(shard), routers | {me})
    return None if order[0] == me else order[0]
