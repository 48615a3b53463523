"""Messages between routers."""

import enum
from functools import lru_cache

import msgspec

from marjoramspool import hashing

__all__ = [
    "ReportBatch",
    "CacheUpdateKind",
    "CachesState",
    "EnginesState",
    "CacheUpdate",
    "TableState",
    "RouterReport",
    "EngineEntry",
    "EngineLoadReport",
    "decode_datagram",
    "encode",
    "incarnation_id",
]


@lru_cache(maxsize=4096)
def incarnation_id(engine: str, started_ms: int) -> int:
    """Return a short number for one incarnation of an engine."""
    return hashing.digest(f"{engine}/{started_ms}") & 0xFFFFFFFF


class EngineLoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Tell what a router has under way at one engine, named by its number."""

    incarnation_id: int
    requests: int
    prefill_tokens: int


class CacheUpdateKind(enum.IntEnum):
    """Say how an engine came to hold parts of prompts, or that it does not."""

    PREFILLED = 0
    # The engine itself said what it holds.
    LISTED = 1
    # What was told before did not come to pass.
    RETRACTED = 2


class CacheUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Tell that an engine reads a chain of parts, holds parts, or does not after all.

    The engine is named by its number; each part is an id and its tokens.
    """

    incarnation_id: int
    parts: tuple[tuple[int, int], ...]
    kind: CacheUpdateKind = CacheUpdateKind.PREFILLED


class RouterReport(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Tell the other routers who sends this, what it knows and what it has under way.

    `number` rises with each message of one start of the router; `start` tells the starts apart.
    """

    address: str
    domain: str
    boot_id: int
    sequence_number: int
    link_mbps: int
    table_revision: int
    engines_revision: int
    engines_digest: int
    has_store: bool
    loads: tuple[EngineLoadReport, ...] = ()
    cache_updates: tuple[CacheUpdate, ...] = ()
    unreachable: tuple[int, ...] = ()


class ReportBatch(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Pass on what several routers of one failure domain told."""

    reports: tuple[RouterReport, ...]


class EngineEntry(msgspec.Struct, array_like=True, frozen=True):
    """Tell of one registered engine."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    started_ms: int


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """Hand over the routes, compressed."""

    revision: int
    table: bytes


class EnginesState(msgspec.Struct, array_like=True, frozen=True):
    """Hand over the registered engines."""

    revision: int
    engines: tuple[EngineEntry, ...]


class CachesState(msgspec.Struct, array_like=True, frozen=True):
    """Hand over what the engines' caches hold."""

    caches: tuple[CacheUpdate, ...]


encoder = msgspec.msgpack.Encoder()
datagram_decoder = msgspec.msgpack.Decoder(RouterReport | ReportBatch)


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as bytes."""
    return encoder.encode(message)


def decode_datagram(data: bytes) -> RouterReport | ReportBatch:
    """Return a datagram's message; raise msgspec.MsgspecError."""
    return datagram_decoder.decode(data)
