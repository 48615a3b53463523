"""Replica of the engine registrations."""

from collections.abc import Callable

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import RENEWAL_GRACE_S, Engine, EngineList
from marjoramspool.platform.store import Store
from marjoramspool.store_replicas.store_watcher import StoreWatcher, WatchRole
from marjoramspool.store_replicas.stored_objects import ObjectChange, StoredObject
from marjoramspool.store_versions import epoch_of

__all__ = ["EngineWatcher"]

# A registration found missing this soon after an outage may have lapsed during it.
LAPSE_DETECTION_WINDOW_S = 0.7


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
