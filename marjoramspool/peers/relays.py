"""Who tells whom, so that a router's share does not grow with the square of the fleet.

The pattern it answers: many small hosts on thin links. Up to `MAX_FULL_MESH_ROUTERS` routers tell each other
directly. In a larger fleet one router of each failure domain, on one of its best links, passes on
what the routers of its domain tell: to the other relays, and to its own domain.
"""

from marjoramspool import hashing
from marjoramspool.peers.directory import Directory, Peer

__all__ = [
    "MAX_FULL_MESH_ROUTERS",
    "RelayMonitor",
    "is_full_mesh",
    "own_domain_peers",
    "select_relay",
    "other_domain_relays",
    "select_store_watchers",
]

MAX_FULL_MESH_ROUTERS = 12
# Routers that watch the store for the fleet, when not all do.
MAX_STORE_WATCHERS = 4
# A relay gives a sign of life more than twice in this time.
RELAY_TIMEOUT_S = 1.0
RELAY_EXCLUSION_S = 4.0
# A host that checks less often than this has been suspended.
SUSPENSION_THRESHOLD_S = 0.6


def is_full_mesh(directory: Directory) -> bool:
    """Tell whether all routers tell each other directly."""
    return len(directory.peers) < MAX_FULL_MESH_ROUTERS


def select_relay(directory: Directory, domain: str) -> str | None:
    """Return the address of a failure domain's relay, None if no router of it is present."""
    moment = directory.clock()
    links = {
        peer.address: peer.link_mbps
        for peer in directory.presumed_live_peers()
        if peer.domain == domain and peer.relay_excluded_until <= moment
    }
    if domain == directory.domain:
        links[directory.local_address] = directory.link_mbps
    if not links:
        return None
    highest_mbps = max(links.values())
    return hashing.rank(
        hashing.digest(domain), [a for a, link in links.items() if link == highest_mbps]
    )[0]


def other_domain_relays(directory: Directory) -> list[str]:
    """Return the relays of the other failure domains."""
    domains = {peer.domain for peer in directory.presumed_live_peers()} - {directory.domain}
    relay_addresses = [select_relay(directory, domain) for domain in sorted(domains)]
    return [address for address in relay_addresses if address is not None]


class RelayMonitor:
    """Pass over relays that say nothing, also right after they were chosen.

    What is known of a relay's successor came through that relay and is as old; hosts of one failure
    domain may stand still together.
    """

    __slots__ = ("checked_at", "directory", "expected_since")

    def __init__(self, directory: Directory):
        self.directory = directory
        self.expected_since: dict[str, float] = {}
        self.checked_at = directory.clock()

    def check(self, addresses: list[str]) -> None:
        """Take in which relays should be heard directly now."""
        moment = self.directory.clock()
        if moment - self.checked_at > SUSPENSION_THRESHOLD_S:
            # This host stood still, so that nobody could be heard.
            self.expected_since.clear()
        self.checked_at = moment
        self.expected_since = {
            address: self.expected_since.get(address, moment) for address in addresses
        }
        for address, since in self.expected_since.items():
            peer = self.directory.peers.get(address)
            if peer and moment - max(since, peer.last_seen_directly or since) > RELAY_TIMEOUT_S:
                peer.relay_excluded_until = moment + RELAY_EXCLUSION_S


def own_domain_peers(directory: Directory) -> list[Peer]:
    """Return the other routers of this one's failure domain."""
    return [peer for peer in directory.presumed_live_peers() if peer.domain == directory.domain]


def select_store_watchers(directory: Directory, has_store: bool) -> set[str]:
    """Return the routers that watch the store: all of a small fleet, some of a large one.

    Routers that the store does not answer give way to others.
    """
    present = {peer.address: peer.has_store for peer in directory.presumed_live_peers()}
    present[directory.local_address] = has_store
    if is_full_mesh(directory):
        return set(present)
    with_store = [address for address, has_store_access in present.items() if has_store_access]
    return set(hashing.rank(MAX_STORE_WATCHERS, with_store or present)[:MAX_STORE_WATCHERS])
