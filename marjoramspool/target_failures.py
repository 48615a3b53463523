"""Failed connections to targets, told apart by whether other routers reach the target.

Fault: a router is cut off from some targets and owns the admission to them. If it ejected them, no
router would use them any more.
"""

from typing import Protocol

from marjoramspool.document import Target
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.target_reach import TargetReach
from marjoramspool.targets import Targets

__all__ = ["OtherRouters", "TargetFailures"]


class OtherRouters(Protocol):
    """Routers that try a connection to a target for this one."""

    async def is_reached_by_others(self, service: str, target: str) -> bool:
        """Return whether another router can connect to a target."""


class TargetFailures:
    """Records failed connections, as a cut of this router or as a failure of the target."""

    __slots__ = ("others", "reach", "targets")

    def __init__(self, targets: Targets, reach: TargetReach, others: OtherRouters):
        self.targets = targets
        self.reach = reach
        self.others = others

    async def record(self, service: str, target: Target) -> None:
        """Record a failed connection; other routers are asked before a target is ejected."""
        if self.reach.path(service) is Path.NONE:
            return
        is_reached = self.targets.is_last_failure(target.address) and (
            await self.others.is_reached_by_others(service, target.name)
        )
        self.targets.record_failure(target.address, is_reached)
