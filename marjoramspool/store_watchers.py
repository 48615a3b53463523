"""Following the store: the table of routes and the registered engines."""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_list import RENEWAL_S, Engine, EngineList
from marjoramspool.events import Event, log
from marjoramspool.platform.store import (
    Changed,
    HistoryGoneError,
    PlatformError,
    Store,
    StoredObject,
)
from marjoramspool.routes import RouteTable

__all__ = ["EngineWatcher", "RouteTableWatcher", "StoreWatcher", "WatchRole"]

# A watch may go silent for good; all routers may be deaf in this way at once.
WATCH_TIMEOUT_S = 3.0
# Those that watch for others are found silent soon.
DESIGNATED_WATCH_TIMEOUT_S = 1.0
PASSIVE_CHECK_PERIOD_S = 0.15
CATCH_UP_TIMEOUT_S = 0.001
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# A router that knows nothing yet serves nobody.
MAX_STARTUP_BACKOFF_S = 0.3
# Registrations that are found gone this soon after an outage may have lapsed in it.
LAPSE_DETECTION_WINDOW_S = 0.7


class WatchRole(enum.Enum):
    """Say for whom a router watches the store."""

    INDEPENDENT = 1
    DESIGNATED = 2
    PASSIVE = 3


class StoreWatcher:
    """Follow the objects of one kind: a listing, then watches from its revision."""

    __slots__ = ("has_failed", "kind", "recovered_at", "revision", "store", "watch_role")

    def __init__(self, store: Store, kind: str, watch_role: Callable[[], WatchRole]):
        self.store = store
        self.kind = kind
        self.watch_role = watch_role
        self.revision: int | None = None
        self.has_failed = False
        self.recovered_at: float | None = None

    async def run(self) -> None:
        """Keep up with the store, for ever."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self.revision is not None and self.watch_role() is WatchRole.PASSIVE:
                await asyncio.sleep(PASSIVE_CHECK_PERIOD_S)
                continue
            try:
                await self.sync_once()
                backoff_s = INITIAL_BACKOFF_S
            except HistoryGoneError:
                self.revision = None
            except PlatformError:
                self.has_failed = True
                # Jitter keeps the routers from returning together after an outage.
                await self.store.wait_regained(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(self.max_backoff_s(), backoff_s * 2)

    async def sync_once(self) -> None:
        """Make one call and take in what it brings."""
        if self.revision is None:
            listing = await self.store.list_objects(self.kind)
            self.record_store_answer()
            self.apply_listing(listing.objects, listing.revision)
            self.revision = listing.revision
        else:
            # After an outage, what happened in it is told apart from what happens later.
            watch_timeout_s = CATCH_UP_TIMEOUT_S if self.has_failed else self.watch_timeout_s()
            changes, revision = await self.store.watch(self.kind, self.revision, watch_timeout_s)
            self.record_store_answer()
            for change in changes:
                self.apply_change(change)
            self.revision = max(self.revision, revision)

    def max_backoff_s(self) -> float:
        """Return the longest pause between calls in an outage, in seconds."""
        return MAX_BACKOFF_S if self.revision is not None else MAX_STARTUP_BACKOFF_S

    def watch_timeout_s(self) -> float:
        """Return how long a watch may wait."""
        return (
            WATCH_TIMEOUT_S
            if self.watch_role() is WatchRole.INDEPENDENT
            else DESIGNATED_WATCH_TIMEOUT_S
        )

    def record_store_answer(self) -> None:
        """Record that the store answers, perhaps again."""
        if self.has_failed:
            self.has_failed = False
            self.recovered_at = now()

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take in all objects."""
        raise NotImplementedError

    def apply_change(self, change: Changed) -> None:
        """Take in one change."""
        raise NotImplementedError


class RouteTableWatcher(StoreWatcher):
    """Keep the newest table of routes; an older one than was seen is never taken.

    It is the object `name` of `kind`; `decode` raises msgspec.MsgspecError if it cannot be read.
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

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take the table out of a listing."""
        for stored in objects:
            if stored.name == self.name:
                self.apply_if_newer(stored.revision, bytes(stored.spec), "store")

    def apply_change(self, change: Changed) -> None:
        """Take in a new table."""
        if change.object.name == self.name and not change.is_removed:
            self.apply_if_newer(change.object.revision, bytes(change.object.spec), "store")

    def apply_if_newer(self, revision: int, spec: bytes, source: str) -> bool:
        """Adopt a table if it is newer than every one seen and valid."""
        if revision <= self.table_revision:
            return False
        try:
            table = self.decode(msgspec.Raw(spec))
        except msgspec.MsgspecError as error:
            log(Event.ROUTES_INVALID, revision=revision, source=source, fault=str(error))
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
    """Keep the list of registered engines up to date; `decode` returns None for what is none."""

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
        """Return until when a missing registration may come back; None if it is surely gone."""
        if self.recovered_at is None or now() - self.recovered_at > LAPSE_DETECTION_WINDOW_S:
            return None
        return self.recovered_at + RENEWAL_S

    def apply_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take in all registrations."""
        self.engines.revision = revision
        engines = filter(None, map(self.decode, objects))
        self.engines.replace_all(engines, self.renewal_deadline())

    def apply_change(self, change: Changed) -> None:
        """Take in a new, changed or removed registration."""
        self.engines.revision = max(self.engines.revision, change.object.revision)
        engine = None if change.is_removed else self.decode(change.object)
        if engine is None:
            deadline = self.renewal_deadline() if change.is_removed else None
            self.engines.remove(change.object.name, deadline)
        else:
            self.engines.put(engine)
