"""Following the store: the table of routes and the registered engines."""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_list import RENEWAL_GRACE_S, Engine, EngineList
from marjoramspool.events import Event, log
from marjoramspool.platform.store import (
    Changed,
    HistoryGoneError,
    PlatformError,
    Store,
    StoredObject,
)
from marjoramspool.routes import RouteTable

__all__ = ["Duty", "EngineFollower", "Follower", "TableFollower"]

# A watch may go silent for good; all routers may be deaf in this way at once.
WATCH_S = 3.0
# Those that watch for others are found silent soon.
WATCH_FOR_OTHERS_S = 1.0
IDLE_CHECK_S = 0.15
AT_ONCE_S = 0.001
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# A router that knows nothing yet serves nobody.
LONGEST_FIRST_PAUSE_S = 0.3
# Registrations that are found gone this soon after an outage may have lapsed in it.
LAPSES_SHOW_S = 0.7


class Duty(enum.Enum):
    """Say for whom a router watches the store."""

    WATCH_FOR_ITSELF = 1
    WATCH_FOR_OTHERS = 2
    LEAVE_TO_OTHERS = 3


class Follower:
    """Follow the objects of one kind: a listing, then watches from its revision."""

    __slots__ = ("duty", "has_failed", "kind", "regained_at", "revision", "store")

    def __init__(self, store: Store, kind: str, duty: Callable[[], Duty]):
        self.store = store
        self.kind = kind
        self.duty = duty
        self.revision: int | None = None
        self.has_failed = False
        self.regained_at: float | None = None

    async def follow(self) -> None:
        """Keep up with the store, for ever."""
        pause_s = FIRST_PAUSE_S
        while True:
            if self.revision is not None and self.duty() is Duty.LEAVE_TO_OTHERS:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            try:
                await self.step()
                pause_s = FIRST_PAUSE_S
            except HistoryGoneError:
                self.revision = None
            except PlatformError:
                self.has_failed = True
                # Jitter keeps the routers from returning together after an outage.
                await self.store.wait_regained(pause_s * random.uniform(0.5, 1.5))
                pause_s = min(self.longest_pause_s(), pause_s * 2)

    async def step(self) -> None:
        """Make one call and take in what it brings."""
        if self.revision is None:
            listing = await self.store.list_objects(self.kind)
            self.note_answer()
            self.take_listing(listing.objects, listing.revision)
            self.revision = listing.revision
        else:
            # After an outage, what happened in it is told apart from what happens later.
            wait_s = AT_ONCE_S if self.has_failed else self.wait_s()
            changes, revision = await self.store.watch(self.kind, self.revision, wait_s)
            self.note_answer()
            for change in changes:
                self.take_change(change)
            self.revision = max(self.revision, revision)

    def longest_pause_s(self) -> float:
        """Return the longest pause between calls in an outage, in seconds."""
        return LONGEST_PAUSE_S if self.revision is not None else LONGEST_FIRST_PAUSE_S

    def wait_s(self) -> float:
        """Return how long a watch may wait."""
        return WATCH_S if self.duty() is Duty.WATCH_FOR_ITSELF else WATCH_FOR_OTHERS_S

    def note_answer(self) -> None:
        """Record that the store answers, perhaps again."""
        if self.has_failed:
            self.has_failed = False
            self.regained_at = now()

    def take_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take in all objects."""
        raise NotImplementedError

    def take_change(self, change: Changed) -> None:
        """Take in one change."""
        raise NotImplementedError


class TableFollower(Follower):
    """Keep the newest table of routes; an older one than was seen is never taken.

    It is the object `name` of `kind`; `decode` raises msgspec.MsgspecError if it cannot be read.
    """

    __slots__ = ("decode", "name", "seen", "spec", "table")

    def __init__(
        self,
        store: Store,
        kind: str,
        name: str,
        decode: Callable[[msgspec.Raw], RouteTable],
        duty: Callable[[], Duty],
    ):
        super().__init__(store, kind, duty)
        self.name = name
        self.decode = decode
        self.table: RouteTable | None = None
        self.seen = 0
        self.spec = b""

    def take_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take the table out of a listing."""
        for stored in objects:
            if stored.name == self.name:
                self.offer(stored.revision, bytes(stored.spec), "store")

    def take_change(self, change: Changed) -> None:
        """Take in a new table."""
        if change.object.name == self.name and not change.is_removed:
            self.offer(change.object.revision, bytes(change.object.spec), "store")

    def offer(self, revision: int, spec: bytes, source: str) -> bool:
        """Adopt a table if it is newer than every one seen and valid."""
        if revision <= self.seen:
            return False
        try:
            table = self.decode(msgspec.Raw(spec))
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
        return True


class EngineFollower(Follower):
    """Keep the list of registered engines up to date; `read` returns None for what is none."""

    __slots__ = ("engines", "read")

    def __init__(
        self,
        store: Store,
        kind: str,
        read: Callable[[StoredObject], Engine | None],
        engines: EngineList,
        duty: Callable[[], Duty],
    ):
        super().__init__(store, kind, duty)
        self.read = read
        self.engines = engines

    def renewals_until(self) -> float | None:
        """Return until when a missing registration may come back; None if it is surely gone."""
        if self.regained_at is None or now() - self.regained_at > LAPSES_SHOW_S:
            return None
        return self.regained_at + RENEWAL_GRACE_S

    def take_listing(self, objects: list[StoredObject], revision: int) -> None:
        """Take in all registrations."""
        self.engines.revision = revision
        engines = filter(None, map(self.read, objects))
        self.engines.replace_all(engines, self.renewals_until())

    def take_change(self, change: Changed) -> None:
        """Take in a new, changed or removed registration."""
        self.engines.revision = max(self.engines.revision, change.object.revision)
        engine = None if change.is_removed else self.read(change.object)
        if engine is None:
            until = self.renewals_until() if change.is_removed else None
            self.engines.remove(change.object.name, until)
        else:
            self.engines.register(engine)
