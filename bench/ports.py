"""Free ports on loopback."""

import itertools
import os
import random
import socket

__all__ = ["free_ports"]

FIRST_PORT = 10_000
# Test processes that run in parallel must not choose the same port at the same time. Workers of one
# run have ranges of their own; two runs begin at different places of the same ranges.
WORKERS = 4
PORTS_PER_WORKER = 5_000


def worker_number() -> int:
    """Return the number of this process among parallel test processes."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "").removeprefix("gw")
    return int(worker) if worker else os.getpid()


# The ports lie below the kernel's range for outgoing connections, which could take a port between
# its choice and its use.
first_port = FIRST_PORT + worker_number() % WORKERS * PORTS_PER_WORKER
offsets = itertools.count(random.randrange(PORTS_PER_WORKER))


def free_ports(count: int) -> list[int]:
    """Return distinct ports on which nothing listens."""
    ports: list[int] = []
    while len(ports) < count:
        port = first_port + next(offsets) % PORTS_PER_WORKER
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
