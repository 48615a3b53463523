"""Sockets that notice a connection that has gone silent."""

import socket

__all__ = ["keepalive_socket"]

PROBE_AFTER_IDLE_S = 1
PROBE_EVERY_S = 1
PROBES = 2
UNACKNOWLEDGED_MS = 2500


def keepalive_socket(address_info) -> socket.socket:
    """Return a socket whose peer is probed while nothing comes."""
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return made
