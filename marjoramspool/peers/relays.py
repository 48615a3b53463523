"""Who tells whom, so that a router's share does not grow with the square of the fleet.

The pattern it answers: many small hosts on thin links. Up to `DIRECT_UP_TO` routers tell each other
directly. In a larger fleet one router of each failure domain, on one of its best links, passes on
what the routers of its domain tell: to the other relays, and to its own domain.
"""

from marjoramspool import hashing
from marjoramspool.peers.directory import Directory, Peer

__all__ = [
    "DIRECT_UP_TO",
    "RelayWatch",
    "is_direct",
    "own_domain",
    "relay_of",
    "relays",
    "watchers",
]

DIRECT_UP_TO = 12
# Routers that watch the store for the fleet, when not all do.
WATCHERS = 4
# A relay gives a sign of life more than twice in this time.
RELAY_SILENT_S = 1.0
PASSED_OVER_S = 4.0
# A host that checks less often than this has been suspended.
STOOD_STILL_S = 0.6


def is_direct(directory: Directory) -> bool:
    """Tell whether all routers tell each other directly."""
    return len(directory.peers) < DIRECT_UP_TO


def relay_of(directory: Directory, domain: str) -> str | None:
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
    best = max(links.values())
    return hashing.rank(hashing.digest(domain), [a for a, link in links.items() if link == best])[0]


def relays(directory: Directory) -> list[str]:
    """Return the relays of the other failure domains."""
    domains = {peer.domain for peer in directory.presumed_live_peers()} - {directory.domain}
    found = [relay_of(directory, domain) for domain in sorted(domains)]
    return [address for address in found if address is not None]


class RelayWatch:
    """Pass over relays that say nothing, also right after they were chosen.

    What is known of a relay's successor came through that relay and is as old; hosts of one failure
    domain may stand still together.
    """

    __slots__ = ("checked_at", "directory", "since")

    def __init__(self, directory: Directory):
        self.directory = directory
        self.since: dict[str, float] = {}
        self.checked_at = directory.clock()

    def expect(self, addresses: list[str]) -> None:
        """Take in which relays should be heard directly now."""
        moment = self.directory.clock()
        if moment - self.checked_at > STOOD_STILL_S:
            # This host stood still, so that nobody could be heard.
            self.since.clear()
        self.checked_at = moment
        self.since = {address: self.since.get(address, moment) for address in addresses}
        for address, since in self.since.items():
            peer = self.directory.peers.get(address)
            if peer and moment - max(since, peer.last_seen_directly or since) > RELAY_SILENT_S:
                peer.relay_excluded_until = moment + PASSED_OVER_S


def own_domain(directory: Directory) -> list[Peer]:
    """Return the other routers of this one's failure domain."""
    return [peer for peer in directory.presumed_live_peers() if peer.domain == directory.domain]


def watchers(directory: Directory, has_store: bool) -> set[str]:
    """Return the routers that watch the store: all of a small fleet, some of a large one.

    Routers that the store does not answer give way to others.
    """
    present = {peer.address: peer.has_store for peer in directory.presumed_live_peers()}
    present[directory.local_address] = has_store
    if is_direct(directory):
        return set(present)
    served = [address for address, is_served in present.items() if is_served]
    return set(hashing.rank(WATCHERS, served or present)[:WATCHERS])
