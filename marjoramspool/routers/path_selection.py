"""Which router serves a request of this one, which has no path to its targets.

Fault: a whole failure domain is cut off, or the targets are down for everyone. Routers that say
that they have no path either are passed over, and so is their failure domain while another is left.
"""

import random
import time
from collections import Counter
from collections.abc import Callable

from marjoramspool.membership import Member, Membership
from marjoramspool.peers.peer_selection import select_peer

__all__ = ["PathSelection"]

# A router that could not be reached is passed over for this long.
AVOIDED_S = 1.0
# A router of the previous revision has no such method until it is replaced.
UNSUPPORTED_S = 30.0
# A router without a path itself is asked again after this time.
WITHOUT_PATH_S = 1.0
# Requests that this router has at another one at a time.
MAX_OUTSTANDING = 64
# Targets are down for everyone if this many routers of all known failure domains say so.
MIN_REPORTS_OF_OUTAGE = 3


class PathSelection:
    """What is known of the other routers as paths to targets."""

    __slots__ = (
        "avoided_until",
        "clock",
        "in_flight",
        "membership",
        "outstanding",
        "random",
        "without_path_until",
    )

    def __init__(self, membership: Membership, clock: Callable[[], float] = time.monotonic):
        self.membership = membership
        self.clock = clock
        self.random = random.Random()
        self.avoided_until: dict[str, float] = {}
        self.without_path_until: dict[tuple[str, str], float] = {}
        # Requests of this router at others, and those that others have said to have.
        self.outstanding: Counter[str] = Counter()
        self.in_flight: dict[str, int] = {}

    def select(self, service: str, exclude: set[str]) -> Member | None:
        """Return the router to send a request through, None if there is none."""
        peers = self.membership.live_peers()
        without_path = [peer for peer in peers if self.is_without_path(peer, service)]
        domains = {peer.domain for peer in without_path}
        usable = [
            peer
            for peer in peers
            if peer not in without_path
            and peer.name not in exclude
            and self.avoided_until.get(peer.name, 0.0) <= self.clock()
            and self.outstanding[peer.name] < MAX_OUTSTANDING
        ]
        others = [peer for peer in usable if peer.domain not in domains]
        if not others and len(without_path) >= MIN_REPORTS_OF_OUTAGE:
            return None
        candidates = others or usable
        own_domain = self.membership.local_member.domain
        near = [peer for peer in candidates if peer.domain == own_domain]
        far = [peer for peer in candidates if peer.domain != own_domain]
        return select_peer(near, far, self.load, self.random)

    def load(self, peer: Member) -> int:
        """Return the requests that a router has, as far as this one knows."""
        return self.in_flight.get(peer.name, 0) + self.outstanding[peer.name]

    def is_without_path(self, peer: Member, service: str) -> bool:
        """Return whether a router said lately that it has no path to a service."""
        return self.without_path_until.get((peer.name, service), 0.0) > self.clock()

    def record_unreachable(self, peer: Member) -> None:
        """Pass a router over that did not answer or has no room."""
        self.avoided_until[peer.name] = self.clock() + AVOIDED_S

    def record_unsupported(self, peer: Member) -> None:
        """Pass a router over that does not serve requests of others."""
        self.avoided_until[peer.name] = self.clock() + UNSUPPORTED_S

    def record_without_path(self, peer: Member, service: str) -> None:
        """Pass a router over for a service to which it has no path."""
        self.without_path_until[peer.name, service] = self.clock() + WITHOUT_PATH_S

    def record_accepted(self, peer: Member, in_flight: int) -> None:
        """Record the load of a router that has accepted a request."""
        self.in_flight[peer.name] = in_flight
