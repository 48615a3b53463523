"""Data model of idempotency-key claims: stored shards, operations and their results."""

import msgspec

from marjoramspool import hashing

__all__ = [
    "Claimed",
    "Entry",
    "Finish",
    "Granted",
    "Mismatch",
    "Operation",
    "Release",
    "Repeated",
    "Result",
    "Segment",
    "Shard",
    "Take",
    "Unsettled",
    "apply_operation",
    "claim_key",
    "shard_index",
]

MAX_STORED_ANSWER_BYTES = 2048
STALE_CLAIM_S = 3600.0
MAX_HEAD_LIMIT_ENTRIES = 400
MIN_HEAD_LIMIT_ENTRIES = 48
HEAD_LIMIT_BATCHES = 8


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Claim of one key and the outcome of its attempt.

    `status` is 0 until an outcome is recorded; `at` is the Unix time of the claim in seconds.
    """

    attempt: str
    body: str
    at: float
    status: int = 0
    answer: str = ""
    content_type: str = ""
    is_kept: bool = True


class Segment(msgspec.Struct, frozen=True):
    """Reference to an immutable object that stores older entries.

    `newest` is the Unix time of its newest claim in seconds.
    """

    name: str
    newest: float


class Shard(msgspec.Struct, omit_defaults=True):
    """Head object of one shard.

    `commit` identifies the write that stored it; `rolled` counts the segments rolled so far.
    """

    commit: str = ""
    entries: dict[str, Entry] = {}
    segments: list[Segment] = []
    rolled: int = 0


class Take(msgspec.Struct, frozen=True):
    """Operation that claims a key for one attempt; `body` is a digest of its request."""

    key: str
    body: str
    attempt: str


class Finish(msgspec.Struct, frozen=True):
    """Operation that records the outcome of the attempt that holds a key.

    `is_kept` is false if the answer itself is not stored.
    """

    key: str
    attempt: str
    status: int
    answer: str
    content_type: str
    is_kept: bool = True


class Release(msgspec.Struct, frozen=True):
    """Operation that removes the claim of an attempt that has not run and never will."""

    key: str
    attempt: str


Operation = Take | Finish | Release


class Granted(msgspec.Struct, frozen=True):
    """Result: the attempt holds the key and may run once."""


class Repeated(msgspec.Struct, frozen=True):
    """Result: the recorded outcome of an earlier attempt, without the answer if it was long."""

    status: int
    answer: str
    content_type: str
    is_kept: bool


class Claimed(msgspec.Struct, frozen=True):
    """Result: another attempt holds the key and has no recorded outcome."""

    attempt: str


class Mismatch(msgspec.Struct, frozen=True):
    """Result: the key was used before with a different request."""


class Unsettled(msgspec.Struct, frozen=True):
    """Result: it is unknown whether the operation was written."""

    why: str


Result = Granted | Repeated | Claimed | Mismatch | Unsettled


def claim_key(service: str, account: str, key: str) -> str:
    """Return the stored key: a digest over service, account and key, so accounts are separate."""
    return hashing.long_digest(f"{service}\0{account}\0{key}")


def shard_index(key: str, shard_count: int) -> int:
    """Return the index of the shard that stores a key."""
    return int(key[:8], 16) % shard_count


def apply_operation(
    shard: Shard, segment_entries: dict[str, Entry], operation: Operation, now: float
) -> Result:
    """Apply an operation to a shard and return its result; the operation is idempotent."""
    existing = shard.entries.get(operation.key) or segment_entries.get(operation.key)
    match operation:
        case Take(key, body, attempt):
            if existing is None:
                shard.entries[key] = Entry(attempt, body, now)
                return Granted()
            return conflict_result(existing, operation)
        case Finish(key, attempt, status, answer, content_type, is_kept):
            if existing and existing.attempt == attempt:
                shard.entries[key] = Entry(
                    attempt, existing.body, existing.at, status, answer, content_type, is_kept
                )
            return Granted()
        case Release(key, attempt):
            if existing and existing.attempt == attempt and not existing.status:
                shard.entries.pop(key, None)
            return Granted()


def conflict_result(existing: Entry, take: Take) -> Result:
    """Return the result of a claim whose key already has an entry."""
    if existing.attempt == take.attempt:
        return Granted()
    if existing.body != take.body:
        return Mismatch()
    if existing.status:
        return Repeated(existing.status, existing.answer, existing.content_type, existing.is_kept)
    return Claimed(existing.attempt)


def select_keys_to_roll(shard: Shard, now: float, batch_size: int) -> list[str]:
    """Return the oldest removable keys of a head that exceeds its limit.

    An entry is removable once it has an outcome or its claim is older than STALE_CLAIM_S. Every
    commit writes the whole head, so the limit is lower for a shard with small batches.
    """
    limit = min(
        MAX_HEAD_LIMIT_ENTRIES, max(MIN_HEAD_LIMIT_ENTRIES, HEAD_LIMIT_BATCHES * batch_size)
    )
    if len(shard.entries) <= limit:
        return []
    removable = [
        key
        for key, entry in shard.entries.items()
        if entry.status or now - entry.at > STALE_CLAIM_S
    ]
    removable.sort(key=lambda key: shard.entries[key].at)
    return removable[: limit // 2]
