"""Export and import of the engine list and of the cache contents."""

import math

from marjoramspool.engine_state.cold_engines import ColdEngines
from marjoramspool.engine_state.engine_list import RENEWAL_GRACE_S, Engine, EngineList
from marjoramspool.engine_state.registration_checks import find_fault
from marjoramspool.events import Event, log
from marjoramspool.peers.messages import CacheUpdate, CacheUpdateKind, EngineEntry, incarnation_id
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.prompts import Part

__all__ = [
    "apply_cache_update",
    "export_caches",
    "export_engines",
    "import_caches",
    "import_engines",
]

MAX_PARTS_PER_ENGINE = 1500
MS = 1000.0


def export_engines(engines: EngineList, cold: ColdEngines) -> tuple[EngineEntry, ...]:
    """Return all engines as message entries, those that may renew their registration too."""
    return tuple(
        EngineEntry(
            e.id,
            e.service,
            e.address,
            e.failure_domain,
            e.slots,
            e.is_draining,
            e.started_ms,
            e.version,
            as_ms(cold.last_said_s(e)),
            as_ms(engines.renewal_s(e)),
        )
        for e in engines.engines.values()
    )


def import_engines(
    engines: EngineList,
    entries: tuple[EngineEntry, ...],
    revision: int,
    renewals_until: float | None = None,
) -> None:
    """Replace the engine list by that of another router, as `EngineList.replace_all` does.

    A router of an earlier release may list what no engine wrote.

    Fault: the other router keeps an engine whose registration is gone from the store, as it may
    renew it. Its removal is no change after `revision`, so this router would never hear of it.
    """
    engines.revision = revision
    known = dict(engines.pending_renewal)
    imported = (import_engine(engines, entry) for entry in entries)
    engines.replace_all(filter(is_sound, imported), renewals_until)
    for entry in entries:
        if entry.renewal_ms is not None:
            until = engines.clock() + renewal_s(entry)
            # Routers that tell each other of it do not prolong it.
            engines.remove(entry.id, min(until, known.get(entry.id, until)))


def renewal_s(entry: EngineEntry) -> float:
    """Return for how long an engine may renew its lapsed registration."""
    return min(max(0.0, entry.renewal_ms / MS), RENEWAL_GRACE_S)


def as_ms(seconds: float | None) -> int | None:
    """Return a time in whole milliseconds, at least as long; None for None."""
    return None if seconds is None else math.ceil(seconds * MS)


def is_sound(engine: Engine) -> bool:
    """Return whether an engine may have written its registration; log what is wrong with it."""
    fault = find_fault(engine)
    if fault:
        log(Event.REGISTRATION_UNREADABLE, engine=engine.id, fault=fault)
    return fault is None


def import_engine(engines: EngineList, entry: EngineEntry) -> Engine:
    """Return the engine of an entry; a version that the entry lacks is kept if it is known.

    What the other router knows of a cold engine is used only if the engine is new here: this router
    may have heard more since.
    """
    known = engines.engines.get(entry.id)
    is_same = known is not None and known.started_ms == entry.started_ms
    return Engine(
        entry.id,
        entry.service,
        entry.address,
        entry.failure_domain,
        entry.slots,
        entry.is_draining,
        entry.started_ms,
        entry.version or (known.version if is_same else ""),
        None if is_same or entry.cold_ms is None else entry.cold_ms / MS,
    )


def export_caches(selector: EngineSelector) -> tuple[CacheUpdate, ...]:
    """Return the cached parts of each engine, the least recently used first."""
    updates = []
    for (name, started), cache in selector.caches.caches.items():
        engine = selector.engines.engines.get(name)
        if engine and engine.started_ms == started:
            parts = tuple(list(cache.parts.items())[-MAX_PARTS_PER_ENGINE:])
            kind = (
                CacheUpdateKind.PREFILLED
                if (name, started) in selector.unknown_caches
                else CacheUpdateKind.LISTED
            )
            updates.append(CacheUpdate(incarnation_id(name, started), parts, kind))
    return tuple(updates)


def import_caches(selector: EngineSelector, updates: tuple[CacheUpdate, ...]) -> None:
    """Import cache contents from another router for engines whose caches are unknown here."""
    engines_by_incarnation = {
        incarnation_id(e.id, e.started_ms): e for e in selector.engines.engines.values()
    }
    for update in updates:
        engine = engines_by_incarnation.get(update.incarnation_id)
        if engine is None or (engine.id, engine.started_ms) not in selector.unknown_caches:
            continue
        parts = tuple(Part(*part) for part in reversed(update.parts))
        apply_cache_update(selector, engine, parts, update.kind)


def apply_cache_update(
    selector: EngineSelector, engine: Engine, parts: tuple[Part, ...], kind: CacheUpdateKind
) -> None:
    """Apply one cache update of another router."""
    match kind:
        case CacheUpdateKind.PREFILLED:
            selector.record_cached(engine, parts)
            selector.record_requested_parts(parts)
        case CacheUpdateKind.LISTED:
            selector.record_listed(engine, parts)
        case CacheUpdateKind.RETRACTED:
            selector.drop_parts(engine, parts)
