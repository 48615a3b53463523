"""Selection of the streams whose memory is copied to a second engine, and of that engine.

Load pattern: long streams of routes that may run only once, at engines of which some end. Without
a copy such a stream is lost with its engine. Copies take bandwidth of the engines' links and
memory at the other engine, so the streams whose loss would cost most are copied, the others only
while there is room.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.routes import EngineCapacity

__all__ = ["Destination", "RunBackups", "RunCopy", "RunEstimate", "select_destination"]

MAX_COPIES = 64
# Share of the links of a service's engines that all routers together use for copies.
LINK_SHARE = 0.25
# Share of the memory that requests leave free at an engine which copies of one router may take.
COPY_MEMORY_SHARE = 0.5
# Shorter streams end before their copy is of use.
MIN_DURATION_S = 0.5
# An engine writes one token in the time in which it reads about this many.
OUTPUT_TOKEN_WEIGHT = 20
BASE_END_RATE_PER_S = 1 / 300
DRAINING_END_RATE_PER_S = 1 / 10
# Ends of engines count for this long.
RECENT_END_S = 60.0
# An engine that was listed this recently may be cold, and ends more readily.
NEW_ENGINE_S = 15.0
NEW_ENGINE_FACTOR = 4.0
# What is listed this soon after a start of the router has been there before.
FIRST_LISTING_S = 3.0
# Expected loss for each copied token at which a copy is made while nothing else is copied, and the
# factor by which this rises until all that may be copied is used.
MIN_WORTH = 0.1
FULL_PRICE_FACTOR = 2.0
# Engines whose fill differs by less than this are taken by a draw, so that routers spread.
FILL_STEP = 0.25


@dataclass(slots=True, frozen=True)
class RunEstimate:
    """Size and expected duration in seconds of a stream; a `priority` of 0 is the most urgent."""

    request_id: str
    input_tokens: int
    output_tokens: int
    duration_s: float
    priority: int

    @property
    def tokens(self) -> int:
        """Return the memory that the finished run takes, in tokens."""
        return self.input_tokens + self.output_tokens

    @property
    def value(self) -> float:
        """Return what the loss of the run costs, in tokens to read again."""
        work = self.input_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens
        return work / (1 + max(0, self.priority))


@dataclass(slots=True, frozen=True)
class Destination:
    """Engine that could take the memory of a run, and the requests there over all routers."""

    engine: Engine
    requests: int


@dataclass(slots=True, frozen=True, eq=False)
class RunCopy:
    """Copy at work: its request, the engine that receives it, its final size and mean rate."""

    request_id: str
    engine: Engine
    tokens: int
    bytes_per_s: float


class RunBackups:
    """Copies that this router has asked for, and the ends of engines that make more of them."""

    __slots__ = (
        "clock",
        "copies",
        "ended_at",
        "kept_until",
        "listed_at",
        "router_count",
        "started_at",
    )

    def __init__(self, router_count: Callable[[], int], clock: Callable[[], float] = now):
        self.router_count = router_count
        self.clock = clock
        self.started_at = clock()
        self.copies: set[RunCopy] = set()
        # Until when a copy that is no longer at work may be found under the id of its request.
        self.kept_until: dict[str, float] = {}
        # When engines of each service ended, by incarnation.
        self.ended_at: dict[str, deque[tuple[float, tuple[str, int]]]] = {}
        self.listed_at: dict[tuple[str, int], float] = {}

    def record_listed(self, engine: Engine) -> None:
        """Record that an engine has been listed or has started again."""
        if self.clock() - self.started_at > FIRST_LISTING_S:
            self.listed_at[engine.key] = self.clock()

    def record_end(self, engine: Engine) -> None:
        """Record that an engine has ended or left; each incarnation counts once."""
        self.listed_at.pop(engine.key, None)
        ends = self.ended_at.setdefault(engine.service, deque())
        self.expire(ends)
        if all(key != engine.key for _, key in ends):
            ends.append((self.clock(), engine.key))

    def expire(self, ends: deque[tuple[float, tuple[str, int]]]) -> None:
        """Forget the ends that no longer count."""
        while ends and ends[0][0] < self.clock() - RECENT_END_S:
            ends.popleft()

    def end_rate_per_s(self, engine: Engine, engine_count: int, is_draining: bool) -> float:
        """Return the probability per second that an engine ends."""
        if is_draining:
            return DRAINING_END_RATE_PER_S
        ends = self.ended_at.get(engine.service, deque())
        self.expire(ends)
        rate = BASE_END_RATE_PER_S + len(ends) / (RECENT_END_S * max(1, engine_count))
        listed_at = self.listed_at.get(engine.key, -math.inf)
        return rate * (NEW_ENGINE_FACTOR if self.clock() - listed_at < NEW_ENGINE_S else 1.0)

    def used_share(self, capacity: EngineCapacity, engine_count: int, bytes_per_s: float) -> float:
        """Return the part of this router's copies or bandwidth that is used with one copy more.

        A router may use the share of one link where there are more routers than engines, since few
        of them have long streams at a time.
        """
        links = max(1.0, engine_count / max(1, self.router_count()))
        allowed_per_s = LINK_SHARE * capacity.link_bytes_per_s * links
        rate_per_s = bytes_per_s + sum(copy.bytes_per_s for copy in self.copies)
        return max((len(self.copies) + 1) / MAX_COPIES, rate_per_s / allowed_per_s)

    def select(
        self,
        run: RunEstimate,
        engine: Engine,
        capacity: EngineCapacity,
        destinations: Iterable[Destination],
        engine_count: int,
        is_draining: bool = False,
        is_continued: bool = False,
    ) -> RunCopy | None:
        """Return the copy to make of a run at one of `engine_count` engines.

        Return None if the run is not worth it or no destination has room, or if copies of another
        run with the id of its request may be kept. One that goes on elsewhere `is_continued`.
        """
        if not is_continued and self.is_kept(run.request_id):
            return None
        if not capacity.has_backups or min(capacity.kv_token_bytes, capacity.link_mbps) <= 0.0:
            return None
        if run.tokens <= 0 or run.duration_s < MIN_DURATION_S:
            return None
        ends = self.ended_at.get(engine.service, ())
        ended = {key for _, key in ends}
        destinations = [d for d in destinations if d.engine.key not in ended]
        bytes_per_s = run.tokens * capacity.kv_token_bytes / run.duration_s
        used = self.used_share(capacity, engine_count, bytes_per_s)
        end_rate_per_s = self.end_rate_per_s(engine, engine_count, is_draining)
        end_probability = min(1.0, run.duration_s * end_rate_per_s)
        worth = run.value * end_probability / run.tokens
        if used > 1.0 or worth < MIN_WORTH * FULL_PRICE_FACTOR**used:
            return None
        chosen = select_destination(
            run, engine, capacity, destinations, self.copied_tokens(destinations)
        )
        return RunCopy(run.request_id, chosen, run.tokens, bytes_per_s) if chosen else None

    def copied_tokens(self, destinations: Iterable[Destination]) -> dict[str, int]:
        """Return the tokens of the copies that each destination receives from this router."""
        copied = {destination.engine.id: 0 for destination in destinations}
        for copy in self.copies:
            if copy.engine.id in copied:
                copied[copy.engine.id] += copy.tokens
        return copied

    def begin(self, copy: RunCopy) -> None:
        """Count a copy as long as its run goes on."""
        self.copies.add(copy)

    def end(self, copy: RunCopy, retention_s: float) -> None:
        """Stop counting a copy, which may be kept for a time if its run has failed."""
        self.copies.discard(copy)
        now_s = self.clock()
        for request_id, until in list(self.kept_until.items()):
            if until > now_s:
                break
            del self.kept_until[request_id]
        self.kept_until.pop(copy.request_id, None)
        self.kept_until[copy.request_id] = now_s + retention_s

    def is_kept(self, request_id: str) -> bool:
        """Return whether an engine may have memory under the id of a request.

        Fault: a caller uses an id again, and the memory of the first request is taken for that of
        the second.
        """
        is_at_work = any(copy.request_id == request_id for copy in self.copies)
        return is_at_work or self.kept_until.get(request_id, -math.inf) > self.clock()


def select_destination(
    run: RunEstimate,
    engine: Engine,
    capacity: EngineCapacity,
    destinations: Iterable[Destination],
    copied_tokens: dict[str, int],
    prefers_same_domain: bool = False,
) -> Engine | None:
    """Return the engine that takes the memory of a run, None if none has room.

    One of another failure domain than `engine` goes first, or one of the same, then the least
    loaded.
    """
    best: tuple[tuple[bool, int, int], Engine] | None = None
    for destination in destinations:
        other = destination.engine
        fill = destination.requests / max(1, other.slots)
        free_tokens = capacity.kv_cache_tokens * max(0.0, 1.0 - fill)
        copied = copied_tokens.get(other.id, 0)
        if other.key == engine.key or copied + run.tokens > COPY_MEMORY_SHARE * free_tokens:
            continue
        load = fill + copied / capacity.kv_cache_tokens
        draw = hashing.digest(f"{run.request_id}/{other.id}")
        is_same_domain = other.failure_domain == engine.failure_domain
        rank = (is_same_domain != prefers_same_domain, int(load / FILL_STEP), draw)
        if best is None or rank < best[0]:
            best = (rank, other)
    return best[1] if best else None
