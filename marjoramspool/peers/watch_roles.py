"""Selection of the role that this router has in watching the store."""

from collections.abc import Callable

from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory
from marjoramspool.store_replicas.store_watcher import WatchRole

__all__ = ["WatchRoles"]

# Ranking hundreds of routers for each check would cost more than the checks.
ROLE_AGE_S = 0.3
# Several heartbeats of each store watcher arrive within this time.
WATCHER_TIMEOUT_S = 1.2
# Newer state that a peer has is usually fetched from one within this time.
FETCH_TIMEOUT_S = 1.0
# The store usually delivers a change to all watchers within this time.
WATCH_DELAY_S = 0.3


class WatchRoles:
    """Role of this router, by what it hears of the routers that watch the store.

    `behind_s` returns for how long a peer has been known to have newer state, in seconds.

    Fault: the routers that watch for the fleet end together, or this router is cut off from the
    others and not from the store. Heartbeats show that only after seconds, so a router that hears
    from none of them, or cannot fetch what they have, polls the store meanwhile.
    """

    __slots__ = ("behind_s", "directory", "found_at", "has_store", "role")

    def __init__(
        self, directory: Directory, has_store: Callable[[], bool], behind_s: Callable[[], float]
    ):
        self.directory = directory
        self.has_store = has_store
        self.behind_s = behind_s
        self.role = WatchRole.INDEPENDENT
        self.found_at: float | None = None

    def current(self) -> WatchRole:
        """Return the role, at most `ROLE_AGE_S` old."""
        now_s = self.directory.clock()
        if self.found_at is None or now_s - self.found_at >= ROLE_AGE_S:
            self.found_at = now_s
            self.role = self.find()
        return self.role

    def find(self) -> WatchRole:
        """Return the role by the routers known now."""
        directory = self.directory
        if relays.is_full_mesh(directory):
            return WatchRole.INDEPENDENT
        has_store = self.has_store()
        watchers = relays.select_store_watchers(directory, has_store)
        if directory.local_address in watchers:
            is_first = relays.is_first_store_watcher(directory, has_store)
            return WatchRole.DESIGNATED if is_first else WatchRole.STANDBY
        is_informed = self.is_hearing(watchers) and self.behind_s() < FETCH_TIMEOUT_S
        return WatchRole.PASSIVE if is_informed else WatchRole.STANDBY

    def is_hearing(self, watchers: set[str]) -> bool:
        """Return whether any of some routers was heard from within `WATCHER_TIMEOUT_S`."""
        now_s = self.directory.clock()
        peers = (self.directory.peers[address] for address in watchers)
        return any(
            peer.last_seen is not None and now_s - peer.last_seen < WATCHER_TIMEOUT_S
            for peer in peers
        )

    def fetch_delay_s(self) -> float:
        """Return how long to wait for the store before state is fetched from a peer."""
        return 0.0 if self.current() is WatchRole.PASSIVE else WATCH_DELAY_S
