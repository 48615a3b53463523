"""Following the store: the desired state and the registered engines."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.events import Event, log
from marjoramspool.platform.desired import decode_table
from marjoramspool.platform.registry import decode_engine
from marjoramspool.platform.store import (
    Changed,
    HistoryGoneError,
    Store,
    StoredObject,
    StoreError,
    StoreOutError,
)
from marjoramspool.routes import RouteTable

__all__ = ["EngineFollower", "Follower", "TableFollower"]

DESIRED_KIND = "config"
DESIRED_NAME = "main"
ENGINES_KIND = "servers"
WATCH_S = 25.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# Registrations that vanish this soon after an outage may come back.
DOUBT_AFTER_OUTAGE_S = 6.0


class Follower:
    """Follow the objects of one kind: a listing, then watches from its revision."""

    __slots__ = ("failed_at", "is_current", "kind", "on_change", "revision", "store")

    def __init__(self, store: Store, kind: str, on_change: Callable[[], None]):
        self.store = store
        self.kind = kind
        self.on_change = on_change
        self.revision: int | None = None
        self.is_current = False
        self.failed_at: float | None = None

    async def follow(self) -> None:
        """Keep up with the store, for ever."""
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                await self.step()
                pause_s = FIRST_PAUSE_S
            except HistoryGoneError:
                self.revision = None
            except StoreError as error:
                self.note_failure(error)
                # Jitter keeps the routers from returning together after an outage.
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def step(self) -> None:
        """Make one call and take in what it brings."""
        if self.revision is None:
            listing = await self.store.list_objects(self.kind)
            self.take_listing(listing.objects, listing.revision)
            self.revision = listing.revision
        else:
            changes, revision = await self.store.watch(self.kind, self.revision, WATCH_S)
            for change in changes:
                self.take_change(change)
            self.revision = max(self.revision, revision)
        self.is_current = True
        self.on_change()

    def note_failure(self, error: StoreError) -> None:
        """Record that the store did not answer."""
        self.failed_at = now()
        self.is_current = False
        if not isinstance(error, StoreOutError):
            return

    def take_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take in all objects."""
        raise NotImplementedError

    def take_change(self, change: Changed) -> None:
        """Take in one change."""
        raise NotImplementedError


class TableFollower(Follower):
    """Keep the newest table of routes; an older one than was seen is never taken."""

    __slots__ = ("seen", "spec", "table")

    def __init__(self, store: Store, on_change: Callable[[], None]):
        super().__init__(store, DESIRED_KIND, on_change)
        self.table: RouteTable | None = None
        self.seen = 0
        self.spec = b""

    def take_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take the table out of a listing."""
        for stored in objects:
            if stored.name == DESIRED_NAME:
                self.offer(stored.revision, bytes(stored.spec), "store")

    def take_change(self, change: Changed) -> None:
        """Take in a new table."""
        if change.object.name == DESIRED_NAME and not change.is_removed:
            self.offer(change.object.revision, bytes(change.object.spec), "store")

    def offer(self, revision: int, spec: bytes, source: str) -> bool:
        """Adopt a table if it is newer than every one seen and valid."""
        if revision <= self.seen:
            return False
        try:
            table = decode_table(msgspec.Raw(spec))
        except msgspec.MsgspecError as error:
            log(Event.ROUTES_INVALID, revision=revision, source=source, fault=str(error))
            return False
        self.seen = revision
        self.spec = spec
        self.table = table
        log(
            Event.ROUTES_ADOPTED,
            revision=revision,
            version=table.version,
            routes=len(table.routes),
            source=source,
        )
        self.on_change()
        return True


class EngineFollower(Follower):
    """Keep the list of registered engines up to date."""

    __slots__ = ("engines",)

    def __init__(self, store: Store, engines: EngineList, on_change: Callable[[], None]):
        super().__init__(store, ENGINES_KIND, on_change)
        self.engines = engines

    @property
    def is_doubtful(self) -> bool:
        """Tell whether a missing registration may be the work of an outage."""
        return self.failed_at is not None and now() - self.failed_at < DOUBT_AFTER_OUTAGE_S

    def take_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take in all registrations."""
        self.engines.revision = revision
        self.engines.replace_all(filter(None, map(read_engine, objects)), self.is_doubtful)

    def take_change(self, change: Changed) -> None:
        """Take in a new, changed or removed registration."""
        self.engines.revision = max(self.engines.revision, change.object.revision)
        engine = None if change.is_removed else read_engine(change.object)
        if engine is None:
            self.engines.remove(change.object.name, self.is_doubtful and change.is_removed)
        else:
            self.engines.put(engine)


def read_engine(stored: StoredObject) -> Engine | None:
    """Return the engine that a stored object registers."""
    return decode_engine(stored.name, stored.spec, stored.status)
