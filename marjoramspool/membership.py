"""SWIM-style membership of routers: probes, suspicion, incarnations and gossip updates.

The cost of probing does not grow with the number of routers.
"""

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import IntEnum

from reactivex import Subject

from marjoramspool import hashing
from marjoramspool.events import Event, log

__all__ = ["Member", "Membership", "State"]

INDIRECT_PROBES = 2
MAX_UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 3
DEAD_MEMBER_RETENTION_S = 60.0
UNRESPONSIVE_PERIOD_S = 2.0
DEAD_PROBE_PROBABILITY = 0.15


class State(IntEnum):
    """States of a member; at equal incarnations the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True, frozen=True)
class Member:
    """Last known state of one router."""

    name: str
    address: str
    domain: str
    operators: str
    incarnation: int
    state: State = State.ALIVE


@dataclass(slots=True)
class GossipUpdate:
    """Update of a member with the number of messages that may still carry it."""

    member: Member
    transmissions_left: int


class Membership:
    """Set of the routers that this router takes for live.

    Membership is eventually consistent: the views of routers may differ for seconds. State that
    needs agreement goes through the platform.
    """

    __slots__ = (
        "cached_digest",
        "change_count",
        "changed_at",
        "changes",
        "clock",
        "local_member",
        "members",
        "pending_updates",
        "probe_order",
        "unresponsive_until",
    )

    def __init__(self, local_member: Member, clock: Callable[[], float] = time.monotonic):
        self.local_member = local_member
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.changed_at: dict[str, float] = {}
        self.pending_updates: dict[str, GossipUpdate] = {}
        self.probe_order: list[str] = []
        self.unresponsive_until: dict[str, float] = {}
        self.changes: Subject = Subject()
        self.change_count = 0
        self.cached_digest: tuple[int, int] = (-1, 0)
        self.disseminate(local_member)

    def live_peers(self) -> list[Member]:
        """Return the other routers that are alive or suspect."""
        return [m for m in self.members.values() if m.state in (State.ALIVE, State.SUSPECT)]

    def live_members(self) -> list[Member]:
        """Return all routers that are alive or suspect, this one included unless it leaves."""
        local = [self.local_member] if self.local_member.state == State.ALIVE else []
        return local + self.live_peers()

    def responsive_names(self) -> set[str]:
        """Return the names of the live routers that are not marked unresponsive."""
        self.version()
        return {m.name for m in self.live_members() if m.name not in self.unresponsive_until}

    def is_first(self, key: int) -> bool:
        """Return whether this router ranks first for a key among those that respond."""
        names = self.responsive_names() | {self.local_member.name}
        return hashing.rank(key, names)[0] == self.local_member.name

    def version(self) -> int:
        """Return a number that changes whenever the responsive routers may have changed."""
        now = self.clock()
        for name in [name for name, until in self.unresponsive_until.items() if until <= now]:
            del self.unresponsive_until[name]
            self.change_count += 1
        return self.change_count

    def mark_unresponsive(self, name: str) -> None:
        """Exclude a router that did not answer from the responsive ones for a short period."""
        self.unresponsive_until[name] = self.clock() + UNRESPONSIVE_PERIOD_S
        self.change_count += 1
        self.changes.on_next(name)

    def add_registered(self, name: str, address: str, domain: str, operators: str) -> None:
        """Add a router registered at the platform; updates from peers take precedence."""
        known = self.members.get(name)
        is_new = known is None or (known.address != address and known.incarnation == 0)
        if name != self.local_member.name and is_new:
            self.merge(Member(name, address, domain, operators, 0))

    def merge(self, update: Member) -> bool:
        """Apply an update about a router; return whether it changed anything."""
        if update.name == self.local_member.name:
            return self.refute(update)
        known = self.members.get(update.name)
        if known and not supersedes(update, known):
            return False
        self.members[update.name] = update
        self.changed_at[update.name] = self.clock()
        self.disseminate(update)
        if known is None or known.state != update.state:
            log_state(update)
            self.changes.on_next(update.name)
        return True

    def refute(self, update: Member) -> bool:
        """Refute an update that says that this router is not alive, by a higher incarnation."""
        if (
            update.incarnation < self.local_member.incarnation
            or update.state <= self.local_member.state
        ):
            return False
        self.local_member = replace(self.local_member, incarnation=update.incarnation + 1)
        self.disseminate(self.local_member)
        return True

    def disseminate(self, member: Member) -> None:
        """Queue an update to be sent with the next messages."""
        self.change_count += 1
        transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        self.pending_updates[member.name] = GossipUpdate(member, transmissions)

    def next_updates(self) -> list[Member]:
        """Return the updates for the next message, the least sent first, and count them as sent."""
        chosen = sorted(
            self.pending_updates.values(), key=lambda pending: -pending.transmissions_left
        )
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        for pending in chosen:
            pending.transmissions_left -= 1
            if pending.transmissions_left <= 0:
                del self.pending_updates[pending.member.name]
        return [pending.member for pending in chosen]

    def digest(self) -> int:
        """Return a hash over the live members, this router included."""
        if self.cached_digest[0] != self.change_count:
            parts = sorted(f"{m.name}/{m.incarnation}/{m.state}" for m in self.live_members())
            self.cached_digest = (self.change_count, hashing.digest(",".join(parts)))
        return self.cached_digest[1]

    def leave(self) -> None:
        """Announce that this router leaves on purpose."""
        self.local_member = replace(
            self.local_member, state=State.LEFT, incarnation=self.local_member.incarnation + 1
        )
        self.disseminate(self.local_member)
        self.changes.on_next(self.local_member.name)

    def next_member_to_probe(self) -> Member | None:
        """Return the next router to probe: each in turn, in an order shuffled each round."""
        dead = [m for m in self.members.values() if m.state == State.DEAD]
        # After a partition each side regards the other as dead; one of them has to probe again.
        if dead and random.random() < DEAD_PROBE_PROBABILITY:
            return random.choice(dead)
        for _ in range(2):
            while self.probe_order:
                member = self.members.get(self.probe_order.pop())
                if member and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self.probe_order = [m.name for m in self.live_peers()]
            random.shuffle(self.probe_order)
        return None

    def suspect(self, member: Member) -> None:
        """Mark a router suspect that answered neither a direct nor an indirect probe."""
        if member.state == State.ALIVE:
            self.merge(replace(member, state=State.SUSPECT))

    def expire(self, suspicion_timeout_s: float) -> None:
        """Mark routers dead that stayed suspect too long; remove long dead or departed ones."""
        now = self.clock()
        for member in list(self.members.values()):
            age_s = now - self.changed_at[member.name]
            if member.state == State.SUSPECT and age_s > suspicion_timeout_s:
                self.merge(replace(member, state=State.DEAD))
            elif member.state in (State.DEAD, State.LEFT) and age_s > DEAD_MEMBER_RETENTION_S:
                del self.members[member.name]
                del self.changed_at[member.name]

    async def run_probes(
        self,
        probe: Callable[[Member], Awaitable[bool]],
        probe_through: Callable[[Member, Member], Awaitable[bool]],
        period_s: float,
        suspicion_timeout_s: float,
    ) -> None:
        """Probe one router each period; mark it suspect if no probe reaches it."""
        while True:
            started = self.clock()
            self.expire(suspicion_timeout_s)
            member = self.next_member_to_probe()
            if member and not await self.is_reachable(member, probe, probe_through):
                self.suspect(self.members.get(member.name, member))
            spent_s = self.clock() - started
            await asyncio.sleep(max(0.0, period_s * random.uniform(0.9, 1.1) - spent_s))

    async def is_reachable(self, member: Member, probe, probe_through) -> bool:
        """Return whether a router answers a direct probe or indirect ones through two others."""
        if await probe(member):
            return True
        helpers = [m for m in self.live_peers() if m.name != member.name]
        helpers = random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        probes = [probe_through(helper, member) for helper in helpers]
        return any(await asyncio.gather(*probes))


def supersedes(update: Member, known: Member) -> bool:
    """Return whether an update is newer than the known state of its router."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state


def log_state(member: Member) -> None:
    """Log the new state of a router."""
    match member.state:
        case State.ALIVE:
            event = Event.MEMBER_ALIVE
        case State.SUSPECT:
            event = Event.MEMBER_SUSPECT
        case _:
            event = Event.MEMBER_DEAD
    log(event, router=member.name, state=member.state.name, incarnation=member.incarnation)
