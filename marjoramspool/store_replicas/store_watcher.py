"""Watcher that replicates the objects of one kind from the store."""

import asyncio
import enum
import random
from collections.abc import Callable

from marjoramspool.clock import now
from marjoramspool.platform.store import (
    CATCH_UP_TIMEOUT_S,
    HistoryGoneError,
    PlatformError,
    Store,
)
from marjoramspool.store_replicas.store_outage import StoreOutage
from marjoramspool.store_replicas.stored_objects import ObjectChange, StoredObject

__all__ = [
    "WATCH_TIMEOUT_S",
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
PASSIVE_CHECK_PERIOD_S = 0.15
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Shorter, since a router without its initial state cannot serve requests.
MAX_STARTUP_BACKOFF_S = 0.3


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
        "is_listing_due",
        "kind",
        "outage",
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
        self.outage = StoreOutage()
        # When the last outage ended that all routers may have had.
        self.recovered_at: float | None = None
        self.standby_period_s = STANDBY_PERIOD_S

    @property
    def has_failed(self) -> bool:
        """Return whether the last call to the store failed."""
        return self.outage.is_ongoing

    async def run(self) -> None:
        """Synchronize with the store until cancelled, with backoff while it fails."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self.may_leave_store_to_others():
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
                self.outage.record_failure()
                # Jitter keeps the routers from reconnecting simultaneously after an outage.
                await self.store.wait_until_available(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(self.max_backoff_s(), backoff_s * 2)

    def may_leave_store_to_others(self) -> bool:
        """Return whether this router needs no calls to the store now.

        Fault: a router whose last call failed makes the next one long after the store is back, and
        takes what was removed meanwhile for lost in the outage.
        """
        is_listed = self.revision is not None and not self.has_failed
        return is_listed and self.watch_role() is WatchRole.PASSIVE

    async def sync_once(self) -> None:
        """Make one list or watch call and apply its result.

        Fault: an answer is held up while this router takes a newer state from another router. One
        that ends before that state would take it back, and is left out. One that ends after it
        tells what has changed since: the earlier changes, made once more in their order, lead to
        the same state.
        """
        since = self.revision
        if since is None or self.is_listing_due:
            listing = await self.store.list_objects(self.kind)
            self.record_store_answer()
            if self.is_overtaken(since, listing.revision):
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
        if self.is_overtaken(since, revision):
            return
        self.apply_changes(changes, revision)
        self.revision = max(self.revision, revision)
        if self.watch_role() is WatchRole.STANDBY:
            await asyncio.sleep(self.standby_period_s)

    def is_overtaken(self, since: int | None, revision: int) -> bool:
        """Return whether a state after `revision` was taken since a call from `since` was made."""
        return self.revision != since and revision < self.revision

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
        """Record that the store answered, and when an outage of all routers ended with that."""
        if self.outage.is_ongoing and self.outage.end():
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
