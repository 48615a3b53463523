"""Replication of service documents and router registrations from the platform."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from marjoramspool import hashing
from marjoramspool.configuration import KIND, Configuration
from marjoramspool.events import Event, log
from marjoramspool.membership import Membership
from marjoramspool.peers.discovery import RouterSpec
from marjoramspool.storage import Listing, Platform, PlatformError, Written

__all__ = ["Watcher"]

WATCHERS_PER_DOMAIN = 2
ROUTER_POLLERS_PER_DOMAIN = 1
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
NO_STORE_VERSION = -1
# A router is probed, and probes another, once in each period.
MAX_SILENCE_PERIODS = 1.5
# A busy host may miss probes for shorter than this.
MIN_SILENCE_S = 1.0


class Watcher:
    """Watcher of service documents and poller of router registrations.

    Only the first two live routers of each failure domain watch the documents; the others
    receive them from other routers. A router that has not received any document yet also reads
    from the platform, as does one that hears from no other router: `silence_s` returns for how
    long that has been so, and gossip normally comes once in a `probe_period_s`.

    Fault: a router is cut off from all others and not from the platform. Until it has found each
    of them dead, it would rely on them.
    """

    __slots__ = (
        "configuration",
        "is_registered",
        "membership",
        "platform",
        "probe_period_s",
        "router_poll_period_s",
        "silence_s",
        "store_version",
        "watch_timeout_s",
    )

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        membership: Membership,
        watch_timeout_s: float,
        router_poll_period_s: float,
        probe_period_s: float,
        silence_s: Callable[[], float],
    ):
        self.platform = platform
        self.configuration = configuration
        self.membership = membership
        self.watch_timeout_s = watch_timeout_s
        self.router_poll_period_s = router_poll_period_s
        self.probe_period_s = probe_period_s
        self.silence_s = silence_s
        self.is_registered = False
        self.store_version = NO_STORE_VERSION

    def is_designated(self, count: int = WATCHERS_PER_DOMAIN) -> bool:
        """Return whether this router ranks among the first live ones of its failure domain."""
        local = self.membership.local_member
        names = {m.name for m in self.membership.live_members() if m.domain == local.domain}
        ranking = hashing.rank(hashing.digest(local.domain), names | {local.name})
        return local.name in ranking[:count]

    def relies_on_peers(self) -> bool:
        """Return whether the documents arrive from other routers."""
        is_hearing = self.silence_s() < max(
            MIN_SILENCE_S, MAX_SILENCE_PERIODS * self.probe_period_s
        )
        return is_hearing and self.configuration.is_complete and not self.is_designated()

    async def watch_documents(self) -> None:
        """Synchronize documents with the platform until cancelled, with backoff while it fails."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self.relies_on_peers():
                self.store_version = NO_STORE_VERSION
                await asyncio.sleep(min(self.watch_timeout_s, self.probe_period_s))
                continue
            try:
                await self.sync_once()
                backoff_s = INITIAL_BACKOFF_S
            except PlatformError:
                # Jitter keeps the routers from reconnecting simultaneously after an outage.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def sync_once(self) -> None:
        """Make one list or watch call and apply its result."""
        if self.store_version == NO_STORE_VERSION:
            listing = await self.platform.list_objects(KIND)
        else:
            listing = await self.platform.watch(KIND, self.store_version, self.watch_timeout_s)
        for stored in listing.objects:
            body = stored.value.encode() if stored.value is not None else None
            self.configuration.apply_if_newer(stored.name, stored.version, body, "platform")
        if listing.names is not None:
            self.apply_deletions(listing)
        self.store_version = max(self.store_version, listing.version)
        self.configuration.is_complete = True
        await self.write_lost_documents()

    async def write_lost_documents(self) -> None:
        """Write the active documents again that the store lost; raise PlatformError.

        Another router may be first; its write then arrives as a newer version.
        """
        for name, version in list(self.configuration.lost.items()):
            body = self.configuration.active[name].body.decode()
            written = await self.platform.write(KIND, name, body, version)
            log(Event.DOCUMENT_REWRITTEN, service=name, written=isinstance(written, Written))
            self.configuration.lost.pop(name, None)

    def apply_deletions(self, listing: Listing) -> None:
        """Delete the active documents that are missing from a newer full listing."""
        for name, version in self.configuration.versions().items():
            if name not in listing.names and version < listing.version:
                self.configuration.apply_if_newer(name, listing.version, None, "platform")

    async def poll_routers(self) -> None:
        """Register this router and poll the registrations of the others until cancelled.

        One router of each failure domain polls, and so does any router that knows no other.
        """
        while True:
            with suppress(PlatformError):
                await self.register()
                if (
                    self.is_designated(ROUTER_POLLERS_PER_DOMAIN)
                    or not self.membership.live_peers()
                ):
                    for name, spec in (await self.platform.routers()).items():
                        self.membership.add_registered(
                            name, spec.address, spec.failure_domain, spec.operators
                        )
            await asyncio.sleep(self.router_poll_period_s * random.uniform(0.8, 1.2))

    async def register(self) -> None:
        """Register this router, unless that was done."""
        if self.is_registered:
            return
        local = self.membership.local_member
        await self.platform.register(
            local.name, RouterSpec(local.address, local.domain, local.operators)
        )
        self.is_registered = True

    async def unregister(self) -> None:
        """Remove the registration of this router, if the platform answers."""
        with suppress(PlatformError):
            await self.platform.unregister(self.membership.local_member.name)
