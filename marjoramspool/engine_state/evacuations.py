"""Failure domains that operators have evacuated; their engines get no new requests.

Fault: an order reaches this router through the store or through other routers, in any order, or the
store comes back from a copy that lacks it. The set with the highest version of the store counts. An
order that only a restored store lacks is kept until its operator has had the time to repeat it.
"""

from collections.abc import Callable, Iterable

from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.retry_delay import longest_retry_delay_s
from marjoramspool.store_versions import epoch_of

__all__ = ["AllEvacuated", "Evacuations"]

# Operators write again what a restored store lacks within this time.
RESTORED_HOLD_S = 6.0
RETRY_AFTER_S = 1.0


class AllEvacuated:
    """All engines of a service are in evacuated domains; `retry_after_s` is when to come back."""

    __slots__ = ("retry_after_s",)

    def __init__(self, remaining_s: float, draw: float):
        longest_s = longest_retry_delay_s(remaining_s)
        self.retry_after_s = min(longest_s, RETRY_AFTER_S * (1.0 + draw))


class Evacuations:
    """Evacuated failure domains and the version of the store at which they were; None if unknown.

    `on_change` is called after each change, `on_ended` with each domain that serves again.
    """

    __slots__ = ("clock", "domains", "held_until", "on_change", "on_ended", "version")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.domains: frozenset[str] = frozenset()
        self.version: int | None = None
        # Until when each order counts that a restored store lacks.
        self.held_until: dict[str, float] = {}
        self.on_change: list[Callable[[], None]] = []
        self.on_ended: list[Callable[[str], None]] = []

    def is_evacuated(self, domain: str) -> bool:
        """Return whether the engines of a failure domain get no new requests."""
        return domain in self.domains or domain in self.held_until

    def replace(self, domains: Iterable[str], version: int, source: str) -> bool:
        """Replace the set by that of a newer version; return whether it was newer."""
        if self.version is not None and version <= self.version:
            return False
        before = self.domains | self.held_until.keys()
        self.domains = frozenset(domains)
        if self.version is not None and epoch_of(version) > epoch_of(self.version):
            until = self.clock() + RESTORED_HOLD_S
            self.held_until |= dict.fromkeys(before - self.domains, until)
        for domain in self.domains & self.held_until.keys():
            del self.held_until[domain]
        self.version = version
        self.announce_changes(before, source)
        return True

    def apply_changes(self, changes: Iterable[tuple[str, bool]], version: int) -> None:
        """Apply changes up to a version, each a domain and whether its order was removed."""
        domains = set(self.domains)
        before = self.domains | self.held_until.keys()
        for domain, is_removed in changes:
            if is_removed:
                domains.discard(domain)
                self.held_until.pop(domain, None)
            else:
                domains.add(domain)
        if domains == self.domains:
            self.announce_changes(before, "store")
        else:
            self.replace(domains, version, "store")

    def expire(self) -> None:
        """Drop the orders that nobody has repeated since the store was restored."""
        now_s = self.clock()
        before = self.domains | self.held_until.keys()
        self.held_until = {d: until for d, until in self.held_until.items() if until > now_s}
        self.announce_changes(before, "not repeated after the store was restored")

    def announce_changes(self, before: frozenset[str], source: str) -> None:
        """Log and announce what differs from the domains evacuated `before`."""
        after = self.domains | self.held_until.keys()
        if after == before:
            return
        for domain in sorted(after - before):
            log(Event.EVACUATION_BEGUN, domain=domain, version=self.version, source=source)
        for domain in sorted(before - after):
            log(Event.EVACUATION_ENDED, domain=domain, version=self.version, source=source)
        for call in self.on_change:
            call()
        for domain in sorted(before - after):
            for call in self.on_ended:
                call(domain)
