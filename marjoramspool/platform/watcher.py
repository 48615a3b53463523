"""Following the platform: service documents by watches, and the host list by polls."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from marjoramspool import hashing
from marjoramspool.configuration import KIND, Configuration
from marjoramspool.membership import Membership
from marjoramspool.platform.client import Host, Platform, PlatformError
from marjoramspool.targets import Targets

__all__ = ["Watcher"]

WATCHERS_IN_A_DOMAIN = 2
HOST_READERS_IN_A_DOMAIN = 1
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
NOTHING_READ = -1
LEAVING_SOURCE = "host-list"


class Watcher:
    """Follow the platform on behalf of a failure domain.

    Only the first two live routers of each domain watch; the others hear from peers. A router
    that knows no document yet reads for itself.
    """

    __slots__ = (
        "after",
        "configuration",
        "host_period_s",
        "membership",
        "on_hosts",
        "platform",
        "targets",
        "watch_s",
    )

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        membership: Membership,
        targets: Targets,
        watch_s: float,
        host_period_s: float,
        on_hosts: Callable[[list[Host]], None] = lambda hosts: None,
    ):
        self.platform = platform
        self.configuration = configuration
        self.membership = membership
        self.targets = targets
        self.watch_s = watch_s
        self.host_period_s = host_period_s
        self.on_hosts = on_hosts
        self.after = NOTHING_READ

    def is_watcher(self, count: int = WATCHERS_IN_A_DOMAIN) -> bool:
        """Tell whether this router is among the first live ones of its failure domain."""
        me = self.membership.me
        names = {m.name for m in self.membership.alive() if m.domain == me.domain}
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
        self.after = max(self.after, listing.version)
        self.configuration.is_complete = True

    async def follow_hosts(self) -> None:
        """Poll the host list, for ever."""
        while True:
            if self.is_watcher(HOST_READERS_IN_A_DOMAIN) or not self.membership.others():
                with suppress(PlatformError):
                    self.note_hosts(await self.platform.hosts())
            await asyncio.sleep(self.host_period_s * random.uniform(0.8, 1.2))

    def note_hosts(self, hosts: list[Host]) -> None:
        """Take routers as possible members, and leaving targets as evidence."""
        for host in hosts:
            if host.role == "router":
                self.membership.introduce(host.name, host.address, host.domain, host.operators)
            elif host.leaving:
                self.targets.note_leaving(host.address, LEAVING_SOURCE)
            else:
                self.targets.clear_leaving(host.address, LEAVING_SOURCE)
        self.on_hosts(hosts)
