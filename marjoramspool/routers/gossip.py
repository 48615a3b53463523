"""Gossip in probes: membership, document versions and drain reports of targets."""

import asyncio
import random

from marjoramspool.configuration import Configuration
from marjoramspool.engine_state.poison_parts import PoisonDetector
from marjoramspool.membership import Member, Membership, State
from marjoramspool.peers.poison_reports import apply_poison_reports
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers.convert import decode_member, encode_member
from marjoramspool.routers.limit_gossip import apply_limits, encode_limits
from marjoramspool.routers.links import Links
from marjoramspool.routers.poison_gossip import encode_poison_report
from marjoramspool.storage import Platform
from marjoramspool.targets import Targets

__all__ = ["Gossip"]

PUSH_FANOUT = 3
FULL_SYNC_INTERVAL_PER_MEMBER_S = 0.02
FETCH_TIMEOUT_S = 2.0
DRAIN_REPORT_SOURCE = "peers"
DRAIN_REPORT_MAX_AGE_S = 4.0


class Gossip:
    """Exchange of soft state with other routers.

    Newer documents are fetched from the router that announced them.
    """

    __slots__ = (
        "configuration",
        "heard_at",
        "last_full_sync",
        "links",
        "membership",
        "platform",
        "poison",
        "targets",
        "tasks",
        "timeout_s",
    )

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        targets: Targets,
        links: Links,
        platform: Platform,
        poison: PoisonDetector,
        timeout_s: float,
    ):
        self.poison = poison
        self.platform = platform
        self.membership = membership
        self.configuration = configuration
        self.targets = targets
        self.links = links
        self.timeout_s = timeout_s
        self.last_full_sync = 0.0
        # Time of the last exchange with any other router.
        self.heard_at = membership.clock()
        self.tasks: set[asyncio.Task] = set()
        configuration.changes.subscribe(lambda _: self.push())
        poison.on_news.append(self.push)
        targets.limits.on_news.append(self.push)

    def silence_s(self) -> float:
        """Return the time since the last exchange with any other router, in seconds."""
        return self.membership.clock() - self.heard_at

    def probe_request(self, versions: dict[str, int] | None = None) -> pb.ProbeRequest:
        """Return a probe with the updates that other routers may not have."""
        return pb.ProbeRequest(
            sender=encode_member(self.membership.local_member),
            members=[encode_member(member) for member in self.membership.next_updates()],
            versions=encode_versions(versions or {}),
            leaving=self.drain_reports(),
            versions_digest=self.configuration.versions_digest(),
            members_digest=self.membership.digest(),
            store_epoch=self.platform.epoch,
            poison=encode_poison_report(self.poison),
            limits=encode_limits(self.targets.limits),
        )

    def drain_reports(self) -> list[pb.Evidence]:
        """Return the recent drain reports with their ages.

        Routers pass reports on to each other, so a report without an age would never expire.
        """
        ages = self.targets.drain_report_ages(DRAIN_REPORT_MAX_AGE_S)
        return [pb.Evidence(target=t, age_ms=int(age * 1000)) for t, age in ages.items()]

    async def probe(self, member: Member) -> bool:
        """Probe a router and apply its reply; return whether it replied."""
        return await self.exchange(member.address)

    async def exchange(self, address: str, versions: dict[str, int] | None = None) -> bool:
        """Exchange soft state with the router at an address; return whether it replied."""
        reply = await self.links.probe(address, self.probe_request(versions), self.timeout_s)
        if reply is None:
            return False
        self.heard_at = self.membership.clock()
        self.platform.store.advance_epoch(reply.store_epoch)
        self.merge_members(reply.members)
        self.record_drain_reports(reply.leaving)
        apply_poison_reports(self.poison, reply.poison)
        apply_limits(self.targets.limits, reply.limits)
        peer_versions = decode_versions(reply.versions)
        if peer_versions:
            self.schedule_fetch(address, peer_versions)
        if reply.versions_digest != self.configuration.versions_digest() and not versions:
            newer = self.configuration.versions_newer_than(peer_versions)
            if newer:
                self.start(self.exchange(address, newer))
        return True

    async def discover_peers(self, seeds: tuple[str, ...], period_s: float) -> None:
        """Probe the seeds once a period while no other router is known.

        A router that starts while the platform is unavailable knows no other routers.
        """
        while True:
            if not self.membership.live_peers():
                await asyncio.gather(*[self.exchange(seed) for seed in seeds])
            await asyncio.sleep(period_s)

    async def probe_indirectly(self, helper: Member, member: Member) -> bool:
        """Have one router probe another; return whether the probe succeeded."""
        return await self.links.probe_indirectly(helper, member, self.timeout_s)

    async def probe_address(self, address: str) -> bool:
        """Probe an address on behalf of another router."""
        return await self.exchange(address)

    def handle_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Apply the contents of a probe; return a reply with what its sender lacks."""
        sender = decode_member(request.sender)
        self.heard_at = self.membership.clock()
        known = self.membership.members.get(sender.name)
        self.membership.merge(sender)
        self.platform.store.advance_epoch(request.store_epoch)
        self.merge_members(request.members)
        self.record_drain_reports(request.leaving)
        apply_poison_reports(self.poison, request.poison)
        apply_limits(self.targets.limits, request.limits)
        self.schedule_fetch(sender.address, decode_versions(request.versions))
        members = self.membership.next_updates()
        if request.members_digest != self.membership.digest() and self.allow_full_sync():
            members = list(self.membership.members.values()) + [self.membership.local_member]
        elif known and known.state != State.ALIVE:
            members.append(self.membership.members[sender.name])
        versions = {}
        if request.versions_digest != self.configuration.versions_digest():
            versions = self.configuration.versions()
        return pb.ProbeReply(
            members=[encode_member(member) for member in members],
            versions=encode_versions(versions),
            leaving=self.drain_reports(),
            versions_digest=self.configuration.versions_digest(),
            members_digest=self.membership.digest(),
            store_epoch=self.platform.epoch,
            poison=encode_poison_report(self.poison),
            limits=encode_limits(self.targets.limits),
        )

    def allow_full_sync(self) -> bool:
        """Return whether all members may be sent now; if so, the next interval starts.

        The interval between full member lists is proportional to the number of members.
        """
        now = self.membership.clock()
        interval_s = FULL_SYNC_INTERVAL_PER_MEMBER_S * len(self.membership.members)
        if now - self.last_full_sync < interval_s:
            return False
        self.last_full_sync = now
        return True

    def merge_members(self, messages) -> None:
        """Merge the membership updates of another router."""
        for message in messages:
            self.membership.merge(decode_member(message))

    def record_drain_reports(self, messages) -> None:
        """Record the drain reports of another router; a transit allowance is added to their age."""
        for message in messages:
            age_s = message.age_ms / 1000 + self.timeout_s / 10
            self.targets.record_drain_report(message.target, DRAIN_REPORT_SOURCE, age_s)

    def schedule_fetch(self, address: str, versions: dict[str, int]) -> None:
        """Start to fetch the documents of which another router has a newer version."""
        missing = self.configuration.outdated_services(versions)
        if missing:
            self.start(self.fetch(address, missing))

    async def fetch(self, address: str, services: list[str]) -> None:
        """Fetch the documents of some services from the router that announced them."""
        for service in services:
            request = pb.FetchRequest(service=service)
            reply = await self.links.call(address, "Fetch", request, FETCH_TIMEOUT_S)
            if reply is not None and reply.version:
                body = None if reply.deleted else reply.text
                self.configuration.apply_if_newer(service, reply.version, body, address)
        if self.configuration.active:
            self.configuration.is_complete = True

    def push(self) -> None:
        """Tell a few random routers of a new document version or end, which they pass on."""
        if not self.is_loop_running():
            return
        others = self.membership.live_peers()
        for member in random.sample(others, min(PUSH_FANOUT, len(others))):
            self.start(self.exchange(member.address, self.configuration.versions()))

    def is_loop_running(self) -> bool:
        """Return whether an event loop is running, so that tasks can be started."""
        try:
            asyncio.get_running_loop()
        except RuntimeError:
            return False
        return True

    def start(self, coroutine) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Cancel all background tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def encode_versions(versions: dict[str, int]) -> list[pb.Version]:
    """Encode document versions."""
    return [pb.Version(service=name, version=version) for name, version in versions.items()]


def decode_versions(messages) -> dict[str, int]:
    """Decode document versions."""
    return {message.service: message.version for message in messages}
