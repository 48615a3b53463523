"""List of the engines that have registered themselves."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.engine_state.evacuations import Evacuations
from marjoramspool.events import Event, log

__all__ = ["RENEWAL_GRACE_S", "Engine", "EngineList"]

# An engine that is unregistered without having drained still serves for at least this long.
UNLISTED_GRACE_S = 2.0
# Live engines renew a registration that lapsed in a store outage within this time.
RENEWAL_GRACE_S = 2.2
# Announcements outlast registrations, which may return; the oldest are dropped beyond this number.
MAX_ANNOUNCEMENTS = 1024
# A restored copy of the store may list engines again that were unlisted this recently.
MAX_COPY_AGE_S = 60.0
# The store removes the registration of an engine that has gone within this time of its return.
STALE_REGISTRATION_S = 6.0


@dataclass(slots=True, frozen=True)
class Engine:
    """A registered engine; `started_ms` identifies its incarnation.

    `version` is that of its software, empty if it is unknown. `cold_remaining_s` is for how long it
    was still cold when it registered, None if it does not say.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    started_ms: int
    version: str = ""
    cold_remaining_s: float | None = field(default=None, compare=False)

    @property
    def key(self) -> tuple[str, int]:
        """Return the id and the start time, which name one incarnation."""
        return self.id, self.started_ms


class EngineList:
    """Registered engines of all services.

    An engine drains if its registration says so, or if the engine itself announced it: the
    announcement holds for its incarnation, whatever the registration says afterwards.

    A registration that lapsed during a store outage is kept until a deadline, because a live engine
    renews it. That of a draining engine is removed immediately.
    """

    __slots__ = (
        "announced",
        "cached_digest",
        "clock",
        "engines",
        "departures",
        "evacuations",
        "in_grace_period",
        "on_listed",
        "on_registered",
        "on_removed",
        "pending_renewal",
        "reassigned",
        "revision",
        "stale_until",
        "usable_by_service",
    )

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.engines: dict[str, Engine] = {}
        self.pending_renewal: dict[str, float] = {}
        # Incarnations that are still listed although their address belongs to another one.
        self.reassigned: set[tuple[str, int]] = set()
        # Incarnations that announced their departure, and whether this router heard it itself.
        self.announced: dict[tuple[str, int], bool] = {}
        # Time at which each incarnation was unlisted, in that order.
        self.departures: dict[tuple[str, int], float] = {}
        # Incarnations whose registration, back from a copy, says nothing before a time.
        self.stale_until: dict[tuple[str, int], float] = {}
        # Result of `usable` by service and version, kept until the list changes.
        self.usable_by_service: dict[tuple[str, str | None], list[Engine]] = {}
        self.evacuations = Evacuations(clock)
        self.evacuations.on_change.append(self.usable_by_service.clear)
        self.in_grace_period: dict[str, tuple[Engine, float]] = {}
        self.revision = 0
        self.cached_digest: int | None = None
        self.on_listed: list[Callable[[Engine], None]] = []
        # Called with each registration, also with a renewed one.
        self.on_registered: list[Callable[[Engine], None]] = []
        self.on_removed: list[Callable[[Engine], None]] = []

    def digest(self) -> int:
        """Return a hash of the registered engines and their drain states."""
        if self.cached_digest is None:
            names = sorted(
                f"{e.id}/{e.started_ms}/{e.is_draining}/{e.version}" for e in self.engines.values()
            )
            self.cached_digest = hashing.digest(",".join(names)) & 0xFFFFFFFF
        return self.cached_digest

    def forget_results(self) -> None:
        """Forget the results that are kept until the list changes."""
        self.cached_digest = None
        self.usable_by_service.clear()

    def register(self, engine: Engine) -> None:
        """Add or replace a registration."""
        self.pending_renewal.pop(engine.id, None)
        previous = self.engines.get(engine.id)
        if previous and previous.started_ms != engine.started_ms:
            self.notify_removed(previous)
        unlisted, _ = self.in_grace_period.pop(engine.id, (None, 0.0))
        if unlisted and unlisted.started_ms != engine.started_ms:
            self.notify_removed(unlisted)
        self.engines[engine.id] = engine
        self.forget_results()
        if previous is None or previous.started_ms != engine.started_ms:
            for call in self.on_listed:
                call(engine)
        for call in self.on_registered:
            call(engine)
        if previous is None or previous.is_draining != engine.is_draining:
            log(
                Event.ENGINE_LISTED,
                engine=engine.id,
                service=engine.service,
                address=engine.address,
                version=engine.version,
                leaving=engine.is_draining,
                revision=self.revision,
            )

    def remove(self, name: str, renewals_until: float | None = None) -> None:
        """Remove a registration, or keep it until `renewals_until` if the engine may renew it."""
        engine = self.engines.get(name)
        if engine is None:
            return
        if renewals_until is not None and not engine.is_draining:
            self.pending_renewal.setdefault(name, renewals_until)
            return
        self.unlist(engine)

    def replace_all(self, engines: Iterable[Engine], renewals_until: float | None = None) -> None:
        """Replace the list; engines missing from it may renew until `renewals_until`."""
        listed = {engine.id: engine for engine in engines}
        for engine in listed.values():
            self.register(engine)
        for name in self.engines.keys() - listed.keys():
            self.remove(name, renewals_until)

    def unlist(self, engine: Engine) -> None:
        """Remove an engine from the list; unless draining, it still serves for a grace period."""
        self.pending_renewal.pop(engine.id, None)
        self.reassigned.discard((engine.id, engine.started_ms))
        if self.engines.pop(engine.id, None) is None:
            return
        self.forget_results()
        self.record_departure(engine)
        log(Event.ENGINE_UNLISTED, engine=engine.id, address=engine.address, revision=self.revision)
        if engine.is_draining:
            # It has already served its drain period.
            self.notify_removed(engine)
        else:
            self.in_grace_period[engine.id] = (engine, self.clock() + UNLISTED_GRACE_S)

    def record_departure(self, engine: Engine) -> None:
        """Record when an engine was unlisted, and forget departures older than any copy."""
        now_s = self.clock()
        self.departures[(engine.id, engine.started_ms)] = now_s
        for key, unlisted_at in list(self.departures.items()):
            if now_s - unlisted_at <= MAX_COPY_AGE_S:
                break
            del self.departures[key]

    def record_restored(self) -> None:
        """Hold on to departures that the store, restored from a copy, may have forgotten.

        A draining engine stays draining. One that was unlisted gets no requests until the store
        has had the time to remove it again.
        """
        now_s = self.clock()
        for engine in self.engines.values():
            if engine.is_draining:
                self.record_announcement(engine, "earlier epoch of the store")
        self.stale_until = {
            key: now_s + STALE_REGISTRATION_S
            for key, unlisted_at in self.departures.items()
            if now_s - unlisted_at <= MAX_COPY_AGE_S
        }
        self.usable_by_service.clear()

    def is_stale(self, engine: Engine) -> bool:
        """Return whether the registration of an engine may be one that a copy brought back."""
        return self.stale_until.get((engine.id, engine.started_ms), 0.0) > self.clock()

    def notify_removed(self, engine: Engine) -> None:
        """Call the callbacks that drop the state kept for an engine's incarnation."""
        for call in self.on_removed:
            call(engine)

    def record_announcement(self, engine: Engine, source: str | None = None) -> None:
        """Record that an engine announced its departure, to this router or to the one at `source`.

        It holds for the incarnation: a restarted engine serves again.
        """
        key = (engine.id, engine.started_ms)
        if key not in self.announced:
            log(Event.TARGET_LEAVING, target=engine.id, started_ms=engine.started_ms, source=source)
            if len(self.announced) >= MAX_ANNOUNCEMENTS:
                del self.announced[next(iter(self.announced))]
        self.announced[key] = self.announced.get(key, False) or source is None
        self.usable_by_service.clear()

    def is_draining(self, engine: Engine) -> bool:
        """Return whether an engine drains, by its registration or its own announcement."""
        return engine.is_draining or (engine.id, engine.started_ms) in self.announced

    def locally_announced(self) -> list[Engine]:
        """Return the listed engines that announced their departure to this router itself."""
        return [
            engine
            for (name, started_ms), is_local in self.announced.items()
            if is_local and (engine := self.engines.get(name)) and engine.started_ms == started_ms
        ]

    def record_reassigned(self, engine: Engine) -> None:
        """Record that an engine's address belongs to another engine or incarnation."""
        if (engine.id, engine.started_ms) not in self.reassigned:
            self.reassigned.add((engine.id, engine.started_ms))
            self.usable_by_service.clear()
            log(Event.ENGINE_UNLISTED, engine=engine.id, address=engine.address, displaced=True)

    def renewal_s(self, engine: Engine) -> float | None:
        """Return for how long an engine may renew its lapsed registration, None if it is listed."""
        until = self.pending_renewal.get(engine.id)
        return None if until is None else max(0.0, until - self.clock())

    def expire(self) -> None:
        """Unlist the engines that did not renew their registration in time."""
        now_s = self.clock()
        for name in [name for name, until in self.pending_renewal.items() if until <= now_s]:
            self.unlist(self.engines[name])

    def expire_grace_periods(self) -> None:
        """Remove the engines whose grace period after their registration is over."""
        now_s = self.clock()
        for engine, until in list(self.in_grace_period.values()):
            if until <= now_s:
                del self.in_grace_period[engine.id]
                self.notify_removed(engine)

    def usable(self, service: str, version: str | None = None) -> list[Engine]:
        """Return the engines of a service that may get new requests; do not modify the list.

        A `version` leaves only the engines that are known to have it. The same list is returned
        until the engines change.
        """
        if self.pending_renewal:
            self.expire()
        if self.stale_until and max(self.stale_until.values()) <= self.clock():
            self.stale_until.clear()
            self.usable_by_service.clear()
        if self.evacuations.held_until:
            self.evacuations.expire()
        key = (service, version)
        if key not in self.usable_by_service:
            self.usable_by_service[key] = self.find_usable(service, version)
        return self.usable_by_service[key]

    def is_all_evacuated(self, service: str) -> bool:
        """Return whether a service has engines, all of them in evacuated failure domains."""
        domains = {e.failure_domain for e in self.engines.values() if e.service == service}
        return bool(domains) and all(map(self.evacuations.is_evacuated, domains))

    def find(self, key: tuple[str, int]) -> Engine | None:
        """Return an incarnation that still serves, None if it does not."""
        engine = self.engines.get(key[0])
        if engine is None and key[0] in self.in_grace_period:
            engine, until = self.in_grace_period[key[0]]
            if until <= self.clock():
                return None
        return engine if engine and engine.started_ms == key[1] else None

    def find_usable(self, service: str, version: str | None) -> list[Engine]:
        """Return what `usable` returns, from the whole list."""
        return [
            e
            for e in self.engines.values()
            if e.service == service and version in (None, e.version) and self.is_usable(e)
        ]

    def is_usable(self, engine: Engine) -> bool:
        """Return whether a listed engine may get new requests."""
        return not (
            self.is_draining(engine)
            or self.evacuations.is_evacuated(engine.failure_domain)
            or self.is_stale(engine)
            or (engine.id, engine.started_ms) in self.reassigned
        )
