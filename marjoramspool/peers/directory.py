"""Which other routers there are, and which of them are heard of."""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = ["Directory", "Peer"]

SILENT_AFTER_S = 1.6
FORGET_AFTER_S = 120.0
# A router that has just started may not know the others yet.
FEWEST = 4


@dataclass(slots=True)
class Peer:
    """Hold what is known of one other router."""

    name: str
    address: str
    heard: float | None = None
    number: int = 0
    table_revision: int = 0
    engines_revision: int = 0
    engines_digest: int = 0
    is_leaving: bool = False


class Directory:
    """Know the other routers, by address."""

    __slots__ = ("clock", "me", "on_silent", "peers", "silent")

    def __init__(self, me: str, clock: Callable[[], float] = now):
        self.me = me
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.silent: set[str] = set()
        self.on_silent: list[Callable[[Peer], None]] = []

    def introduce(self, name: str, address: str) -> None:
        """Take in that a router may be at an address."""
        if address != self.me and address not in self.peers:
            self.peers[address] = Peer(name, address)

    def hear(self, name: str, address: str) -> Peer:
        """Take in a sign of life."""
        peer = self.peers.setdefault(address, Peer(name, address))
        peer.name = name
        if peer.heard is None or address in self.silent:
            log(Event.MEMBER_ALIVE, router=name, address=address)
        peer.heard = self.clock()
        self.silent.discard(address)
        return peer

    def is_heard(self, peer: Peer) -> bool:
        """Tell whether a router has been heard of lately."""
        return peer.heard is not None and self.clock() - peer.heard < SILENT_AFTER_S

    def heard(self) -> list[Peer]:
        """Return the routers that are heard of."""
        return [peer for peer in self.peers.values() if self.is_heard(peer)]

    def size(self) -> int:
        """Return how many routers there are at most, with this one."""
        return max(FEWEST, 1 + len(self.peers))

    def expire(self) -> None:
        """Note the routers that have fallen silent, and forget those long gone."""
        moment = self.clock()
        for peer in list(self.peers.values()):
            if peer.heard is None or self.is_heard(peer):
                continue
            if peer.address not in self.silent:
                self.silent.add(peer.address)
                log(Event.MEMBER_DEAD, router=peer.name, heard_s=round(moment - peer.heard, 3))
                for call in self.on_silent:
                    call(peer)
            if moment - peer.heard > FORGET_AFTER_S:
                del self.peers[peer.address]
                self.silent.discard(peer.address)
