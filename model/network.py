"""Datagrams between modelled routers, with their delays and sizes."""

from collections import Counter

from model.time import VirtualTime

__all__ = ["Transport", "Wire"]


class Wire:
    """Carry datagrams between routers, and count their bytes by who sends and who receives."""

    def __init__(self, time: VirtualTime, near_s: float, far_s: float):
        self.time = time
        self.near_s = near_s
        self.far_s = far_s
        self.ends = {}
        self.sent = Counter()
        self.received = Counter()

    def attach(self, load_broadcast) -> None:
        """Connect a router."""
        load_broadcast.transport = Transport(self, load_broadcast)
        self.ends[load_broadcast.directory.local_address] = load_broadcast

    def clear(self) -> None:
        """Count bytes anew."""
        self.sent.clear()
        self.received.clear()

    def carry(self, sender, address: str, message: bytes) -> None:
        """Deliver a datagram after its delay."""
        receiver = self.ends.get(address)
        if receiver is None:
            return
        me = sender.directory.local_address
        self.sent[me] += len(message)
        self.received[address] += len(message)
        is_near = sender.directory.domain == receiver.directory.domain
        delay_s = self.near_s if is_near else self.far_s
        self.time.after(delay_s, lambda: receiver.datagram_received(message, (me, 0)))


class Transport:
    """Stand for the datagram socket of one router."""

    __slots__ = ("sender", "wire")

    def __init__(self, wire: Wire, sender):
        self.wire = wire
        self.sender = sender

    def sendto(self, message: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.wire.carry(self.sender, address[0], message)
