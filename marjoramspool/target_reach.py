"""Targets of the service documents, as the probes see them that show whether they are in reach."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp
from yarl import URL

from marjoramspool.configuration import Configuration
from marjoramspool.document import Document, Target
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.engine_state.reach_monitor import ReachMonitor
from marjoramspool.http import Sessions
from marjoramspool.targets import Targets

__all__ = ["ReachTarget", "TargetList", "TargetProber", "TargetReach"]


@dataclass(slots=True, frozen=True)
class ReachTarget:
    """Target of a service; its address is its id, which no other target has."""

    id: str
    service: str
    address: str
    failure_domain: str


class TargetList:
    """Targets of all documents."""

    __slots__ = ("configuration", "targets")

    def __init__(self, configuration: Configuration, targets: Targets):
        self.configuration = configuration
        self.targets = targets

    @property
    def engines(self) -> dict[str, ReachTarget]:
        """Return all targets by address."""
        documents = self.configuration.documents()
        return {target.id: target for document in documents for target in reach_targets(document)}

    def usable(self, service: str) -> list[ReachTarget]:
        """Return the targets of a service that do not drain; ejected ones are among them."""
        document = self.configuration.document(service)
        if document is None:
            return []
        accepting = {t.address for t in document.targets.values() if self.targets.is_accepting(t)}
        return [target for target in reach_targets(document) if target.address in accepting]


class TargetProber:
    """Opens connections in the way that requests do."""

    __slots__ = ("sessions",)

    def __init__(self, sessions: Sessions):
        self.sessions = sessions

    async def can_connect(self, target: ReachTarget, timeout_s: float) -> bool:
        """Return whether a target accepts a new connection within some seconds."""
        loop = asyncio.get_running_loop()
        request = aiohttp.ClientRequest("GET", URL(f"http://{target.address}/"), loop=loop)
        timeout = aiohttp.ClientTimeout(sock_connect=timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                connector = self.sessions.unpooled.connector
                connection = await connector.connect(request, [], timeout)
        except (aiohttp.ClientError, OSError):
            return False
        connection.close()
        return True


class TargetReach:
    """Whether this router reaches the targets of each service, all, some or none."""

    __slots__ = ("list", "monitor")

    def __init__(self, configuration: Configuration, targets: Targets, sessions: Sessions):
        self.list = TargetList(configuration, targets)
        self.monitor = ReachMonitor(self.list, TargetProber(sessions))
        sessions.has_lost_path = self.has_lost_path

    def path(self, service: str) -> Path:
        """Return how many targets of a service accept connections from here."""
        return self.monitor.reach.path(service)

    async def confirm(self, service: str) -> None:
        """Find out whether a failed attempt is a sign of a cut, unless that was done just now.

        What is known already is not confirmed again, since a request waits for it.
        """
        if self.path(service) is not Path.NONE:
            await self.monitor.confirm(service)

    async def has_lost_path(self, service: str) -> bool:
        """Find out whether no target of a service accepts connections from here."""
        await self.confirm(service)
        return self.path(service) is Path.NONE

    async def can_connect(self, service: str, target: Target) -> bool:
        """Return whether a target accepts a new connection from here."""
        return any(await self.monitor.connect([reach_target(service, target)], 1))

    async def is_behind_cut(self, service: str, target: Target) -> bool:
        """Return whether a target that refuses connections may be sound, behind a cut."""
        return await self.monitor.has_lost_path(reach_target(service, target))


def reach_targets(document: Document) -> Iterator[ReachTarget]:
    """Yield the targets of a document."""
    for target in document.targets.values():
        yield reach_target(document.name, target)


def reach_target(service: str, target: Target) -> ReachTarget:
    """Return a target as the probes see it."""
    return ReachTarget(target.address, service, target.address, target.failure_domain)
