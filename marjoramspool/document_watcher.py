"""Following the platform: service documents by watches, and the routers by polls."""

import asyncio
import random
from contextlib import suppress

from marjoramspool import hashing
from marjoramspool.configuration import KIND, Configuration
from marjoramspool.membership import Membership
from marjoramspool.peers.discovery import RouterSpec
from marjoramspool.storage import Listing, Platform, PlatformError

__all__ = ["Watcher"]

WATCHERS_IN_A_DOMAIN = 2
ROUTER_READERS_IN_A_DOMAIN = 1
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
NOTHING_READ = -1


class Watcher:
    """Follow the platform on behalf of a failure domain.

    Only the first two live routers of each domain watch; the others hear from peers. A router
    that knows no document yet reads for itself.
    """

    __slots__ = (
        "after",
        "configuration",
        "is_registered",
        "membership",
        "platform",
        "router_period_s",
        "watch_s",
    )

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        membership: Membership,
        watch_s: float,
        router_period_s: float,
    ):
        self.platform = platform
        self.configuration = configuration
        self.membership = membership
        self.watch_s = watch_s
        self.router_period_s = router_period_s
        self.is_registered = False
        self.after = NOTHING_READ

    def is_watcher(self, count: int = WATCHERS_IN_A_DOMAIN) -> bool:
        """Tell whether this router is among the first live ones of its failure domain."""
        me = self.membership.local_member
        names = {m.name for m in self.membership.live_members() if m.domain == me.domain}
        order = hashing.rank(hashing.digest(me.domain), names | {me.name})
        return me.name in order[:count]

    async def follow_documents(self) -> None:
        """Adopt documents as they change, for ever."""
        pause_s = FIRST_PAUSE_S
        while True:
            if not self.is_watcher() and self.configuration.is_complete:
                self.after = NOTHING_READ
                await asyncio.sleep(self.watch_s)
                continue
            try:
                await self.follow_once()
                pause_s = FIRST_PAUSE_S
            except PlatformError:
                # Jitter spreads the return of many routers after an outage.
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def follow_once(self) -> None:
        """Read all documents once, then those that change."""
        if self.after == NOTHING_READ:
            listing = await self.platform.list_objects(KIND)
        else:
            listing = await self.platform.watch(KIND, self.after, self.watch_s)
        for stored in listing.objects:
            body = stored.value.encode() if stored.value is not None else None
            self.configuration.offer(stored.name, stored.version, body, "platform")
        if listing.is_whole:
            self.note_deleted(listing)
        self.after = max(self.after, listing.version)
        self.configuration.is_complete = True

    def note_deleted(self, listing: Listing) -> None:
        """Take in that documents in force are missing from a whole listing."""
        listed = {stored.name for stored in listing.objects}
        for name, version in self.configuration.versions().items():
            if name not in listed and version < listing.version:
                self.configuration.offer(name, listing.version, None, "platform")

    async def follow_routers(self) -> None:
        """Enter this router, and poll the entries of the others, for ever."""
        while True:
            with suppress(PlatformError):
                await self.register()
                if self.is_watcher(ROUTER_READERS_IN_A_DOMAIN) or not self.membership.live_peers():
                    for name, spec in (await self.platform.routers()).items():
                        self.membership.add_registered(
                            name, spec.address, spec.failure_domain, spec.operators
                        )
            await asyncio.sleep(self.router_period_s * random.uniform(0.8, 1.2))

    async def register(self) -> None:
        """Enter this router once."""
        if self.is_registered:
            return
        me = self.membership.local_member
        await self.platform.register(me.name, RouterSpec(me.address, me.domain, me.operators))
        self.is_registered = True

    async def unregister(self) -> None:
        """Remove this router's entry, if the platform answers."""
        with suppress(PlatformError):
            await self.platform.unregister(self.membership.local_member.name)
