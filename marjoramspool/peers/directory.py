"""Which other routers there are, and which of them are heard of."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["Directory", "Peer"]

SILENT_AFTER_S = 1.6
# Those heard through a relay are given the time in which the relay is replaced.
RELAYED_SILENT_AFTER_S = 4.0
FORGET_AFTER_S = 120.0
# A router that was introduced may be taken for present this long before it is heard of.
BENEFIT_S = 3.0
# A router that has just started may not know the others yet.
FEWEST = 4


@dataclass(slots=True)
class Peer:
    """Hold what is known of one other router."""

    address: str
    domain: str
    introduced: float
    link_mbps: int = 0
    heard: float | None = None
    heard_directly: float | None = None
    is_relayed: bool = False
    # Until when this router is not taken for a relay, since it said nothing as one.
    mute_until: float = 0.0
    start: int = 0
    number: int = 0
    table_revision: int = 0
    engines_revision: int = 0
    engines_digest: int = 0
    has_store: bool = True


class Directory:
    """Know the other routers, by address."""

    __slots__ = ("clock", "domain", "link_mbps", "me", "on_silent", "peers", "silent")

    def __init__(self, me: str, domain: str, link_mbps: int, clock: Callable[[], float] = now):
        self.me = me
        self.domain = domain
        self.link_mbps = link_mbps
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.silent: set[str] = set()
        self.on_silent: list[Callable[[Peer], None]] = []

    def introduce(self, address: str, domain: str, link_mbps: int) -> None:
        """Take in that a router may be at an address."""
        if address != self.me and address not in self.peers:
            self.peers[address] = Peer(address, domain, self.clock(), link_mbps)

    def hear(self, address: str, domain: str, is_relayed: bool = False) -> Peer:
        """Take in a sign of life, direct or through a relay."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(address, domain, self.clock())
        if peer.heard is None or address in self.silent:
            log(Event.MEMBER_ALIVE, address=address, domain=domain)
        peer.heard = self.clock()
        peer.is_relayed = is_relayed
        if not is_relayed:
            peer.heard_directly = peer.heard
            peer.mute_until = 0.0
        self.silent.discard(address)
        return peer

    def is_heard(self, peer: Peer) -> bool:
        """Tell whether a router has been heard of lately."""
        bound_s = RELAYED_SILENT_AFTER_S if peer.is_relayed else SILENT_AFTER_S
        return peer.heard is not None and self.clock() - peer.heard < bound_s

    def heard(self) -> list[Peer]:
        """Return the routers that are heard of."""
        return [peer for peer in self.peers.values() if self.is_heard(peer)]

    def present(self) -> list[Peer]:
        """Return the routers that are heard of, and those just introduced."""
        moment = self.clock()
        return [
            peer
            for peer in self.peers.values()
            if self.is_heard(peer) or (peer.heard is None and moment - peer.introduced < BENEFIT_S)
        ]

    def size(self) -> int:
        """Return how many routers there are at most, with this one."""
        return max(FEWEST, 1 + len(self.peers))

    def expire(self) -> None:
        """Note the routers that have fallen silent, and forget those long gone."""
        moment = self.clock()
        for peer in list(self.peers.values()):
            since = peer.introduced if peer.heard is None else peer.heard
            if moment - since > FORGET_AFTER_S:
                del self.peers[peer.address]
                self.silent.discard(peer.address)
            elif peer.heard is not None and not self.is_heard(peer):
                self.note_silent(peer)

    def note_silent(self, peer: Peer) -> None:
        """Record, once, that a router is no longer heard of."""
        if peer.address in self.silent:
            return
        self.silent.add(peer.address)
        log(Event.MEMBER_DEAD, address=peer.address, heard=round(self.clock() - peer.heard, 3))
        for call in self.on_silent:
            call(peer)
