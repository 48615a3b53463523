"""Replica of the route table, whose version never decreases."""

from collections.abc import Callable

import msgspec

from marjoramspool.events import Event, log
from marjoramspool.platform.store import Store
from marjoramspool.routes import ClientLimits, RouteTable
from marjoramspool.store_replicas.store_watcher import StoreWatcher, WatchRole
from marjoramspool.store_replicas.stored_objects import ObjectChange, StoredObject

__all__ = ["RouteTableWatcher"]


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
