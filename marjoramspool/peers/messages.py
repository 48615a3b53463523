"""Messages between routers, encoded as MessagePack arrays."""

import enum
from functools import lru_cache

import msgspec

from marjoramspool import hashing

__all__ = [
    "MESSAGE_REVISION",
    "CacheUpdate",
    "CacheUpdateKind",
    "CachesState",
    "ColdReport",
    "DomainLoads",
    "EngineEndReport",
    "EngineEntry",
    "EngineLoadReport",
    "EngineRateReport",
    "EvacuationReport",
    "EnginesState",
    "FleetLoads",
    "IncludedReport",
    "LimitReport",
    "OriginQuery",
    "OriginReport",
    "QuarantineReport",
    "ReportBatch",
    "RoomReport",
    "RouterReport",
    "SpeedReport",
    "StreamOriginEntry",
    "TableState",
    "UnansweredReport",
    "decode_datagram",
    "encode",
    "incarnation_id",
    "service_id",
]


# Counts up when routers learn a message that earlier ones cannot decode.
MESSAGE_REVISION = 1


@lru_cache(maxsize=4096)
def incarnation_id(engine: str, started_ms: int) -> int:
    """Return the 32-bit id of one incarnation of an engine in messages."""
    return hashing.digest(f"{engine}/{started_ms}") & 0xFFFFFFFF


def service_id(service: str) -> int:
    """Return the 32-bit id of a service in messages."""
    return hashing.digest(service) & 0xFFFFFFFF


class EngineLoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Requests of one router at an engine, and their prompt tokens still to be prefilled."""

    incarnation_id: int
    requests: int
    prefill_tokens: int


class EngineRateReport(msgspec.Struct, array_like=True, frozen=True):
    """Requests sent to an engine with a rate limit, and wanted for it, in thousandths.

    Both are decaying sums over one router or several.
    """

    incarnation_id: int
    sent_milli: int
    wanted_milli: int


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """Rate limit that an engine named, in thousandths of a request per second, None for none.

    `age_ms` is the time since the engine was heard.
    """

    incarnation_id: int
    milli_per_s: int | None
    age_ms: int


class RoomReport(msgspec.Struct, array_like=True, frozen=True):
    """Bound on the requests in a brittle engine, in thousandths, and the time since it was set."""

    incarnation_id: int
    milli: int
    age_ms: int


class ColdReport(msgspec.Struct, array_like=True, frozen=True):
    """Time for which an engine is still cold, 0 if it no longer is, and the age of its notice."""

    incarnation_id: int
    remaining_ms: int
    age_ms: int


class SpeedReport(msgspec.Struct, array_like=True, frozen=True):
    """Processing time that a target told, 100 if it is as usual, and the time since then."""

    incarnation_id: int
    percent: int
    age_ms: int


class CacheUpdateKind(enum.IntEnum):
    """Source of a cache update, or its retraction."""

    PREFILLED = 0
    # The engine listed its cache.
    LISTED = 1
    # An earlier `PREFILLED` update is withdrawn: the engine did not prefill the prompt.
    RETRACTED = 2


class CacheUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Prompt parts that an engine prefills, has cached or does not have cached.

    Each part is a pair of its id and its length in tokens.
    """

    incarnation_id: int
    parts: tuple[tuple[int, int], ...]
    kind: CacheUpdateKind = CacheUpdateKind.PREFILLED


class UnansweredReport(msgspec.Struct, array_like=True, frozen=True):
    """Attempt without an answer at an engine that ended: its age at the end, and its parts."""

    age_ms: int
    parts: tuple[int, ...]


class EngineEndReport(msgspec.Struct, array_like=True, frozen=True):
    """End of an engine, and the unanswered attempts of one router there."""

    incarnation_id: int
    attempts: tuple[UnansweredReport, ...]


class QuarantineReport(msgspec.Struct, array_like=True, frozen=True):
    """Quarantined prompt part, and how many requests have tried it again."""

    part: int
    probes: int


class EvacuationReport(msgspec.Struct, array_like=True, frozen=True):
    """Evacuated failure domains at a version of the store."""

    version: int
    domains: tuple[str, ...]


class RouterReport(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Report of one router: its identity, state versions, loads and cache updates.

    `sequence_number` increases with each report of one process; `boot_id` identifies the process.
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
    # Engines that announced their departure to the reporting router.
    leaving: tuple[int, ...] = ()
    # Version that the operator gave the route table.
    table_version: int = 0
    # Recent observations of the reporting router, repeated for some time.
    ended: tuple[EngineEndReport, ...] = ()
    # Suspect prompt parts that it saw answered.
    answered: tuple[int, ...] = ()
    quarantined: tuple[QuarantineReport, ...] = ()
    rates: tuple[EngineRateReport, ...] = ()
    # Limits that the reporting router knows of, also from others, and those that ended recently.
    limits: tuple[LimitReport, ...] = ()
    # Revision of the messages that the reporting router understands.
    message_revision: int = 0
    # Whether it serves requests of routers without a path to engines, the ids of the services that
    # it has none to itself, and its requests in flight.
    takes_forwarded: bool = False
    cut_off: tuple[int, ...] = ()
    in_flight: int = 0
    # Bounds on the requests in brittle engines that the reporting router has tightened itself.
    rooms: tuple[RoomReport, ...] = ()
    # None from a router that does not watch the store, or where nothing is evacuated.
    evacuations: EvacuationReport | None = None
    # Cold engines, and those that no longer are, that the reporting router heard itself.
    cold: tuple[ColdReport, ...] = ()
    # Processing times that targets told the reporting router within the last second.
    speeds: tuple[SpeedReport, ...] = ()


class ReportBatch(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Reports of several routers, forwarded by a relay."""

    reports: tuple[RouterReport, ...]


class DomainLoads(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One part of the loads of a failure domain, summed by its relay, and its cache updates."""

    address: str
    domain: str
    boot_id: int
    sequence_number: int
    part: int
    parts: int
    loads: tuple[EngineLoadReport, ...]
    cache_updates: tuple[CacheUpdate, ...] = ()
    rates: tuple[EngineRateReport, ...] = ()
    speeds: tuple[SpeedReport, ...] = ()


class IncludedReport(msgspec.Struct, array_like=True, frozen=True):
    """Report of a router that a sum includes, so that the router can subtract its own loads."""

    boot_id: int
    sequence_number: int


class FleetLoads(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """One part of the loads of all routers, summed by a relay for its failure domain."""

    address: str
    boot_id: int
    sequence_number: int
    part: int
    parts: int
    loads: tuple[EngineLoadReport, ...]
    included: tuple[IncludedReport, ...]
    cache_updates: tuple[CacheUpdate, ...] = ()
    rates: tuple[EngineRateReport, ...] = ()
    speeds: tuple[SpeedReport, ...] = ()


class StreamOriginEntry(msgspec.Struct, array_like=True, frozen=True):
    """Version at which a stream began, None if the sender does not know it, empty if ambiguous."""

    stream: int
    version: str | None


class OriginReport(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """What a router knows of the origins of streams."""

    entries: tuple[StreamOriginEntry, ...]


class OriginQuery(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Question for the origins of streams, answered by an `OriginReport`."""

    streams: tuple[int, ...]


class EngineEntry(msgspec.Struct, array_like=True, frozen=True):
    """One registered engine."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    started_ms: int
    # Version of its software, empty in the entries of a router of an earlier release.
    version: str = ""
    # For how long it is still cold, None if it is not known to be.
    cold_ms: int | None = None
    # For how long it may still renew its lapsed registration, None if it is registered.
    renewal_ms: int | None = None


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """Route table, compressed with zlib."""

    revision: int
    table: bytes


class EnginesState(msgspec.Struct, array_like=True, frozen=True):
    """All registered engines at a revision of the store."""

    revision: int
    engines: tuple[EngineEntry, ...]


class CachesState(msgspec.Struct, array_like=True, frozen=True):
    """Cached prompt parts of the engines."""

    caches: tuple[CacheUpdate, ...]


encoder = msgspec.msgpack.Encoder()
Datagram = RouterReport | ReportBatch | DomainLoads | FleetLoads | OriginReport | OriginQuery
datagram_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message."""
    return encoder.encode(message)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a datagram; raise msgspec.MsgspecError if it is invalid."""
    try:
        return datagram_decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("it is nested too deeply") from error
