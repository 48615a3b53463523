"""Replica of the evacuations; each object names a failure domain."""

from collections.abc import Callable

from marjoramspool.engine_state.evacuations import Evacuations
from marjoramspool.engine_state.registration_checks import MAX_NAME_LENGTH
from marjoramspool.events import Event, log
from marjoramspool.platform.store import CATCH_UP_TIMEOUT_S, Store
from marjoramspool.store_replicas.store_watcher import WATCH_TIMEOUT_S, StoreWatcher, WatchRole
from marjoramspool.store_replicas.stored_objects import ObjectChange, StoredObject

__all__ = ["EvacuationWatcher"]

# Evacuations are rare and may take effect some seconds later, so that they cost fewer calls.
STANDBY_PERIOD_S = 2.5


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
        self.standby_period_s = STANDBY_PERIOD_S

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
