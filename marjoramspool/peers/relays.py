"""Who tells whom, so that a router's share does not grow with the square of the fleet.

The pattern it answers: many small hosts on thin links. Up to `DIRECT_UP_TO` routers tell each other
directly. In a larger fleet one router of each failure domain, on one of its best links, passes on
what the routers of its domain tell: to the other relays, and to its own domain.
"""

from marjoramspool import hashing
from marjoramspool.peers.directory import Directory, Peer

__all__ = ["DIRECT_UP_TO", "is_direct", "own_domain", "relay_of", "relays", "watchers"]

DIRECT_UP_TO = 12
# Routers that watch the store for the fleet, when not all do.
WATCHERS = 4


def is_direct(directory: Directory) -> bool:
    """Tell whether all routers tell each other directly."""
    return len(directory.peers) < DIRECT_UP_TO


def relay_of(directory: Directory, domain: str) -> str | None:
    """Return the address of a failure domain's relay, None if no router of it is present."""
    links = {p.address: p.link_mbps for p in directory.present() if p.domain == domain}
    if domain == directory.domain:
        links[directory.me] = directory.link_mbps
    if not links:
        return None
    best = max(links.values())
    return hashing.rank(hashing.digest(domain), [a for a, link in links.items() if link == best])[0]


def relays(directory: Directory) -> list[str]:
    """Return the relays of the other failure domains."""
    domains = {peer.domain for peer in directory.present()} - {directory.domain}
    found = [relay_of(directory, domain) for domain in sorted(domains)]
    return [address for address in found if address is not None]


def own_domain(directory: Directory) -> list[Peer]:
    """Return the other routers of this one's failure domain."""
    return [peer for peer in directory.present() if peer.domain == directory.domain]


def watchers(directory: Directory, has_store: bool) -> set[str]:
    """Return the routers that watch the store: all of a small fleet, some of a large one.

    Routers that the store does not answer give way to others.
    """
    present = {peer.address: peer.has_store for peer in directory.present()}
    present[directory.me] = has_store
    if is_direct(directory):
        return set(present)
    served = [address for address, is_served in present.items() if is_served]
    return set(hashing.rank(WATCHERS, served or present)[:WATCHERS])
