"""Directory of the other routers, with failure detection by heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["Directory", "Peer"]

HEARTBEAT_TIMEOUT_S = 1.6
# Long enough for a failed relay to be replaced.
RELAYED_HEARTBEAT_TIMEOUT_S = 4.0
DEAD_RETENTION_S = 120.0
# A newly added router is presumed live for this long before its first heartbeat.
NEW_PEER_GRACE_S = 3.0
# Peers that are presumed live are found again after this time, or when one appears or returns.
PRESUMED_AGE_S = 0.05
# A router that has just started may not know its peers yet.
MIN_FLEET_SIZE = 4


@dataclass(slots=True)
class Peer:
    """State of one other router."""

    address: str
    domain: str
    added_at: float
    link_mbps: int = 0
    last_seen: float | None = None
    last_seen_directly: float | None = None
    is_relayed: bool = False
    # Set when the router sent nothing as a relay; it is not selected as one before this time.
    relay_excluded_until: float = 0.0
    boot_id: int = 0
    sequence_number: int = 0
    table_revision: int = 0
    table_version: int = 0
    engines_revision: int = 0
    engines_digest: int = 0
    has_store: bool = True
    # Revision of the messages that the router understands; 0 in releases before there was one.
    message_revision: int = 0
    # Whether the router serves requests for others, the ids of the services that it cannot reach,
    # and its requests in flight.
    takes_forwarded: bool = False
    cut_off: tuple[int, ...] = ()
    in_flight: int = 0


class Directory:
    """The other routers, by address."""

    __slots__ = (
        "clock",
        "dead_addresses",
        "domain",
        "link_mbps",
        "local_address",
        "on_dead",
        "peers",
        "presumed",
        "presumed_at",
    )

    def __init__(
        self, local_address: str, domain: str, link_mbps: int, clock: Callable[[], float] = now
    ):
        self.local_address = local_address
        self.domain = domain
        self.link_mbps = link_mbps
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.dead_addresses: set[str] = set()
        self.on_dead: list[Callable[[Peer], None]] = []
        self.presumed: list[Peer] = []
        self.presumed_at: float | None = None

    def add_peer(self, address: str, domain: str, link_mbps: int) -> None:
        """Add a router that may be running at an address."""
        if address != self.local_address and address not in self.peers:
            self.peers[address] = Peer(address, domain, self.clock(), link_mbps)
            self.presumed_at = None

    def record_heartbeat(self, address: str, domain: str, is_relayed: bool = False) -> Peer:
        """Record a heartbeat, received directly or through a relay."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(address, domain, self.clock())
        if peer.last_seen is None or address in self.dead_addresses:
            log(Event.MEMBER_ALIVE, address=address, domain=domain)
            self.presumed_at = None
        peer.last_seen = self.clock()
        peer.is_relayed = is_relayed
        if not is_relayed:
            peer.last_seen_directly = peer.last_seen
            peer.relay_excluded_until = 0.0
        self.dead_addresses.discard(address)
        return peer

    def is_live(self, peer: Peer) -> bool:
        """Return whether the last heartbeat is within the timeout."""
        timeout_s = RELAYED_HEARTBEAT_TIMEOUT_S if peer.is_relayed else HEARTBEAT_TIMEOUT_S
        return peer.last_seen is not None and self.clock() - peer.last_seen < timeout_s

    def live_peers(self) -> list[Peer]:
        """Return the routers whose heartbeats arrive."""
        return [peer for peer in self.peers.values() if self.is_live(peer)]

    def presumed_live_peers(self) -> list[Peer]:
        """Return the live routers and those added recently without a heartbeat yet.

        The list is at most `PRESUMED_AGE_S` old; do not modify it. Each report asks for it several
        times, and in a fleet of hundreds to make it costs more than the report.
        """
        now_s = self.clock()
        if self.presumed_at is None or now_s - self.presumed_at >= PRESUMED_AGE_S:
            self.presumed_at = now_s
            self.presumed = self.find_presumed_live(now_s)
        return self.presumed

    def find_presumed_live(self, now_s: float) -> list[Peer]:
        """Return what `presumed_live_peers` returns, as of now."""
        return [
            peer
            for peer in self.peers.values()
            if self.is_live(peer)
            or (peer.last_seen is None and now_s - peer.added_at < NEW_PEER_GRACE_S)
        ]

    def is_first(self, key: int) -> bool:
        """Return whether this router ranks first for a key among those that are live."""
        names = [peer.address for peer in self.live_peers()]
        return hashing.rank(key, [*names, self.local_address])[0] == self.local_address

    def size(self) -> int:
        """Return an upper bound of the fleet size, including this router."""
        return max(MIN_FLEET_SIZE, 1 + len(self.peers))

    def expire(self) -> None:
        """Mark routers without recent heartbeats as dead; remove those dead for long."""
        now_s = self.clock()
        for peer in list(self.peers.values()):
            since = peer.added_at if peer.last_seen is None else peer.last_seen
            if now_s - since > DEAD_RETENTION_S:
                del self.peers[peer.address]
                self.dead_addresses.discard(peer.address)
            elif peer.last_seen is not None and not self.is_live(peer):
                self.mark_dead(peer)

    def mark_dead(self, peer: Peer) -> None:
        """Mark a router as dead, log it and call `on_dead`, unless it is marked already."""
        if peer.address in self.dead_addresses:
            return
        self.dead_addresses.add(peer.address)
        log(Event.MEMBER_DEAD, address=peer.address, heard=round(self.clock() - peer.last_seen, 3))
        for callback in self.on_dead:
            callback(peer)
