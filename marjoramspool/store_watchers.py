"""Watchers that replicate the route table, engine registrations and evacuations from the store."""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import RENEWAL_GRACE_S, Engine, EngineList
from marjoramspool.engine_state.evacuations import Evacuations
from marjoramspool.engine_state.registration_checks import MAX_NAME_LENGTH
from marjoramspool.events import Event, log
from marjoramspool.platform.store import (
    CATCH_UP_TIMEOUT_S,
    HistoryGoneError,
    PlatformError,
    Store,
)
from marjoramspool.routes import ClientLimits, RouteTable
from marjoramspool.store_versions import epoch_of
from marjoramspool.stored_objects import ObjectChange, StoredObject

__all__ = [
    "EngineWatcher",
    "EvacuationWatcher",
    "RouteTableWatcher",
    "StoreWatcher",
    "WatchRole",
]

# A watch may stall without an error, possibly on all routers simultaneously, and is then
# renewed after this time and the slack of the store's client: within 3 s of its stall.
WATCH_TIMEOUT_S = 2.2
# Other routers depend on these watches, so a stalled one must be detected sooner.
DESIGNATED_WATCH_TIMEOUT_S = 1.0
# A standby's poll costs one call, however many changes there were.
STANDBY_PERIOD_S = 1.0
# Evacuations are rare and may take effect some seconds later, so that they cost fewer calls.
EVACUATIONS_STANDBY_PERIOD_S = 2.5
PASSIVE_CHECK_PERIOD_S = 0.15
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Shorter, since a router without its initial state cannot serve requests.
MAX_STARTUP_BACKOFF_S = 0.3
# A registration found missing this soon after an outage may have lapsed during it.
LAPSE_DETECTION_WINDOW_S = 0.7


class WatchRole(enum.Enum):
    """Role of a router in watching the store.

    In a small fleet all routers watch independently. In a larger one a designated router watches
    for the fleet, and a few standbys poll for changes in case its watch stalls; passive ones only
    list the objects once, then fetch newer state from other routers.
    """

    INDEPENDENT = 1
    DESIGNATED = 2
    PASSIVE = 3
    STANDBY = 4


class StoreWatcher:
    """Replica of the store objects of one kind: a listing, then watches from its revision."""

    __slots__ = (
        "has_failed",
        "is_listing_due",
        "kind",
        "recovered_at",
        "revision",
        "standby_period_s",
        "store",
        "watch_role",
    )

    def __init__(self, store: Store, kind: str, watch_role: Callable[[], WatchRole]):
        self.store = store
        self.kind = kind
        self.watch_role = watch_role
        self.revision: int | None = None
        # What is known stays in force until it is listed again.
        self.is_listing_due = True
        self.has_failed = False
        self.recovered_at: float | None = None
        self.standby_period_s = STANDBY_PERIOD_S

    async def run(self) -> None:
        """Synchronize with the store until cancelled, with backoff while it fails."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self.revision is not None and self.watch_role() is WatchRole.PASSIVE:
                await asyncio.sleep(PASSIVE_CHECK_PERIOD_S)
                continue
            try:
                await self.sync_once()
                backoff_s = INITIAL_BACKOFF_S
            except HistoryGoneError:
                if self.is_listing_due:
                    # It was lost between the pages of a listing, and may be again.
                    await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                self.is_listing_due = True
            except PlatformError:
                self.has_failed = True
                # Jitter keeps the routers from reconnecting simultaneously after an outage.
                await self.store.wait_until_available(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(self.max_backoff_s(), backoff_s * 2)

    async def sync_once(self) -> None:
        """Make one list or watch call and apply its result.

        Fault: an answer is held up while this router takes a newer state from another router. What
        it brings is older, and is left out; the next call asks for what has come since.
        """
        since = self.revision
        if since is None or self.is_listing_due:
            listing = await self.store.list_objects(self.kind)
            self.record_store_answer()
            if self.revision != since and listing.revision < self.revision:
                return
            self.apply_listing(listing.objects, listing.revision)
            self.revision = listing.revision
            self.is_listing_due = False
            return
        # The first watch after an outage returns without waiting, to separate the changes
        # made during the outage from later ones.
        watch_timeout_s = CATCH_UP_TIMEOUT_S if self.has_failed else self.watch_timeout_s()
        changes, revision = await self.store.watch(self.kind, since, watch_timeout_s)
        self.record_store_answer()
        if self.revision != since:
            return
        self.apply_changes(changes, revision)
        self.revision = max(self.revision, revision)
        if self.watch_role() is WatchRole.STANDBY:
            await asyncio.sleep(self.standby_period_s)

    def max_backoff_s(self) -> float:
        """Return the longest backoff between calls during an outage."""
        return MAX_BACKOFF_S if self.revision is not None else MAX_STARTUP_BACKOFF_S

    def watch_timeout_s(self) -> float:
        """Return how long the store may keep a watch open without a change."""
        match self.watch_role():
            case WatchRole.INDEPENDENT:
                return WATCH_TIMEOUT_S
            case WatchRole.STANDBY:
                return CATCH_UP_TIMEOUT_S
        return DESIGNATED_WATCH_TIMEOUT_S

    def record_store_answer(self) -> None:
        """Record that the store answered, and the time of recovery if it had failed."""
        if self.has_failed:
            self.has_failed = False
            self.recovered_at = now()

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Apply a full listing of the objects."""
        raise NotImplementedError

    def apply_changes(self, changes: list[ObjectChange], revision: int) -> None:
        """Apply the changes up to a revision."""
        for change in changes:
            self.apply_change(change)

    def apply_change(self, change: ObjectChange) -> None:
        """Apply one change."""
        raise NotImplementedError


class RouteTableWatcher(StoreWatcher):
    """Watcher of the route table, whose version never decreases.

    Tables are ordered by the version that the operator gives them and not by the store's revision:
    a store that is restored from a copy offers an older table under a newer revision.
    The table is the object `name` of `kind`; `decode` raises msgspec.MsgspecError if the object
    is malformed.
    """

    __slots__ = ("decode", "name", "spec", "table", "table_revision")

    def __init__(
        self,
        store: Store,
        kind: str,
        name: str,
        decode: Callable[[msgspec.Raw], RouteTable],
        watch_role: Callable[[], WatchRole],
    ):
        super().__init__(store, kind, watch_role)
        self.name = name
        self.decode = decode
        self.table: RouteTable | None = None
        self.table_revision = 0
        self.spec = b""

    @property
    def table_version(self) -> int:
        """Return the version of the current table, 0 if there is none."""
        return self.table.version if self.table else 0

    def client_limits(self) -> ClientLimits:
        """Return the limits on client requests, defaults while no route table is known."""
        return self.table.limits if self.table else ClientLimits()

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Apply the route table of a listing."""
        for stored in objects:
            if stored.name == self.name:
                self.apply_if_newer(stored.revision, bytes(stored.spec), "store")

    def apply_change(self, change: ObjectChange) -> None:
        """Apply a new route table; a removal keeps the current one."""
        if change.object.name == self.name and not change.is_removed:
            self.apply_if_newer(change.object.revision, bytes(change.object.spec), "store")

    def apply_if_newer(self, revision: int, spec: bytes, source: str) -> bool:
        """Apply a route table if it is newer and valid; return whether it was applied."""
        if spec == self.spec:
            self.table_revision = max(revision, self.table_revision)
            return False
        try:
            table = self.decode(msgspec.Raw(spec))
        except msgspec.MsgspecError as error:
            log(Event.ROUTES_INVALID, revision=revision, source=source, fault=str(error))
            return False
        if table.version <= self.table_version:
            return False
        self.table_revision = revision
        self.spec = spec
        self.table = table
        log(
            Event.ROUTES_ADOPTED,
            revision=revision,
            version=table.version,
            routes=len(table.routes),
            source=source,
        )
        return True


class EngineWatcher(StoreWatcher):
    """Watcher of engine registrations; `decode` returns None for an unusable object."""

    __slots__ = ("decode", "engines")

    def __init__(
        self,
        store: Store,
        kind: str,
        decode: Callable[[StoredObject], Engine | None],
        engines: EngineList,
        watch_role: Callable[[], WatchRole],
    ):
        super().__init__(store, kind, watch_role)
        self.decode = decode
        self.engines = engines

    def renewal_deadline(self) -> float | None:
        """Return until when a missing registration may be renewed; None if it is surely removed."""
        if self.recovered_at is None or now() - self.recovered_at > LAPSE_DETECTION_WINDOW_S:
            return None
        return self.recovered_at + RENEWAL_GRACE_S

    def record_epoch(self, revision: int) -> None:
        """Expect lost registrations if a revision is of a later epoch than the present list."""
        if self.engines.revision and epoch_of(revision) > epoch_of(self.engines.revision):
            self.recovered_at = now()
            self.engines.record_restored()

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Apply a full listing of the registrations."""
        self.record_epoch(revision)
        self.engines.revision = revision
        engines = filter(None, map(self.decode, objects))
        self.engines.replace_all(engines, self.renewal_deadline())

    def apply_change(self, change: ObjectChange) -> None:
        """Apply a new, changed or removed registration."""
        self.engines.revision = max(self.engines.revision, change.object.revision)
        engine = None if change.is_removed else self.decode(change.object)
        if engine is None:
            deadline = self.renewal_deadline() if change.is_removed else None
            self.engines.remove(change.object.name, deadline)
        else:
            self.engines.register(engine)


class EvacuationWatcher(StoreWatcher):
    """Watcher of the evacuations; each object names a failure domain."""

    __slots__ = ("evacuations",)

    def __init__(
        self,
        store: Store,
        kind: str,
        evacuations: Evacuations,
        watch_role: Callable[[], WatchRole],
    ):
        super().__init__(store, kind, watch_role)
        self.evacuations = evacuations
        self.standby_period_s = EVACUATIONS_STANDBY_PERIOD_S

    def watch_timeout_s(self) -> float:
        """Return how long the store may keep a watch open; a standby's returns at once."""
        is_standby = self.watch_role() is WatchRole.STANDBY
        return CATCH_UP_TIMEOUT_S if is_standby else WATCH_TIMEOUT_S

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Apply a full listing of the evacuations."""
        names = (stored.name for stored in objects)
        self.evacuations.replace(filter(is_domain, names), revision, "store")

    def apply_changes(self, changes: list[ObjectChange], revision: int) -> None:
        """Apply new and removed evacuations."""
        named = ((c.object.name, c.is_removed) for c in changes if is_domain(c.object.name))
        self.evacuations.apply_changes(named, revision)


def is_domain(name: str) -> bool:
    """Return whether a name may be that of a failure domain; log one that is too long for it."""
    if len(name) <= MAX_NAME_LENGTH:
        return True
    log(Event.EVACUATION_UNREADABLE, name=name[:MAX_NAME_LENGTH], length=len(name))
    return False
