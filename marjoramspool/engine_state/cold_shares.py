"""Division of the requests that a cold engine sustains among the routers, ahead of time.

Load pattern: many routers hold requests for an engine that has just started, and that crashes if
they all send one in the same second. No count that routers share is fast enough. So for each engine
a few routers may send, each at a fixed rate; all routers derive which ones from whom they hear.

Fault: the fleet is partitioned, or a router is cut off from all others. Of the parts of a fleet at
most one hears more than half of the routers; it has the whole rate. Every other part has the share
of the rate that it is of the fleet, so that all of them together have at most half of it besides.
Small parts are many, and all may have been idle: each takes turns at random times, with half of its
share, and a turn that passes unused is lost.
"""

import math
import random
from bisect import bisect
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.engine_state.request_limits import EngineKey

__all__ = ["ColdRate", "ColdShares", "FleetView", "RouterRing", "Share"]

# The majority of a partitioned fleet has the whole rate, all other partitions at most half of it.
PARTITION_FACTOR = 1.5
# Maximum age of the cached view of the fleet.
VIEW_AGE_S = 0.1
# A router that does not know the fleet yet counts itself as one of this many.
UNKNOWN_FLEET_SIZE = 256
# A partition with a smaller part of the routers sends in random turns, at a part of its share:
# many such partitions may have been idle and send at once.
MIN_LARGE_PART = 0.25
SMALL_PART_FACTOR = 0.5
TURN_S = 1.0


@dataclass(slots=True, frozen=True)
class ColdRate:
    """Requests a second that the routers divide for one engine, and by how many at most.

    With all senders in the same second, a fleet in a few parts still keeps to the bound.
    """

    per_s: float
    senders: float

    @classmethod
    def within(cls, cold_per_s: float, overshoot: float, slack: float) -> "ColdRate":
        """Return the rate for a bound of `cold_per_s` times `overshoot` and `slack` more."""
        senders = (cold_per_s * overshoot + slack) / PARTITION_FACTOR
        return cls(min(cold_per_s, senders), senders)


@dataclass(slots=True, frozen=True)
class FleetView:
    """Addresses of the routers that `local` hears, itself included, and how many it knows of.

    It is not settled while a router that has just started may not know the others yet.
    """

    local: str = ""
    live: tuple[str, ...] = ("",)
    known: int = 1
    is_settled: bool = True

    @property
    def is_isolated(self) -> bool:
        """Return whether the router hears none of the others, or may not know them."""
        return not self.is_settled or len(self.live) == 1 < self.known

    @property
    def heard_part(self) -> float:
        """Return the part of the fleet that is heard, itself included."""
        if not self.is_settled:
            return 1.0 / max(self.known, UNKNOWN_FLEET_SIZE)
        return len(self.live) / self.known

    @property
    def has_majority(self) -> bool:
        """Return whether more than half of the fleet is heard."""
        return self.heard_part > 0.5

    @property
    def is_small(self) -> bool:
        """Return whether the part of the fleet that is heard takes turns."""
        return self.heard_part < MIN_LARGE_PART

    @property
    def rate_part(self) -> float:
        """Return the part of the rate of an engine that the routers heard have together."""
        if self.has_majority:
            return 1.0
        return self.heard_part * (SMALL_PART_FACTOR if self.is_small else 1.0)


@dataclass(slots=True, frozen=True)
class Share:
    """Rate at which one router may send, and its place among the routers that may."""

    per_s: float
    place: int
    senders: int


class RouterRing:
    """Routers in the order of their hashes; the ones that follow an engine's hash may send to it.

    Ranking all routers for each engine costs too much where a thousand of each are live. As with
    rendezvous hashing, a router that joins or leaves changes one sender of an engine at most.
    """

    __slots__ = ("own_index", "positions")

    def __init__(self, local: str, routers: Iterable[str]):
        self.positions = sorted(hashing.digest(router) for router in routers)
        self.own_index = self.positions.index(hashing.digest(local))

    def place(self, key: EngineKey) -> int:
        """Return how many routers come before this one for an engine."""
        first = bisect(self.positions, hashing.digest(f"{key[0]}/{key[1]}"))
        return (self.own_index - first) % len(self.positions)


@dataclass(slots=True)
class Bucket:
    """Token bucket with room for one request."""

    tokens: float
    refilled_at: float

    def refill(self, now_s: float, per_s: float) -> None:
        """Add what has accrued at a rate since the last refill."""
        self.tokens = min(1.0, self.accrued(now_s, per_s))
        self.refilled_at = now_s

    def refill_for_turn(self, now_s: float, per_s: float) -> None:
        """Add what has accrued, but lose a token that has not been used within its turn."""
        self.tokens = self.accrued(now_s, per_s)
        self.refilled_at = now_s
        turn = per_s * TURN_S
        if self.tokens > 1.0 + turn:
            phase = self.tokens % 1.0
            self.tokens = phase + (1.0 if phase <= turn else 0.0)

    def accrued(self, now_s: float, per_s: float) -> float:
        """Return the tokens, with what has accrued at a rate since the last refill."""
        return self.tokens + per_s * (now_s - self.refilled_at)


class ColdShares:
    """Shares of this router in the rates of cold engines, and what is left of them.

    `fleet` returns the current view of the fleet.
    """

    __slots__ = ("buckets", "clock", "draw", "fleet", "known_view", "ring", "view_at")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.draw: Callable[[], float] = random.random
        self.fleet: Callable[[], FleetView] = FleetView
        self.known_view = FleetView()
        self.view_at = -math.inf
        self.ring = RouterRing("", ("",))
        self.buckets: dict[EngineKey, Bucket] = {}

    def view(self) -> FleetView:
        """Return the view of the fleet, at most `VIEW_AGE_S` old; the same one while unchanged."""
        now_s = self.clock()
        if now_s - self.view_at >= VIEW_AGE_S:
            self.view_at = now_s
            view = self.fleet()
            if view != self.known_view:
                self.known_view = view
                self.ring = RouterRing(view.local, view.live)
        return self.known_view

    def share(self, key: EngineKey, rate: ColdRate) -> Share | None:
        """Return the share in the rate of an engine, None if other routers have it all.

        There are as many senders as the bound allows, since one with little traffic seldom has a
        request when it may send one; and enough that none may send two in a second.
        """
        view = self.view()
        per_s = rate.per_s * view.rate_part
        if view.is_isolated:
            return Share(per_s, 0, 1)
        most = max(1, math.ceil(per_s), math.floor(rate.senders * view.rate_part))
        senders = min(len(view.live), most)
        place = self.ring.place(key)
        return Share(per_s / senders, place, senders) if place < senders else None

    def has_permission(self, key: EngineKey, rate: ColdRate) -> bool:
        """Return whether one more request may go to an engine that sustains a rate."""
        share = self.share(key, rate)
        view = self.known_view
        now_s = self.clock()
        bucket = self.buckets.get(key)
        if share is None:
            if bucket:
                bucket.tokens, bucket.refilled_at = min(0.0, bucket.tokens), now_s
            return False
        if bucket is None:
            # The senders begin one after the other; parts of the fleet do not know of each other.
            phase = (share.place + 1) / share.senders if view.has_majority else self.draw()
            bucket = self.buckets[key] = Bucket(1.0 - phase, now_s)
        if view.is_small and share.per_s * TURN_S < 1.0:
            bucket.refill_for_turn(now_s, share.per_s)
        else:
            bucket.refill(now_s, share.per_s)
        return bucket.tokens >= 1.0

    def record_sent(self, key: EngineKey) -> None:
        """Record a request to an engine for which this router had the permission."""
        if bucket := self.buckets.get(key):
            bucket.tokens -= 1.0

    def remove_engine(self, key: EngineKey) -> None:
        """Forget an engine that is no longer cold or has gone."""
        self.buckets.pop(key, None)
