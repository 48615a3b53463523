"""Membership between routers: probes of constant cost, suspicion and incarnations."""

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
UPDATES_IN_A_MESSAGE = 8
SPREAD_FACTOR = 3
FORGET_DEAD_S = 60.0
SILENT_OWNER_S = 2.0
DEAD_PROBE_SHARE = 0.15


class State(IntEnum):
    """Name the states of a member; at equal incarnations the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True, frozen=True)
class Member:
    """Hold what is known of one router."""

    name: str
    address: str
    domain: str
    operators: str
    incarnation: int
    state: State = State.ALIVE


@dataclass(slots=True)
class Rumor:
    """Count how often an update may still be passed on."""

    member: Member
    left: int


class Membership:
    """Keep the set of live routers.

    Nothing is agreed here: routers may differ for seconds, and whatever must be agreed goes
    through the platform.
    """

    __slots__ = (
        "changed",
        "changes",
        "clock",
        "digest_cached",
        "me",
        "members",
        "number",
        "order",
        "rumors",
        "silent",
    )

    def __init__(self, me: Member, clock: Callable[[], float] = time.monotonic):
        self.me = me
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.changed: dict[str, float] = {}
        self.rumors: dict[str, Rumor] = {}
        self.order: list[str] = []
        self.silent: dict[str, float] = {}
        self.changes: Subject = Subject()
        self.number = 0
        self.digest_cached: tuple[int, int] = (-1, 0)
        self.spread(me)

    def others(self) -> list[Member]:
        """Return the other routers that may be alive."""
        return [m for m in self.members.values() if m.state in (State.ALIVE, State.SUSPECT)]

    def alive(self) -> list[Member]:
        """Return all routers that may be alive, this one included unless it leaves."""
        mine = [self.me] if self.me.state == State.ALIVE else []
        return mine + self.others()

    def responsive(self) -> set[str]:
        """Return the names of the live routers that were not silent of late."""
        self.version()
        return {m.name for m in self.alive() if m.name not in self.silent}

    def version(self) -> int:
        """Return a number that changes whenever the responsive routers may have changed."""
        now = self.clock()
        for name in [name for name, until in self.silent.items() if until <= now]:
            del self.silent[name]
            self.number += 1
        return self.number

    def note_silent(self, name: str) -> None:
        """Pass over a router for a moment because it did not answer."""
        self.silent[name] = self.clock() + SILENT_OWNER_S
        self.number += 1
        self.changes.on_next(name)

    def introduce(self, name: str, address: str, domain: str, operators: str) -> None:
        """Add a router that is entered; what peers say of it goes first."""
        known = self.members.get(name)
        is_new = known is None or (known.address != address and known.incarnation == 0)
        if name != self.me.name and is_new:
            self.merge(Member(name, address, domain, operators, 0))

    def merge(self, update: Member) -> bool:
        """Take in what is said of a router; return whether it was news."""
        if update.name == self.me.name:
            return self.refute(update)
        known = self.members.get(update.name)
        if known and not supersedes(update, known):
            return False
        self.members[update.name] = update
        self.changed[update.name] = self.clock()
        self.spread(update)
        if known is None or known.state != update.state:
            log_state(update)
            self.changes.on_next(update.name)
        return True

    def refute(self, update: Member) -> bool:
        """Contradict a rumor that this router is not alive."""
        if update.incarnation < self.me.incarnation or update.state <= self.me.state:
            return False
        self.me = replace(self.me, incarnation=update.incarnation + 1)
        self.spread(self.me)
        return True

    def spread(self, member: Member) -> None:
        """Pass an update on with the next messages."""
        self.number += 1
        times = SPREAD_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        self.rumors[member.name] = Rumor(member, times)

    def updates(self) -> list[Member]:
        """Return the updates for one message, the least told first."""
        chosen = sorted(self.rumors.values(), key=lambda rumor: -rumor.left)
        chosen = chosen[:UPDATES_IN_A_MESSAGE]
        for rumor in chosen:
            rumor.left -= 1
            if rumor.left <= 0:
                del self.rumors[rumor.member.name]
        return [rumor.member for rumor in chosen]

    def digest(self) -> int:
        """Return a hash over all members that are not gone."""
        if self.digest_cached[0] != self.number:
            parts = sorted(f"{m.name}/{m.incarnation}/{m.state}" for m in self.alive())
            self.digest_cached = (self.number, hashing.digest(",".join(parts)))
        return self.digest_cached[1]

    def leave(self) -> None:
        """Tell the others that this router leaves on purpose."""
        self.me = replace(self.me, state=State.LEFT, incarnation=self.me.incarnation + 1)
        self.spread(self.me)
        self.changes.on_next(self.me.name)

    def next_target(self) -> Member | None:
        """Return the next router to probe: all in turn, in an order shuffled each round."""
        dead = [m for m in self.members.values() if m.state == State.DEAD]
        # After a partition both sides hold each other dead; one of them has to ask again.
        if dead and random.random() < DEAD_PROBE_SHARE:
            return random.choice(dead)
        for _ in range(2):
            while self.order:
                member = self.members.get(self.order.pop())
                if member and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self.order = [m.name for m in self.others()]
            random.shuffle(self.order)
        return None

    def suspect(self, member: Member) -> None:
        """Record that a router answered neither directly nor through others."""
        if member.state == State.ALIVE:
            self.merge(replace(member, state=State.SUSPECT))

    def expire(self, suspect_s: float) -> None:
        """Hold long suspects dead and forget routers that are long gone."""
        now = self.clock()
        for member in list(self.members.values()):
            age_s = now - self.changed[member.name]
            if member.state == State.SUSPECT and age_s > suspect_s:
                self.merge(replace(member, state=State.DEAD))
            elif member.state in (State.DEAD, State.LEFT) and age_s > FORGET_DEAD_S:
                del self.members[member.name]
                del self.changed[member.name]

    async def probe_for_ever(
        self,
        probe: Callable[[Member], Awaitable[bool]],
        probe_through: Callable[[Member, Member], Awaitable[bool]],
        period_s: float,
        suspect_s: float,
    ) -> None:
        """Probe one router each period; suspect it if nobody reaches it."""
        while True:
            started = self.clock()
            self.expire(suspect_s)
            member = self.next_target()
            if member and not await self.reaches(member, probe, probe_through):
                self.suspect(self.members.get(member.name, member))
            spent_s = self.clock() - started
            await asyncio.sleep(max(0.0, period_s * random.uniform(0.9, 1.1) - spent_s))

    async def reaches(self, member: Member, probe, probe_through) -> bool:
        """Tell whether a router answers, directly or through two others."""
        if await probe(member):
            return True
        helpers = [m for m in self.others() if m.name != member.name]
        helpers = random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        tries = [probe_through(helper, member) for helper in helpers]
        return any(await asyncio.gather(*tries))


def supersedes(update: Member, known: Member) -> bool:
    """Tell whether an update is newer than what is known."""
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
