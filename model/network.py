"""Simulated datagram network between routers, with delays and byte counts."""

from collections import Counter

from model.virtual_clock import VirtualClock

__all__ = ["ModelTransport", "Network"]


class Network:
    """Datagram network that counts bytes by sender and by receiver."""

    def __init__(
        self, clock: VirtualClock, same_domain_delay_s: float, cross_domain_delay_s: float
    ):
        self.clock = clock
        self.same_domain_delay_s = same_domain_delay_s
        self.cross_domain_delay_s = cross_domain_delay_s
        self.endpoints = {}
        self.sent_bytes = Counter()
        self.received_bytes = Counter()

    def attach(self, load_broadcast) -> None:
        """Connect the load broadcast of a router."""
        load_broadcast.transport = ModelTransport(self, load_broadcast)
        self.endpoints[load_broadcast.directory.local_address] = load_broadcast

    def clear(self) -> None:
        """Reset the byte counts."""
        self.sent_bytes.clear()
        self.received_bytes.clear()

    def deliver(self, sender, address: str, message: bytes) -> None:
        """Deliver a datagram after its delay; drop it if no router has the address."""
        receiver = self.endpoints.get(address)
        if receiver is None:
            return
        local_address = sender.directory.local_address
        self.sent_bytes[local_address] += len(message)
        self.received_bytes[address] += len(message)
        is_same_domain = sender.directory.domain == receiver.directory.domain
        delay_s = self.same_domain_delay_s if is_same_domain else self.cross_domain_delay_s
        self.clock.schedule(
            delay_s, lambda: receiver.datagram_received(message, (local_address, 0))
        )


class ModelTransport:
    """Replacement for the datagram transport of one router."""

    __slots__ = ("sender", "network")

    def __init__(self, network: Network, sender):
        self.network = network
        self.sender = sender

    def sendto(self, message: bytes, address: tuple[str, int]) -> None:
        """Send a datagram over the simulated network."""
        self.network.deliver(self.sender, address[0], message)
