"""Engines that have just started and crash if they get more than a few requests a second.

Load pattern: an engine starts or comes back from an evacuation with empty caches. Being the least
loaded, it would get the next requests of all routers. Engines say how long they remain cold, in
their registrations and in answers, and routers tell each other what they heard themselves.

Fault: what an engine said arrives late and in any order. Each notice has bounds on when it was
said; a shorter cold time counts only if it was surely said later. Where an engine may be cold and
has not said so, it counts as cold until it says otherwise.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramspool.bounds import Bounds
from marjoramspool.clock import now
from marjoramspool.engine_state.cold_shares import ColdRate, ColdShares
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.request_limits import EngineKey
from marjoramspool.engine_state.unreported_load import WorkRate
from marjoramspool.events import Event, log
from marjoramspool.retry_delay import longest_retry_delay_s
from marjoramspool.routes import NEVER_COLD, ColdStart

__all__ = ["AllCold", "ColdEngines", "ColdNotice"]

# How long a registration may take on its way from its engine, or a report from another router.
MAX_TRANSIT_S = 1.0
# A cold time that another router tells and that differs by less is the same one.
SAME_END_S = 0.5
# What changed is told in each report for this long, everything else once in this time.
CHANGE_REPEAT_S = 0.5
REFRESH_S = 1.0
MAX_NOTICES_PER_REPORT = 64
# How long it is told that an engine is no longer cold.
END_RETENTION_S = 6.0
MIN_RETRY_DELAY_S = 0.5


@dataclass(slots=True, frozen=True)
class AllCold:
    """No cold engine of a service takes one more now; `retry_after_s` is when some should."""

    retry_after_s: float


@dataclass(slots=True, frozen=True)
class ColdNotice:
    """Until when an engine is cold, and between which times it said so, by the local clock.

    `is_own` says whether this router heard it from the engine or its registration.
    """

    service: str
    until: float
    said_after: float
    said_before: float
    is_own: bool = True


class ColdEngines:
    """Cold engines by incarnation, and the permission of this router to send them requests.

    `cold_start` returns the cold start of a service's engines.
    """

    __slots__ = (
        "bounds",
        "changed_at",
        "clock",
        "cold_keys",
        "cold_start",
        "notices",
        "shares",
        "reported_at",
        "wanted",
    )

    def __init__(
        self,
        cold_start: Callable[[str], ColdStart] = lambda _: NEVER_COLD,
        clock: Callable[[], float] = now,
    ):
        self.clock = clock
        self.cold_start = cold_start
        self.bounds = Bounds()
        self.shares = ColdShares(clock)
        self.notices: dict[EngineKey, ColdNotice] = {}
        # Engines that were cold when their state was last compared with the clock.
        self.cold_keys: set[EngineKey] = set()
        # When each engine became cold or warm, and when its state was last told to other routers.
        self.changed_at: dict[EngineKey, float] = {}
        self.reported_at: dict[EngineKey, float] = {}
        # Requests that a service's cold engines got or would have got with more permission.
        self.wanted: dict[str, WorkRate] = {}

    def record_registered(self, engine: Engine) -> None:
        """Record what a registration says, which was written some time ago."""
        if engine.cold_remaining_s is not None:
            now_s = self.clock()
            until = now_s + engine.cold_remaining_s
            notice = ColdNotice(engine.service, until, now_s - MAX_TRANSIT_S, now_s)
            self.record_notice(engine.key, notice)

    def record_listed(self, engine: Engine) -> None:
        """Take an engine for cold that is listed first and does not say whether it is."""
        if engine.cold_remaining_s is None:
            self.assume_cold(engine)

    def record_answer(self, engine: Engine, remaining_s: float, sent_at: float) -> None:
        """Record the cold time that an answer names; the request was sent at `sent_at`."""
        now_s = self.clock()
        notice = ColdNotice(engine.service, now_s + remaining_s, sent_at, now_s)
        self.record_notice(engine.key, notice)

    def record_report(self, engine: Engine, remaining_s: float, age_s: float) -> None:
        """Record what another router heard from an engine some time ago."""
        now_s = self.clock()
        until = now_s + max(0.0, remaining_s)
        said_before = now_s - max(0.0, age_s)
        said_after = said_before - MAX_TRANSIT_S
        notice = ColdNotice(engine.service, until, said_after, said_before, is_own=False)
        known = self.notices.get(engine.key)
        if known is None or not known.is_own or abs(known.until - until) > SAME_END_S:
            self.record_notice(engine.key, notice)

    def assume_cold(self, engine: Engine) -> None:
        """Take an engine for cold that may have started again, until it says otherwise."""
        cold_start = self.cold_start(engine.service)
        if cold_start.per_s > 0.0:
            now_s = self.clock()
            until = now_s + cold_start.duration_s
            notice = ColdNotice(engine.service, until, now_s, now_s, is_own=False)
            self.record_notice(engine.key, notice)

    def record_notice(self, key: EngineKey, notice: ColdNotice) -> None:
        """Record a notice, unless one is known that may be newer.

        An engine of which nothing is known is warm, and to hear so is no news.
        """
        now_s = self.clock()
        known = self.notices.get(key)
        if known is None:
            if notice.until <= now_s:
                return
        elif notice.until > known.until:
            if notice.said_before <= known.said_before:
                return
        elif notice.said_after < known.said_before:
            return
        self.notices[key] = notice
        self.update(key, notice, now_s)

    def update(self, key: EngineKey, notice: ColdNotice, now_s: float) -> None:
        """Record and log whether an engine has become cold or warm."""
        is_cold = notice.until > now_s
        if is_cold == (key in self.cold_keys):
            return
        self.changed_at[key] = now_s
        if is_cold:
            self.cold_keys.add(key)
        else:
            self.cold_keys.discard(key)
            self.shares.remove_engine(key)
        if self.cold_start(notice.service).per_s <= 0.0:
            return
        if is_cold:
            remaining_s = round(notice.until - now_s, 3)
            log(Event.ENGINE_COLD, engine=key[0], remaining_s=remaining_s, heard=notice.is_own)
        else:
            log(Event.ENGINE_WARM, engine=key[0], heard=notice.is_own)

    def expire(self) -> None:
        """Record which engines are no longer cold; forget those that have not been for long."""
        now_s = self.clock()
        for key in [key for key in self.cold_keys if self.notices[key].until <= now_s]:
            self.update(key, self.notices[key], now_s)
        for key in self.notices.keys() - self.cold_keys:
            if now_s - self.changed_at[key] > END_RETENTION_S:
                self.remove_engine(key)

    def remove_engine(self, key: EngineKey) -> None:
        """Remove the state of an engine that is gone, has restarted or is warm."""
        self.cold_keys.discard(key)
        for state in (self.notices, self.changed_at, self.reported_at):
            state.pop(key, None)
        self.shares.remove_engine(key)

    def remaining_s(self, key: EngineKey) -> float:
        """Return for how long an engine is still cold, 0 if it is not."""
        notice = self.notices.get(key)
        return max(0.0, notice.until - self.clock()) if notice else 0.0

    def last_said_s(self, engine: Engine) -> float | None:
        """Return for how long a listed engine is still cold; None if it never said so."""
        remaining_s = self.remaining_s(engine.key)
        return remaining_s if remaining_s or engine.cold_remaining_s is not None else None

    def rate(self, service: str) -> ColdRate:
        """Return the rate that the routers divide for each cold engine of a service."""
        per_s = self.cold_start(service).per_s
        return ColdRate.within(per_s, self.bounds.cold_overshoot, self.bounds.cold_slack)

    def cold_engines(self) -> list[EngineKey]:
        """Return the engines that get only a few requests now."""
        self.expire()
        return [k for k in self.cold_keys if self.cold_start(self.notices[k].service).per_s > 0.0]

    def is_cold(self, engine: Engine) -> bool:
        """Return whether an engine gets only a few requests now."""
        return self.remaining_s(engine.key) > 0.0 and self.cold_start(engine.service).per_s > 0.0

    def select(self, engines: list[Engine]) -> list[Engine]:
        """Return the engines that are not cold, or that this router may send a request now.

        A router that hears no other leaves cold engines alone while others serve.
        """
        if not self.notices:
            return engines
        cold = {engine.id for engine in engines if self.is_cold(engine)}
        if not cold:
            return engines
        if self.shares.view().is_isolated and len(cold) < len(engines):
            return [engine for engine in engines if engine.id not in cold]
        rate = self.rate(engines[0].service)
        return [
            engine
            for engine in engines
            if engine.id not in cold or self.shares.has_permission(engine.key, rate)
        ]

    def permitted(self, service: str) -> list[EngineKey]:
        """Return the cold engines of a service that this router may send a request now."""
        if not self.cold_keys or self.cold_start(service).per_s <= 0.0:
            return []
        rate = self.rate(service)
        return [
            key
            for key in self.cold_keys
            if self.notices[key].service == service and self.shares.has_permission(key, rate)
        ]

    def record_sent(self, engine: Engine) -> None:
        """Record a request that this router sends to an engine, for whatever reason."""
        if self.notices and self.is_cold(engine):
            self.shares.record_sent(engine.key)
            self.record_wanted(engine.service)

    def record_wanted(self, service: str) -> None:
        """Record a request for the cold engines of a service, sent or not."""
        self.wanted.setdefault(service, WorkRate(self.clock)).record(1.0)

    def all_cold(
        self, engines: Iterable[Engine], remaining_s: float, draw: float
    ) -> AllCold | None:
        """Return when a request may be sent again that no cold engine could get.

        Callers come back spread over the time that the engines take to serve as many as were
        refused, but in time for an answer. Return None if no engine is cold.
        """
        cold = [engine for engine in engines if self.is_cold(engine)]
        if not cold:
            return None
        service = cold[0].service
        self.record_wanted(service)
        view = self.shares.view()
        wanted_per_s = self.wanted[service].rate_per_s() * len(view.live)
        served_per_s = max(1e-3, self.rate(service).per_s * len(cold) * view.rate_part)
        longest_s = longest_retry_delay_s(remaining_s)
        # Half of the longest delay is left for the spread.
        shortest_s = min(MIN_RETRY_DELAY_S * max(1.0, wanted_per_s / served_per_s), longest_s / 2)
        return AllCold(shortest_s * (1.0 + draw))

    def is_reported(self, key: EngineKey) -> bool:
        """Return whether this router tells the others of an engine: what it heard itself."""
        notice = self.notices[key]
        return notice.is_own and self.cold_start(notice.service).per_s > 0.0

    def has_unreported_change(self) -> bool:
        """Return whether an engine has become cold or warm since the others were told of it."""
        self.expire()
        return any(
            changed_at > self.reported_at.get(key, -math.inf) and self.is_reported(key)
            for key, changed_at in self.changed_at.items()
        )

    def take_due_notices(self) -> list[tuple[EngineKey, ColdNotice]]:
        """Return the notices to tell the other routers in the next report."""
        self.expire()
        now_s = self.clock()
        due = [
            key
            for key in self.notices
            if self.is_reported(key)
            and (
                now_s - self.changed_at[key] < CHANGE_REPEAT_S
                or now_s - self.reported_at.get(key, -math.inf) >= REFRESH_S
            )
        ]
        due.sort(key=lambda key: self.reported_at.get(key, -math.inf))
        told = due[:MAX_NOTICES_PER_REPORT]
        self.reported_at |= dict.fromkeys(told, now_s)
        return [(key, self.notices[key]) for key in told]
