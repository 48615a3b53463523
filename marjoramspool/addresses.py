"""Addresses at which processes listen."""

import ipaddress

__all__ = ["is_endpoint", "is_ipv4"]

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_ipv4(text: str) -> bool:
    """Return whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def is_endpoint(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port from 1 to 65535, as `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    return 1 <= int(port) <= MAX_PORT and is_ipv4(host)
