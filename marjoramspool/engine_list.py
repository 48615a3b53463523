"""The engines that exist, as they register themselves."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["RENEWAL_S", "Engine", "EngineList"]

# An engine whose registration goes without warning serves on for at least this long.
LINGER_S = 2.0
# Engines that are alive renew a registration that lapsed in an outage within this time.
RENEWAL_S = 2.2


@dataclass(slots=True, frozen=True)
class Engine:
    """Describe one registered engine; `started_ms` tells its incarnations apart."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    started_ms: int
    cold_until: float = 0.0


class EngineList:
    """Keep the registered engines of each service.

    A registration that lapsed while the registry was away is kept for a moment, since a live
    engine renews it; an engine that had announced its leaving is dropped at once.
    """

    __slots__ = (
        "clock",
        "displaced",
        "doubted",
        "engines",
        "known_digest",
        "lingering",
        "on_gone",
        "revision",
    )

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.engines: dict[str, Engine] = {}
        self.doubted: dict[str, float] = {}
        # Engines whose address another incarnation has, though they are still listed.
        self.displaced: set[tuple[str, int]] = set()
        self.lingering: dict[str, tuple[Engine, float]] = {}
        self.revision = 0
        self.known_digest: int | None = None
        self.on_gone: list[Callable[[Engine], None]] = []

    def digest(self) -> int:
        """Return a hash over the registered engines and their states."""
        if self.known_digest is None:
            names = sorted(f"{e.id}/{e.started_ms}/{e.is_leaving}" for e in self.engines.values())
            self.known_digest = hashing.digest(",".join(names)) & 0xFFFFFFFF
        return self.known_digest

    def put(self, engine: Engine) -> None:
        """Take in a registration."""
        self.doubted.pop(engine.id, None)
        before = self.engines.get(engine.id)
        if before and before.started_ms != engine.started_ms:
            self.forget(before)
        self.lingering.pop(engine.id, None)
        self.engines[engine.id] = engine
        self.known_digest = None
        if before is None or before.is_leaving != engine.is_leaving:
            log(
                Event.ENGINE_LISTED,
                engine=engine.id,
                service=engine.service,
                address=engine.address,
                leaving=engine.is_leaving,
                revision=self.revision,
            )

    def remove(self, name: str, renewals_until: float | None = None) -> None:
        """Take in that a registration is gone; the engine may renew it until a time."""
        engine = self.engines.get(name)
        if engine is None:
            return
        if renewals_until is not None and not engine.is_leaving:
            self.doubted.setdefault(name, renewals_until)
            return
        self.drop(engine)

    def replace_all(self, engines: Iterable[Engine], renewals_until: float | None = None) -> None:
        """Take in a whole list; engines that miss in it may renew until a time."""
        listed = {engine.id: engine for engine in engines}
        for engine in listed.values():
            self.put(engine)
        for name in self.engines.keys() - listed.keys():
            self.remove(name, renewals_until)

    def drop(self, engine: Engine) -> None:
        """Remove an engine from the list."""
        self.doubted.pop(engine.id, None)
        self.displaced.discard((engine.id, engine.started_ms))
        if self.engines.pop(engine.id, None) is None:
            return
        self.known_digest = None
        log(Event.ENGINE_UNLISTED, engine=engine.id, address=engine.address, revision=self.revision)
        if engine.is_leaving:
            # It had its time to serve after it announced that it leaves.
            self.forget(engine)
        else:
            self.lingering[engine.id] = (engine, self.clock() + LINGER_S)

    def forget(self, engine: Engine) -> None:
        """Tell all who keep something about an engine that it is gone."""
        for call in self.on_gone:
            call(engine)

    def leave(self, name: str) -> None:
        """Take in that an engine itself says that it leaves."""
        engine = self.engines.get(name)
        if engine and not engine.is_leaving:
            self.put(replace(engine, is_leaving=True))

    def note_displaced(self, engine: Engine) -> None:
        """Take in that an engine's address is no longer its own."""
        if (engine.id, engine.started_ms) not in self.displaced:
            self.displaced.add((engine.id, engine.started_ms))
            log(Event.ENGINE_UNLISTED, engine=engine.id, address=engine.address, displaced=True)

    def expire(self) -> None:
        """Drop the engines that did not renew their registration in time."""
        time = self.clock()
        for name in [name for name, until in self.doubted.items() if until <= time]:
            self.drop(self.engines[name])

    def reachable(self, service: str) -> list[Engine]:
        """Return the engines of a service that serve, also those that get no new work."""
        moment = self.clock()
        for engine, until in list(self.lingering.values()):
            if until <= moment:
                del self.lingering[engine.id]
                self.forget(engine)
        lingering = [engine for engine, _ in self.lingering.values()]
        return [e for e in [*self.engines.values(), *lingering] if e.service == service]

    def usable(self, service: str) -> list[Engine]:
        """Return the engines of a service that may get new work."""
        if self.doubted:
            self.expire()
        return [
            engine
            for engine in self.engines.values()
            if engine.service == service
            and not engine.is_leaving
            and (engine.id, engine.started_ms) not in self.displaced
        ]
