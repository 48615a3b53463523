"""What a router hands to another, and what it takes over from it."""

from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.peers.messages import CacheUpdate, CacheUpdateKind, EngineEntry, incarnation_id
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.prompts import Part

__all__ = [
    "caches_told",
    "engines_told",
    "take_cached",
    "take_caches",
    "take_engines",
]

PARTS_TOLD_AN_ENGINE = 1500


def engines_told(engines: EngineList) -> tuple[EngineEntry, ...]:
    """Return all registered engines as a message."""
    return tuple(
        EngineEntry(
            e.id, e.service, e.address, e.failure_domain, e.slots, e.is_draining, e.started_ms
        )
        for e in engines.engines.values()
    )


def take_engines(engines: EngineList, told: tuple[EngineEntry, ...], revision: int) -> None:
    """Take over another router's list of engines."""
    engines.revision = revision
    engines.replace_all(
        Engine(e.id, e.service, e.address, e.failure_domain, e.slots, e.is_leaving, e.started_ms)
        for e in told
    )


def caches_told(selector: EngineSelector) -> tuple[CacheUpdate, ...]:
    """Return what each engine's cache holds, the least recently used first."""
    told = []
    for (name, started), cache in selector.caches.caches.items():
        engine = selector.engines.engines.get(name)
        if engine and engine.started_ms == started:
            parts = tuple(list(cache.parts.items())[-PARTS_TOLD_AN_ENGINE:])
            kind = (
                CacheUpdateKind.PREFILLED
                if (name, started) in selector.unknown_caches
                else CacheUpdateKind.LISTED
            )
            told.append(CacheUpdate(incarnation_id(name, started), parts, kind))
    return tuple(told)


def take_caches(selector: EngineSelector, told: tuple[CacheUpdate, ...]) -> None:
    """Take over what another router knows of the caches, where this one knows nothing."""
    engines_by_incarnation = {
        incarnation_id(e.id, e.started_ms): e for e in selector.engines.engines.values()
    }
    for placed in told:
        engine = engines_by_incarnation.get(placed.incarnation_id)
        if engine is None or (engine.id, engine.started_ms) not in selector.unknown_caches:
            continue
        parts = tuple(Part(*part) for part in reversed(placed.parts))
        take_cached(selector, engine, parts, placed.kind)


def take_cached(
    selector: EngineSelector, engine: Engine, parts: tuple[Part, ...], kind: CacheUpdateKind
) -> None:
    """Take in what an engine reads, holds or does not hold."""
    match kind:
        case CacheUpdateKind.PREFILLED:
            selector.record_cached(engine, parts)
            selector.record_requested_parts(parts)
        case CacheUpdateKind.LISTED:
            selector.record_listed(engine, parts)
        case CacheUpdateKind.RETRACTED:
            selector.drop_parts(engine, parts)
