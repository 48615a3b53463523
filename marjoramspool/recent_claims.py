"""Claims that this router made recently, to be written again if the store forgets them.

Fault: the store is restored from a copy some seconds old, and the claims of these seconds are gone.
A repeat of such a key would be granted and run a second time.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import MAX_COPY_AGE_S
from marjoramspool.ledger import Finish, Granted, Operation, Release, Result, Take

__all__ = ["RecentClaims"]

# Time for all routers to learn of the restoration and to write their claims again.
RESTORATION_S = 3.0


@dataclass(slots=True)
class RecentClaim:
    """Granted claim and, once it is known, its outcome; `at` is a time of the clock."""

    take: Take
    at: float
    outcome: Finish | None = None


class RecentClaims:
    """Granted claims of the last minute, by key."""

    __slots__ = ("claims", "clock", "restoring_until")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.claims: OrderedDict[str, RecentClaim] = OrderedDict()
        self.restoring_until = 0.0

    def record(self, operation: Operation, result: Result) -> None:
        """Record the result of an operation of this router."""
        self.expire()
        claim = self.claims.get(operation.key)
        match operation:
            case Take() if isinstance(result, Granted):
                self.claims[operation.key] = RecentClaim(operation, self.clock())
            case Finish(_, attempt) if claim and claim.take.attempt == attempt:
                claim.outcome = operation
            case Release(_, attempt) if claim and claim.take.attempt == attempt:
                del self.claims[operation.key]

    def begin_restoration(self) -> Iterator[Operation]:
        """Yield the operations to write again, and grant no new claims for a time."""
        self.restoring_until = self.clock() + RESTORATION_S
        self.expire()
        for claim in list(self.claims.values()):
            yield claim.take
            if claim.outcome:
                yield claim.outcome

    def is_restoring(self) -> bool:
        """Return whether claims of other routers may still be missing in the store."""
        return self.clock() < self.restoring_until

    def expire(self) -> None:
        """Remove the claims that are older than any copy."""
        oldest = self.clock() - MAX_COPY_AGE_S
        for key, claim in list(self.claims.items()):
            if claim.at >= oldest:
                break
            del self.claims[key]
