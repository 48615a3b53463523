"""Topology of the report broadcast: full mesh in small fleets, relays in large ones.

In a full mesh the number of datagrams in the fleet grows with the square of its size, too much for
many small hosts on slow links. Up to `MAX_FULL_MESH_ROUTERS` routers send their reports to each
other directly. In a larger fleet one router of each failure domain, on one of its fastest links,
relays the reports of its domain to the other relays, and all reports to its own domain.
"""

from marjoramspool import hashing
from marjoramspool.peers.directory import Directory, Peer

__all__ = [
    "MAX_FULL_MESH_ROUTERS",
    "RelayMonitor",
    "is_first_store_watcher",
    "is_full_mesh",
    "may_fetch_afar",
    "other_domain_relays",
    "own_domain_peers",
    "select_relay",
    "select_store_watchers",
]

MAX_FULL_MESH_ROUTERS = 12
# Number of routers that watch the store in a fleet with relays.
MAX_STORE_WATCHERS = 4
# A relay sends more than two heartbeats in this time.
RELAY_TIMEOUT_S = 1.0
RELAY_EXCLUSION_S = 4.0
# A longer time between two checks means that this host was suspended.
SUSPENSION_THRESHOLD_S = 0.6


def is_full_mesh(directory: Directory) -> bool:
    """Return whether all routers send their reports to each other directly."""
    return len(directory.peers) < MAX_FULL_MESH_ROUTERS


def select_relay(directory: Directory, domain: str) -> str | None:
    """Return the relay of a failure domain, None if it has no presumably live router."""
    now_s = directory.clock()
    links = {
        peer.address: peer.link_mbps
        for peer in directory.presumed_live_peers()
        if peer.domain == domain and peer.relay_excluded_until <= now_s
    }
    if domain == directory.domain:
        links[directory.local_address] = directory.link_mbps
    if not links:
        return None
    highest_mbps = max(links.values())
    return hashing.rank(
        hashing.digest(domain), [a for a, link in links.items() if link == highest_mbps]
    )[0]


def may_fetch_afar(directory: Directory) -> bool:
    """Return whether this router fetches state from other failure domains without a delay."""
    relay = select_relay(directory, directory.domain)
    return is_full_mesh(directory) or relay == directory.local_address


def other_domain_relays(directory: Directory) -> list[str]:
    """Return the relays of the other failure domains."""
    domains = {peer.domain for peer in directory.presumed_live_peers()} - {directory.domain}
    relay_addresses = [select_relay(directory, domain) for domain in sorted(domains)]
    return [address for address in relay_addresses if address is not None]


class RelayMonitor:
    """Excludes relays that send nothing, including those that were just selected.

    The heartbeats of a relay's successor came through that relay and are as old as its own, and
    hosts of one failure domain may be suspended together. A new relay must therefore send
    heartbeats directly.
    """

    __slots__ = ("checked_at", "directory", "expected_since")

    def __init__(self, directory: Directory):
        self.directory = directory
        self.expected_since: dict[str, float] = {}
        self.checked_at = directory.clock()

    def check(self, addresses: list[str]) -> None:
        """Exclude expected relays without a direct heartbeat within `RELAY_TIMEOUT_S`."""
        now_s = self.directory.clock()
        if now_s - self.checked_at > SUSPENSION_THRESHOLD_S:
            # This host was suspended and could not receive heartbeats.
            self.expected_since.clear()
        self.checked_at = now_s
        self.expected_since = {
            address: self.expected_since.get(address, now_s) for address in addresses
        }
        for address, since in self.expected_since.items():
            peer = self.directory.peers.get(address)
            if peer and now_s - max(since, peer.last_seen_directly or since) > RELAY_TIMEOUT_S:
                peer.relay_excluded_until = now_s + RELAY_EXCLUSION_S


def own_domain_peers(directory: Directory) -> list[Peer]:
    """Return the presumably live peers in the failure domain of this router."""
    return [peer for peer in directory.presumed_live_peers() if peer.domain == directory.domain]


def select_store_watchers(directory: Directory, has_store: bool) -> set[str]:
    """Return the routers that watch the store: all in a full mesh, else a fixed number.

    Routers that the store does not answer are replaced by others.
    """
    present = {peer.address: peer.has_store for peer in directory.presumed_live_peers()}
    present[directory.local_address] = has_store
    if is_full_mesh(directory):
        return set(present)
    return set(rank_store_watchers(present)[:MAX_STORE_WATCHERS])


def is_first_store_watcher(directory: Directory, has_store: bool) -> bool:
    """Return whether this router ranks first among those that watch the store."""
    present = {peer.address: peer.has_store for peer in directory.presumed_live_peers()}
    present[directory.local_address] = has_store
    return rank_store_watchers(present)[0] == directory.local_address


def rank_store_watchers(present: dict[str, bool]) -> list[str]:
    """Return the routers, each with whether it reaches the store, in the order to watch it."""
    with_store = [address for address, has_store_access in present.items() if has_store_access]
    return hashing.rank(MAX_STORE_WATCHERS, with_store or present)
