"""Free ports on loopback."""

import socket

__all__ = ["free_ports"]


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now, all different."""
    sockets = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        sockets.append(listener)
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports
