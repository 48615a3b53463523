"""Limits of the platform on a process, and the part of them that clients get."""

import resource
from dataclasses import dataclass

from marjoramspool.admission.client_budget import BudgetLimits

__all__ = ["DEFAULT_MEMORY_BYTES", "ProcessLimits", "client_limits", "open_file_limit"]

MEBIBYTE = 1 << 20
DEFAULT_MEMORY_BYTES = 300 * MEBIBYTE
# The process itself: interpreter, libraries, and what it knows of the fleet.
PROCESS_BYTES = 72 * MEBIBYTE
# Shares of the rest. What remains is for what the allocator does not give back.
REQUEST_SHARE = 0.5
ANSWER_SHARE = 0.25
MIN_CLIENT_BYTES = 8 * MEBIBYTE
# Descriptors of files, and the share of the others for the store, peers, pages and new connections.
FILE_DESCRIPTORS = 200
RESERVED_SHARE = 0.125
MIN_CONNECTIONS = 16


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """Memory in bytes and descriptors that the process may have."""

    memory_bytes: int
    descriptors: int


def open_file_limit() -> int:
    """Return how many descriptors the operating system lets this process open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def client_limits(limits: ProcessLimits) -> BudgetLimits:
    """Return the limits on all clients together.

    Each client connection may need another one to a target.
    """
    spare_bytes = max(MIN_CLIENT_BYTES, limits.memory_bytes - PROCESS_BYTES)
    sockets = (limits.descriptors - FILE_DESCRIPTORS) * (1.0 - RESERVED_SHARE)
    return BudgetLimits(
        request_bytes=int(REQUEST_SHARE * spare_bytes),
        answer_bytes=int(ANSWER_SHARE * spare_bytes),
        connections=max(MIN_CONNECTIONS, int(sockets / 2)),
    )
