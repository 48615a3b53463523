"""Watchers of the desired state, the engine registrations and the evacuations in the store."""

from collections.abc import Callable

from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.evacuations import Evacuations
from marjoramspool.platform.desired import decode_table
from marjoramspool.platform.registry import decode_engine
from marjoramspool.platform.store import Store
from marjoramspool.store_replicas.engine_watcher import EngineWatcher
from marjoramspool.store_replicas.evacuation_watcher import EvacuationWatcher
from marjoramspool.store_replicas.route_table_watcher import RouteTableWatcher
from marjoramspool.store_replicas.store_watcher import WatchRole
from marjoramspool.store_replicas.stored_objects import StoredObject

__all__ = ["new_engine_watcher", "new_evacuation_watcher", "new_table_watcher"]

DESIRED_KIND = "config"
DESIRED_NAME = "main"
ENGINES_KIND = "servers"
# Each object is named after the failure domain that is to get no more requests.
EVACUATIONS_KIND = "evacuations"


def new_table_watcher(store: Store, watch_role: Callable[[], WatchRole]) -> RouteTableWatcher:
    """Return a watcher of the desired state."""
    return RouteTableWatcher(store, DESIRED_KIND, DESIRED_NAME, decode_table, watch_role)


def new_engine_watcher(
    store: Store, engines: EngineList, watch_role: Callable[[], WatchRole]
) -> EngineWatcher:
    """Return a watcher of the engine registrations."""
    return EngineWatcher(store, ENGINES_KIND, decode_registration, engines, watch_role)


def new_evacuation_watcher(
    store: Store, evacuations: Evacuations, watch_role: Callable[[], WatchRole]
) -> EvacuationWatcher:
    """Return a watcher of the evacuations of failure domains."""
    return EvacuationWatcher(store, EVACUATIONS_KIND, evacuations, watch_role)


def decode_registration(stored: StoredObject) -> Engine | None:
    """Return the engine that a stored object registers, or None if it is invalid."""
    return decode_engine(stored.name, stored.spec)
