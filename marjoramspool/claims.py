"""At-most-once claims of idempotency keys, group-committed to shards on the platform."""

import asyncio
import random
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from marjoramspool import hashing, ledger
from marjoramspool.events import Event, log
from marjoramspool.ledger import (
    Entry,
    Operation,
    Release,
    Result,
    Segment,
    Shard,
    Take,
    Unsettled,
)
from marjoramspool.recent_claims import RecentClaims
from marjoramspool.storage import (
    Platform,
    PlatformError,
    WriteUncertainError,
    Written,
)
from marjoramspool.untrusted_json import decode_json

__all__ = ["Claims", "ShardWriter"]

HEAD_KIND = "claims"
SEGMENT_KIND = "claims-old"
MAX_BATCH_OPERATIONS = 500
COMMIT_PERIOD_S = 0.05
OUTCOME_BATCH_DELAY_S = 0.1
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
RELEASE_DELAY_S = 5.0
BACKGROUND_COMMIT_TIMEOUT_S = 900.0
BACKGROUND_RETRY_DELAY_S = 1.0
OUTAGE_THRESHOLD_S = 1.0
COMMIT_TIMEOUT_S = 3.0


@dataclass(slots=True)
class PendingOperation:
    """One operation that waits for its commit; `deadline` is a time of the event loop.

    A claim that was requested in an earlier epoch of the store is not granted in a later one.
    """

    operation: Operation
    deadline: float
    result: asyncio.Future
    epoch: int = 0

    def is_outdated(self, epoch: int) -> bool:
        """Return whether this is a claim that the store's restoration has overtaken."""
        return isinstance(self.operation, Take) and self.epoch not in (0, epoch)


class ShardWriter:
    """Writer that commits the operations of one shard in batches, from a single task.

    Several routers may write the same shard concurrently: a claim is made only by the
    conditional update of the shard's head.
    """

    __slots__ = (
        "claim_pending",
        "head",
        "name",
        "pending",
        "platform",
        "retention_s",
        "segments",
        "task",
    )

    def __init__(self, name: str, platform: Platform, retention_s: Callable[[], float]):
        self.name = name
        self.platform = platform
        self.retention_s = retention_s
        self.pending: list[PendingOperation] = []
        self.claim_pending = asyncio.Event()
        self.head: tuple[int, Shard] | None = None
        self.segments: dict[str, dict[str, Entry]] = {}
        self.task: asyncio.Task | None = None

    async def submit(self, operation: Operation, timeout_s: float) -> Result:
        """Commit one operation; return Unsettled if it is not confirmed within `timeout_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        epoch = self.platform.epoch
        pending = PendingOperation(operation, deadline, loop.create_future(), epoch)
        self.pending.append(pending)
        if isinstance(operation, Take):
            self.claim_pending.set()
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.commit_pending())
        await asyncio.wait([pending.result], timeout=timeout_s)
        if pending.result.done():
            return pending.result.result()
        return Unsettled(f"the platform did not confirm the write within {timeout_s:g} s")

    async def commit_pending(self) -> None:
        """Commit pending operations in batches until none is left."""
        while self.pending:
            await self.wait_for_batch()
            batch = self.pending[:MAX_BATCH_OPERATIONS]
            del self.pending[:MAX_BATCH_OPERATIONS]
            if any(isinstance(pending.operation, Take) for pending in self.pending):
                # Callers wait for the claims that did not fit.
                self.claim_pending.set()
            await self.commit_batch(batch)
            await asyncio.sleep(COMMIT_PERIOD_S)

    async def wait_for_batch(self) -> None:
        """Delay a batch that holds no claim, so that more operations share its write.

        A caller waits for each claim, but none waits for an outcome or a release.
        """
        if not self.claim_pending.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(OUTCOME_BATCH_DELAY_S):
                    await self.claim_pending.wait()
        self.claim_pending.clear()

    async def commit_batch(self, batch: list[PendingOperation]) -> None:
        """Write one batch, with retries until it is committed or all its operations have expired.

        Once the platform has been out for OUTAGE_THRESHOLD_S, a failed batch is not retried and
        its results are Unsettled.
        """
        backoff_s = MIN_BACKOFF_S
        while batch:
            try:
                is_fresh = self.head is None
                version, shard = self.head or await self.read_head()
                self.head = None
                segment_entries = await self.read_segments(shard)
                # Expiry is checked after the head is read: a release that is committed later
                # changes the head's version, so the write of an expired claim then fails.
                batch = without_expired(batch)
                if not batch or await self.write_batch(
                    version, shard, segment_entries, batch, is_fresh
                ):
                    return
            except PlatformError as error:
                self.head = None
                if self.platform.outage_s() > OUTAGE_THRESHOLD_S:
                    resolve_all(batch, Unsettled(str(error)))
                    return
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            batch = without_expired(batch)

    async def write_batch(
        self,
        version: int,
        shard: Shard,
        segment_entries: dict[str, Entry],
        batch: list[PendingOperation],
        is_fresh: bool,
    ) -> bool:
        """Apply a batch to a head and write it; return whether the results are final.

        A batch that changes nothing needs no write if the head was just read. A release is always
        written, because the new version makes a late write of the released claim fail.
        """
        now = time.time()
        entries_before = dict(shard.entries)
        results = [
            ledger.apply_operation(shard, segment_entries, pending.operation, now)
            for pending in batch
        ]
        has_release = any(isinstance(pending.operation, Release) for pending in batch)
        if has_release or shard.entries != entries_before:
            shard.commit = uuid.uuid4().hex
            await self.roll_segment(shard, now, len(batch))
            if not await self.write_head(shard, version):
                return False
        elif not is_fresh:
            return False
        for pending, result in zip(batch, results, strict=True):
            if pending.is_outdated(self.platform.epoch):
                result = Unsettled("the store was restored from an older copy meanwhile")
            resolve_all([pending], result)
        return True

    async def write_head(self, shard: Shard, version: int) -> bool:
        """Write the head if its stored version is still `version`; return whether it was written.

        If the reply is lost, the head is read back and its commit identifier compared.
        """
        text = msgspec.json.encode(shard).decode()
        try:
            written = await self.platform.write(HEAD_KIND, self.name, text, version)
        except WriteUncertainError:
            _, stored = await self.read_head()
            return stored.commit == shard.commit
        if isinstance(written, Written):
            self.head = (written.version, shard)
            return True
        return False

    async def read_head(self) -> tuple[int, Shard]:
        """Return the head of the shard and its version; a missing head is empty."""
        stored = await self.platform.read(HEAD_KIND, self.name)
        if stored.value is None:
            return stored.version, Shard()
        return stored.version, decode_json(stored.value, Shard)

    async def read_segments(self, shard: Shard) -> dict[str, Entry]:
        """Return the entries of all segments; segments are immutable, so each is read once."""
        segment_entries: dict[str, Entry] = {}
        for segment in shard.segments:
            if segment.name not in self.segments:
                self.segments[segment.name] = await self.read_segment(segment.name)
            segment_entries.update(self.segments[segment.name])
        for name in set(self.segments) - {segment.name for segment in shard.segments}:
            del self.segments[name]
        return segment_entries

    async def read_segment(self, name: str) -> dict[str, Entry]:
        """Return the entries of one segment; raise PlatformError if a stale read misses it."""
        stored = await self.platform.read(SEGMENT_KIND, name)
        if stored.value is None:
            # A head lists only segments that were written before it, so this read is stale.
            raise PlatformError(f"stale read: claim segment {name} not found")
        return decode_json(stored.value, dict[str, Entry])

    async def roll_segment(self, shard: Shard, now: float, batch_size: int) -> None:
        """Move the oldest removable entries of a long head to a segment; drop expired segments."""
        expired_before = now - self.retention_s()
        shard.segments = [s for s in shard.segments if s.newest >= expired_before]
        keys = ledger.select_keys_to_roll(shard, now, batch_size)
        if not keys:
            return
        moved = {key: shard.entries[key] for key in keys}
        name = f"{self.name}.{shard.rolled}.{shard.commit[:8]}"
        text = msgspec.json.encode(moved).decode()
        if not isinstance(await self.platform.write(SEGMENT_KIND, name, text, 0), Written):
            return
        for key in keys:
            del shard.entries[key]
        shard.segments.append(Segment(name, max(entry.at for entry in moved.values())))
        shard.rolled += 1


class Claims:
    """Claims of idempotency keys, committed through the preferred router of each shard.

    `preferred_router` returns None for a shard whose preferred router is the local one. `forward`
    sends an operation to another router and returns None if that router cannot answer.
    """

    __slots__ = (
        "background_tasks",
        "forward",
        "platform",
        "preferred_router",
        "recent",
        "retention_s",
        "shard_count",
        "writers",
    )

    def __init__(
        self,
        platform: Platform,
        shard_count: int,
        preferred_router: Callable[[str], str | None],
        forward: Callable[[str, Operation, float], Awaitable[Result | None]],
        retention_s: Callable[[], float],
    ):
        self.platform = platform
        self.shard_count = shard_count
        self.preferred_router = preferred_router
        self.forward = forward
        self.retention_s = retention_s
        self.writers: dict[str, ShardWriter] = {}
        self.background_tasks: set[asyncio.Task] = set()
        self.recent = RecentClaims()
        platform.store.on_restored.append(self.write_again)

    def write_again(self) -> None:
        """Write the recent claims of this router again, which the restored store may have lost."""
        for operation in self.recent.begin_restoration():
            self.start_background(self.commit_again(operation))

    async def commit_again(self, operation: Operation) -> None:
        """Commit an operation again, ahead of new claims; the local writer retries."""
        result = await self.writer(operation.key).submit(operation, BACKGROUND_COMMIT_TIMEOUT_S)
        if isinstance(result, Unsettled):
            log(Event.CLAIM_UNSETTLED, key=operation.key, attempt=operation.attempt)

    def writer(self, key: str) -> ShardWriter:
        """Return the local writer of the shard that stores a key."""
        name = self.shard_name(key)
        if name not in self.writers:
            self.writers[name] = ShardWriter(name, self.platform, self.retention_s)
        return self.writers[name]

    def shard_name(self, key: str) -> str:
        """Return the name of the shard that stores a key."""
        return f"shard-{ledger.shard_index(key, self.shard_count)}"

    async def commit_locally(self, operation: Operation, timeout_s: float) -> Result:
        """Commit an operation through the local shard writer.

        No key is claimed until all routers have had the time to write their recent claims again.
        """
        if isinstance(operation, Take) and self.recent.is_restoring():
            return Unsettled("the store was restored from an older copy; claims are written again")
        return await self.writer(operation.key).submit(operation, timeout_s)

    async def commit(self, operation: Operation, timeout_s: float = COMMIT_TIMEOUT_S) -> Result:
        """Commit an operation through the preferred router, or locally if that cannot answer.

        Half of the timeout is reserved for the local commit.
        """
        result = await self.commit_anywhere(operation, timeout_s)
        self.recent.record(operation, result)
        return result

    async def commit_anywhere(self, operation: Operation, timeout_s: float) -> Result:
        """Commit an operation as `commit` does, without keeping it in memory."""
        router = self.preferred_router(self.shard_name(operation.key))
        if router is not None:
            result = await self.forward(router, operation, timeout_s / 2)
            if result is not None:
                return result
            timeout_s /= 2
        return await self.commit_locally(operation, timeout_s)

    def release_in_background(self, key: str, attempt: str) -> None:
        """Release the claim of an attempt that never ran, after any late write of the claim."""
        self.commit_in_background(Release(key, attempt), RELEASE_DELAY_S)

    def commit_in_background(self, operation: Operation, delay_s: float = 0.0) -> None:
        """Commit an operation in a background task that retries through platform outages."""
        self.start_background(self.commit_with_retries(operation, delay_s))

    def start_background(self, work: Coroutine) -> None:
        """Start work in the background, which `wait_for_background_tasks` includes."""
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def commit_with_retries(self, operation: Operation, delay_s: float) -> None:
        """Commit an operation after a delay; retry for up to BACKGROUND_COMMIT_TIMEOUT_S."""
        deadline = time.monotonic() + BACKGROUND_COMMIT_TIMEOUT_S
        await asyncio.sleep(delay_s)
        while isinstance(await self.commit(operation), Unsettled):
            if time.monotonic() > deadline:
                log(Event.CLAIM_UNSETTLED, key=operation.key, attempt=operation.attempt)
                return
            await asyncio.sleep(BACKGROUND_RETRY_DELAY_S * random.uniform(0.5, 1.5))
        if isinstance(operation, Release):
            log(Event.CLAIM_RELEASED, key=operation.key, attempt=operation.attempt)

    async def wait_for_background_tasks(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for the background commits."""
        if self.background_tasks:
            await asyncio.wait(list(self.background_tasks), timeout=timeout_s)

    async def close(self) -> None:
        """Cancel the shard writers and the background commits."""
        tasks = [writer.task for writer in self.writers.values() if writer.task] + list(
            self.background_tasks
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def resolve_all(batch: list[PendingOperation], result: Result) -> None:
    """Set the result of each operation that has none yet."""
    for pending in batch:
        if not pending.result.done():
            pending.result.set_result(result)


def without_expired(batch: list[PendingOperation]) -> list[PendingOperation]:
    """Return the operations that have neither expired nor a result."""
    now = asyncio.get_running_loop().time()
    return [pending for pending in batch if pending.deadline > now and not pending.result.done()]


def select_preferred_router(shard: str, local_router: str, routers: set[str]) -> str | None:
    """Return the router that batches the writes of a shard, or None if it is the local one."""
    order = hashing.rank(hashing.digest(shard), routers | {local_router})
    return None if order[0] == local_router else order[0]
