"""Request rates that engines in need name in their answers, kept by all routers together.

Load pattern: an engine takes one request a second from hundreds of routers, and most of them have
none for it in that second. Equal shares, rounded up, exceed the limit; not rounded, they are wasted
where the traffic is uneven. So the routers spend one allowance, by what they tell each other:
each counts its requests in a decaying sum, and the sum over the fleet stays below what the limit
makes it. An excess that nobody could know of yet is paid back by the next seconds.

Two things keep such excess small. Requests that compete for the same room before reports arrive
draw for it. And routers that are not heard keep their part of the limit: those that hear each other
spend only theirs, so that a cut, frozen or starting router has its own.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_loads import NO_LOAD, Load
from marjoramspool.engine_state.unreported_load import WorkRate
from marjoramspool.events import Event, log
from marjoramspool.retry_delay import longest_retry_delay_s

__all__ = [
    "MILLI",
    "AllLimited",
    "EngineKey",
    "LimitNotice",
    "RequestLimits",
    "allowance",
    "describe_limits",
    "parse_limit",
]

# Time constant of the decaying sums of requests.
SMOOTHING_S = 1.0
# A lower limit would leave an engine without the requests whose answers tell of its end.
MIN_LIMIT_PER_S = 0.2
# How long it is told that an engine names no limit any more.
END_RETENTION_S = 10.0
# How long a report may take on its way from another router.
MAX_TRANSIT_S = 1.0
# The share of the routers that is heard is found again after this time.
SHARE_AGE_S = 0.05
# All routers find the same allowance free at about the same time, so that what is turned away
# elsewhere arrives in bursts, above its mean rate by this much.
SURGE_FACTOR = 4.0
# Part of an allowance for which less urgent requests draw, so that urgent ones find room.
RESERVED_FRACTION = 0.3
# Changes of a limit by less than this fraction are not logged.
LOGGED_CHANGE_FRACTION = 0.1
MIN_RETRY_DELAY_S = 0.5
MAX_EXPONENT = 500.0
MILLI = 1000

# Id and start time of an engine.
EngineKey = tuple[str, int]


@dataclass(slots=True, frozen=True)
class LimitNotice:
    """Limit that an engine named, None for none, and when it did, by the local clock."""

    requests_per_s: float | None
    observed_at: float


@dataclass(slots=True, frozen=True)
class AllLimited:
    """No engine of a service has room below its limit; `retry_after_s` is when some should."""

    retry_after_s: float


def allowance(limit_per_s: float) -> float:
    """Return the largest decaying sum at which one more request keeps to a rate per second."""
    exponent = min(MAX_EXPONENT, 1.0 / max(1e-9, limit_per_s * SMOOTHING_S))
    return 1.0 / math.expm1(exponent)


class RequestLimits:
    """Limits of engines, and the requests that this router and the others send there.

    `reported` returns what the other routers tell of an engine, `share` the part of the fleet's
    routers that is heard, this one included, and `report_age_s` how old reports are, in seconds.
    """

    __slots__ = (
        "alone_since",
        "clock",
        "known_share",
        "notices",
        "on_news",
        "phase",
        "report_age_s",
        "reported",
        "sent",
        "share",
        "share_at",
        "wanted",
    )

    def __init__(
        self,
        reported: Callable[[EngineKey], Load] = lambda _: NO_LOAD,
        clock: Callable[[], float] = now,
    ):
        self.clock = clock
        self.reported = reported
        self.share: Callable[[], float] = lambda: 1.0
        self.report_age_s: Callable[[], float] = lambda: 0.0
        # Called when a limit began, changed or ended.
        self.on_news: list[Callable[[], None]] = []
        self.notices: dict[EngineKey, LimitNotice] = {}
        self.sent: dict[EngineKey, WorkRate] = {}
        # Requests that an engine got or would have got with more room.
        self.wanted: dict[EngineKey, WorkRate] = {}
        self.known_share = 1.0
        self.share_at = -math.inf
        # Since when some routers are not heard, and when in its turn this one begins.
        self.alone_since: float | None = None
        self.phase = random.random()

    def record_answer(self, key: EngineKey, limit_per_s: float | None, sent_at: float) -> None:
        """Record the limit that an answer names, None for none; the request was sent at `sent_at`.

        An answer without one ends the limit only if the engine was asked after it named it.
        """
        notice = self.notices.get(key)
        if limit_per_s is None and (notice is None or sent_at <= notice.observed_at):
            return
        self.record_notice(key, LimitNotice(limit_per_s, self.clock()))

    def record_report(self, key: EngineKey, notice: LimitNotice) -> None:
        """Record what another router tells, unless it is known or may be older than what is.

        What is told of takes time on its way and seems newer than it is. If it renewed what is
        known, routers that repeat it to each other would never believe in its end.
        """
        known = self.notices.get(key)
        if known is None or (
            known.requests_per_s != notice.requests_per_s
            and notice.observed_at > known.observed_at + MAX_TRANSIT_S
        ):
            self.record_notice(key, notice)

    def record_notice(self, key: EngineKey, notice: LimitNotice) -> None:
        """Record an observation, unless a newer one is known."""
        known = self.notices.get(key)
        if known and known.observed_at >= notice.observed_at:
            return
        self.notices[key] = notice
        before, after = known.requests_per_s if known else None, notice.requests_per_s
        if is_change(before, after):
            log(Event.ENGINE_LIMITED, engine=key[0], requests_per_s=after, before=before)
            for call in self.on_news:
                call()

    def remove_engine(self, key: EngineKey) -> None:
        """Remove the state of an engine that is gone or has restarted."""
        for state in (self.notices, self.sent, self.wanted):
            state.pop(key, None)

    def limit_per_s(self, key: EngineKey) -> float | None:
        """Return the limit of an engine, in requests per second; None if it has none."""
        notice = self.notices.get(key)
        if notice is None or notice.requests_per_s is None:
            return None
        return max(MIN_LIMIT_PER_S, notice.requests_per_s)

    def recent_notices(self) -> dict[EngineKey, LimitNotice]:
        """Return the limits in force and those that ended recently; forget the others."""
        oldest = self.clock() - END_RETENTION_S
        self.notices = {
            key: notice
            for key, notice in self.notices.items()
            if notice.requests_per_s is not None or notice.observed_at >= oldest
        }
        return self.notices

    def record_sent(self, key: EngineKey) -> None:
        """Record a request that this router sends to an engine, for whatever reason."""
        rate_of(self.sent, key, self.clock).record(1.0)
        if key in self.notices:
            rate_of(self.wanted, key, self.clock).record(1.0)

    def sent_requests(self, key: EngineKey) -> float:
        """Return the decaying sum of this router's requests to an engine."""
        return decayed(self.sent, key, self.clock())

    def wanted_requests(self, key: EngineKey) -> float:
        """Return the decaying sum of this router's requests for an engine, sent or not."""
        return decayed(self.wanted, key, self.clock())

    def own_loads(self) -> Iterator[tuple[EngineKey, Load]]:
        """Yield what this router has to report of the engines with a limit."""
        for key in self.notices:
            load = Load(
                sent_milli=round(self.sent_requests(key) * MILLI),
                wanted_milli=round(self.wanted_requests(key) * MILLI),
            )
            if self.limit_per_s(key) is not None and load.wanted_milli:
                yield key, load

    def heard_share(self) -> float:
        """Return the part of the routers that is heard, at most `SHARE_AGE_S` old."""
        now_s = self.clock()
        if now_s - self.share_at >= SHARE_AGE_S:
            self.share_at = now_s
            self.known_share = min(1.0, self.share())
            if self.known_share >= 1.0:
                self.alone_since = None
            elif self.alone_since is None:
                self.alone_since = now_s
        return self.known_share

    def room(self, key: EngineKey, part: float = 1.0) -> float:
        """Return how many requests an engine may be sent now, by all routers that are heard.

        With a `part` below 1, only that part of the limit is used.
        """
        limit_per_s = self.limit_per_s(key)
        if limit_per_s is None:
            return math.inf
        limit_per_s *= self.heard_share() * part
        if self.alone_since is not None:
            first_turn_at = self.alone_since + self.phase / limit_per_s
            if self.clock() < first_turn_at:
                return 0.0
        sent = self.reported(key).sent_milli / MILLI + self.sent_requests(key)
        return max(0.0, allowance(limit_per_s) - sent + 1.0)

    def used(self, key: EngineKey) -> float:
        """Return the part of an engine's allowance that is used, from 0 to 1."""
        limit_per_s = self.limit_per_s(key)
        if limit_per_s is None:
            return 0.0
        return max(0.0, 1.0 - self.room(key) / (allowance(limit_per_s) + 1.0))

    def usable_room(self, key: EngineKey, draw: float, is_urgent: bool) -> float:
        """Return the room of an engine for a request, less what is kept for urgent ones."""
        room = self.room(key)
        if room == math.inf or is_urgent:
            return room
        return room - RESERVED_FRACTION * draw * allowance(self.limit_per_s(key))

    def unserved_per_s(self, key: EngineKey) -> float:
        """Return the requests per second of the other routers that found no room at an engine.

        What was sent there is reported as wanted, too.
        """
        if self.limit_per_s(key) is None:
            return 0.0
        load = self.reported(key)
        return max(0.0, (load.wanted_milli - load.sent_milli) / MILLI / SMOOTHING_S)

    def select(
        self, keys: Iterable[EngineKey], draw: Callable[[str], float], is_urgent: bool
    ) -> set[EngineKey]:
        """Return the engines with room for a request; count it as wanted at the others.

        `draw` returns a number from 0 to 1 for an engine's id. Where more requests compete than
        there is room, before their reports arrive, each passes with the probability at which the
        room suffices. What finds no room elsewhere competes at the engines that have some.
        """
        keys = set(keys)
        if not self.notices:
            return keys
        draws = {key: draw(key[0]) for key in keys}
        rooms = {key: self.usable_room(key, draws[key], is_urgent) for key in keys}
        open_keys = [key for key, room in rooms.items() if room >= 1.0]
        unserved = {key: self.unserved_per_s(key) for key in keys}
        unserved_per_s = sum(unserved.values())
        with_room = set()
        for key in open_keys:
            turned_per_s = (unserved_per_s - unserved[key]) / len(open_keys)
            competing = self.competing(key, turned_per_s)
            if rooms[key] == math.inf or draws[key] * (1.0 + competing) < rooms[key]:
                with_room.add(key)
        without_room = keys - with_room
        for key in without_room:
            rate_of(self.wanted, key, self.clock).record(1.0 / len(without_room))
        return with_room

    def competing(self, key: EngineKey, turned_per_s: float) -> float:
        """Return the requests of others that an engine may get before their reports arrive."""
        wanted_per_s = self.reported(key).wanted_milli / MILLI / SMOOTHING_S
        return max(wanted_per_s, SURGE_FACTOR * turned_per_s) * self.report_age_s()

    def all_limited(
        self, keys: Iterable[EngineKey], remaining_s: float, draw: float
    ) -> AllLimited | None:
        """Return when a request may be sent again that no engine had room for.

        Callers come back spread over the time that the limits take to serve as many as were
        refused, but in time for an answer. Return None if no engine is limited.
        """
        limits = {key: limit for key in keys if (limit := self.limit_per_s(key)) is not None}
        if not limits:
            return None
        wanted = sum(
            self.reported(key).wanted_milli / MILLI + self.wanted_requests(key) for key in limits
        )
        served_per_s = sum(limits.values()) * self.heard_share()
        overload = max(1.0, wanted / SMOOTHING_S / served_per_s)
        longest_s = longest_retry_delay_s(remaining_s)
        # Half of the longest delay is left for the spread.
        shortest_s = min(MIN_RETRY_DELAY_S * overload, longest_s / 2)
        return AllLimited(shortest_s * (1.0 + draw))


def parse_limit(text: str | None) -> float | None:
    """Return the limit that a header names, None for none; raise ValueError if it is malformed."""
    if text is None:
        return None
    limit_per_s = float(text)
    if not 0.0 <= limit_per_s < math.inf:
        raise ValueError(f"{text!r} is no number of requests per second, from 0")
    return limit_per_s


def describe_limits(limits: RequestLimits) -> dict[str, str]:
    """Return a text on each engine with a limit, for operators."""
    return {
        f"engine {key[0]}": f"it takes only {per_s:g} requests a second from all routers"
        for key in limits.notices
        if (per_s := limits.limit_per_s(key)) is not None
    }


def rate_of(
    rates: dict[EngineKey, WorkRate], key: EngineKey, clock: Callable[[], float]
) -> WorkRate:
    """Return the decaying sum of an engine, created at first use."""
    if key not in rates:
        rates[key] = WorkRate(clock, SMOOTHING_S)
    return rates[key]


def decayed(rates: dict[EngineKey, WorkRate], key: EngineKey, now_s: float) -> float:
    """Return the decaying sum of an engine at a time, 0 if nothing was recorded."""
    return rates[key].decayed_work(now_s) if key in rates else 0.0


def is_change(before: float | None, after: float | None) -> bool:
    """Return whether a limit began, ended or differs by more than a little."""
    if before is None or after is None:
        return before != after
    return abs(after - before) > LOGGED_CHANGE_FRACTION * before
