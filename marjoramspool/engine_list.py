"""The engines that exist, as they register themselves."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["RENEWAL_GRACE_S", "Engine", "EngineList"]

# An engine whose registration goes without warning serves on for at least this long.
UNLISTED_GRACE_S = 2.0
# Engines that are alive renew a registration that lapsed in an outage within this time.
RENEWAL_GRACE_S = 2.2


@dataclass(slots=True, frozen=True)
class Engine:
    """Describe one registered engine; `started_ms` tells its incarnations apart."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    started_ms: int
    cold_until: float = 0.0


class EngineList:
    """Keep the registered engines of each service.

    A registration that lapsed while the registry was away is kept for a now_s, since a live
    engine renews it; an engine that had announced its leaving is dropped at once.
    """

    __slots__ = (
        "clock",
        "reassigned",
        "pending_renewal",
        "engines",
        "cached_digest",
        "in_grace_period",
        "on_removed",
        "revision",
    )

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.engines: dict[str, Engine] = {}
        self.pending_renewal: dict[str, float] = {}
        # Engines whose address another incarnation has, though they are still listed.
        self.reassigned: set[tuple[str, int]] = set()
        self.in_grace_period: dict[str, tuple[Engine, float]] = {}
        self.revision = 0
        self.cached_digest: int | None = None
        self.on_removed: list[Callable[[Engine], None]] = []

    def digest(self) -> int:
        """Return a hash over the registered engines and their states."""
        if self.cached_digest is None:
            names = sorted(f"{e.id}/{e.started_ms}/{e.is_draining}" for e in self.engines.values())
            self.cached_digest = hashing.digest(",".join(names)) & 0xFFFFFFFF
        return self.cached_digest

    def register(self, engine: Engine) -> None:
        """Take in a registration."""
        self.pending_renewal.pop(engine.id, None)
        previous = self.engines.get(engine.id)
        if previous and previous.started_ms != engine.started_ms:
            self.notify_removed(previous)
        self.in_grace_period.pop(engine.id, None)
        self.engines[engine.id] = engine
        self.cached_digest = None
        if previous is None or previous.is_draining != engine.is_draining:
            log(
                Event.ENGINE_LISTED,
                engine=engine.id,
                service=engine.service,
                address=engine.address,
                leaving=engine.is_draining,
                revision=self.revision,
            )

    def remove(self, name: str, renewals_until: float | None = None) -> None:
        """Take in that a registration is gone; the engine may renew it until a time."""
        engine = self.engines.get(name)
        if engine is None:
            return
        if renewals_until is not None and not engine.is_draining:
            self.pending_renewal.setdefault(name, renewals_until)
            return
        self.unlist(engine)

    def replace_all(self, engines: Iterable[Engine], renewals_until: float | None = None) -> None:
        """Take in a whole list; engines that miss in it may renew until a time."""
        listed = {engine.id: engine for engine in engines}
        for engine in listed.values():
            self.register(engine)
        for name in self.engines.keys() - listed.keys():
            self.remove(name, renewals_until)

    def unlist(self, engine: Engine) -> None:
        """Remove an engine from the list."""
        self.pending_renewal.pop(engine.id, None)
        self.reassigned.discard((engine.id, engine.started_ms))
        if self.engines.pop(engine.id, None) is None:
            return
        self.cached_digest = None
        log(Event.ENGINE_UNLISTED, engine=engine.id, address=engine.address, revision=self.revision)
        if engine.is_draining:
            # It had its time to serve after it announced that it leaves.
            self.notify_removed(engine)
        else:
            self.in_grace_period[engine.id] = (engine, self.clock() + UNLISTED_GRACE_S)

    def notify_removed(self, engine: Engine) -> None:
        """Tell all who keep something about an engine that it is gone."""
        for call in self.on_removed:
            call(engine)

    def mark_draining(self, name: str) -> None:
        """Take in that an engine itself says that it leaves."""
        engine = self.engines.get(name)
        if engine and not engine.is_draining:
            self.register(replace(engine, is_draining=True))

    def record_reassigned(self, engine: Engine) -> None:
        """Take in that an engine's address is no longer its own."""
        if (engine.id, engine.started_ms) not in self.reassigned:
            self.reassigned.add((engine.id, engine.started_ms))
            log(Event.ENGINE_UNLISTED, engine=engine.id, address=engine.address, displaced=True)

    def expire(self) -> None:
        """Drop the engines that did not renew their registration in time."""
        now_s = self.clock()
        for name in [name for name, until in self.pending_renewal.items() if until <= now_s]:
            self.unlist(self.engines[name])

    def serving(self, service: str) -> list[Engine]:
        """Return the engines of a service that serve, also those that get no new work."""
        now_s = self.clock()
        for engine, until in list(self.in_grace_period.values()):
            if until <= now_s:
                del self.in_grace_period[engine.id]
                self.notify_removed(engine)
        in_grace_period = [engine for engine, _ in self.in_grace_period.values()]
        return [e for e in [*self.engines.values(), *in_grace_period] if e.service == service]

    def usable(self, service: str) -> list[Engine]:
        """Return the engines of a service that may get new work."""
        if self.pending_renewal:
            self.expire()
        return [
            engine
            for engine in self.engines.values()
            if engine.service == service
            and not engine.is_draining
            and (engine.id, engine.started_ms) not in self.reassigned
        ]
