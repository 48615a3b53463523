"""Free ports on loopback."""

import itertools
import os
import socket

__all__ = ["free_ports"]

FIRST_PORT = 10_000
PORT_COUNT = 20_000
OFFSET_PER_PROCESS = 97
# Test processes that run in parallel must not choose the same port at the same time.
PORTS_PER_WORKER = 5_000


def first_offset() -> int:
    """Return where this process starts to look, by its number among parallel test processes."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "").removeprefix("gw")
    return int(worker) * PORTS_PER_WORKER if worker else os.getpid() * OFFSET_PER_PROCESS


# The ports lie below the kernel's range for outgoing connections, which could take a port between
# its choice and its use.
offsets = itertools.count(first_offset())


def free_ports(count: int) -> list[int]:
    """Return distinct ports on which nothing listens."""
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(offsets) % PORT_COUNT
        if is_free(port):
            ports.append(port)
    return ports


def is_free(port: int) -> bool:
    """Return whether nothing listens on a port."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
