"""Where the desired state and the registrations of engines are in the store."""

from collections.abc import Callable

from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.platform.desired import decode_table
from marjoramspool.platform.registry import decode_engine
from marjoramspool.platform.store import Store, StoredObject
from marjoramspool.store_watchers import EngineWatcher, RouteTableWatcher, WatchRole

__all__ = ["follow_engines", "follow_table"]

DESIRED_KIND = "config"
DESIRED_NAME = "main"
ENGINES_KIND = "servers"


def follow_table(store: Store, duty: Callable[[], WatchRole]) -> RouteTableWatcher:
    """Return what follows the desired state."""
    return RouteTableWatcher(store, DESIRED_KIND, DESIRED_NAME, decode_table, duty)


def follow_engines(
    store: Store, engines: EngineList, duty: Callable[[], WatchRole]
) -> EngineWatcher:
    """Return what follows the registered engines."""
    return EngineWatcher(store, ENGINES_KIND, read_engine, engines, duty)


def read_engine(stored: StoredObject) -> Engine | None:
    """Return the engine that a stored object registers, None if it names none to use."""
    return decode_engine(stored.name, stored.spec, stored.status)
