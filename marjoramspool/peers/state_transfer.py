"""What a router hands to another, and what it takes over from it."""

from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.peers.messages import Cached, Placed, ToldEngine, engine_number
from marjoramspool.prompts import Part

__all__ = [
    "caches_told",
    "engines_told",
    "take_cached",
    "take_caches",
    "take_engines",
]

PARTS_TOLD_AN_ENGINE = 1500


def engines_told(engines: EngineList) -> tuple[ToldEngine, ...]:
    """Return all registered engines as a message."""
    return tuple(
        ToldEngine(
            e.id, e.service, e.address, e.failure_domain, e.slots, e.is_draining, e.started_ms
        )
        for e in engines.engines.values()
    )


def take_engines(engines: EngineList, told: tuple[ToldEngine, ...], revision: int) -> None:
    """Take over another router's list of engines."""
    engines.revision = revision
    engines.replace_all(
        Engine(e.id, e.service, e.address, e.failure_domain, e.slots, e.is_leaving, e.started_ms)
        for e in told
    )


def caches_told(selector: EngineSelector) -> tuple[Placed, ...]:
    """Return what each engine's cache holds, the least recently used first."""
    told = []
    for (name, started), cache in selector.caches.caches.items():
        engine = selector.engines.engines.get(name)
        if engine and engine.started_ms == started:
            parts = tuple(list(cache.parts.items())[-PARTS_TOLD_AN_ENGINE:])
            how = Cached.READ if (name, started) in selector.unknown_caches else Cached.LISTED
            told.append(Placed(engine_number(name, started), parts, how))
    return tuple(told)


def take_caches(selector: EngineSelector, told: tuple[Placed, ...]) -> None:
    """Take over what another router knows of the caches, where this one knows nothing."""
    by_number = {engine_number(e.id, e.started_ms): e for e in selector.engines.engines.values()}
    for placed in told:
        engine = by_number.get(placed.engine)
        if engine is None or (engine.id, engine.started_ms) not in selector.unknown_caches:
            continue
        parts = tuple(Part(*part) for part in reversed(placed.parts))
        take_cached(selector, engine, parts, placed.how)


def take_cached(
    selector: EngineSelector, engine: Engine, parts: tuple[Part, ...], how: Cached
) -> None:
    """Take in what an engine reads, holds or does not hold."""
    match how:
        case Cached.READ:
            selector.record_cached(engine, parts)
            selector.record_requested_parts(parts)
        case Cached.LISTED:
            selector.record_listed(engine, parts)
        case Cached.UNREAD:
            selector.drop_parts(engine, parts)
