"""Status that a router reports to its operators."""

import msgspec

__all__ = ["CellStatus", "ControlStatus", "MemberStatus", "Status"]


class MemberStatus(msgspec.Struct, frozen=True):
    """State of one router as seen by another."""

    name: str
    address: str
    operators: str
    domain: str
    state: str


class CellStatus(msgspec.Struct, frozen=True):
    """Load of a cell that a router owns, in requests."""

    loads: dict[str, int]
    waiting: int


class ControlStatus(msgspec.Struct, frozen=True):
    """Coordination traffic since the start of the router, sent and received."""

    router_bytes: int
    platform_bytes: int
    report_bytes: int
    platform_calls: int


class Status(msgspec.Struct, frozen=True):
    """Status of one router."""

    router: str
    domain: str
    is_ready: bool
    is_draining: bool
    in_flight: int
    versions: dict[str, int]
    faults: dict[str, str]
    members: list[MemberStatus]
    owned: dict[str, CellStatus]
    leaving: list[str]
    # None if the router does not count its coordination traffic.
    control: ControlStatus | None
    counts: dict[str, int]
    leases: dict[str, int]
