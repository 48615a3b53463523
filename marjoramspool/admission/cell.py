"""Admission to one cell at its owner: loads, fair queue, urgent reserve and refusals."""

import asyncio
import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramspool import hashing
from marjoramspool.admission.admission_messages import (
    Admission,
    AdmissionRequest,
    EngineView,
    Granted,
    Refused,
)
from marjoramspool.placement.bounded_placement import (
    BoundedLoad,
    Candidate,
    Policy,
    choose_engine,
    valid_holders,
)

__all__ = ["Cell"]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
INITIAL_SERVICE_TIME_S = 0.5
QUEUE_CHECK_PERIOD_S = 0.1
SERVICE_TIME_SMOOTHING = 0.05


@dataclass(slots=True)
class QueueEntry:
    """Admission request in the queue.

    While `is_holder_only` is true, it waits only for an engine that holds its prefix.
    """

    request: AdmissionRequest
    session: str
    sequence: int
    is_holder_only: bool
    decision: asyncio.Future = field(repr=False)


class Cell:
    """Admit requests to the engines of one cell.

    `usable_engines` returns the engines that are usable at the time of the call. `on_granted` is
    called with each engine that is granted here. Grants are counted
    per session (one for each router), so that the load of a router can be removed when it is gone.
    """

    __slots__ = (
        "account_loads",
        "clock",
        "grant_times",
        "last_sequence",
        "loads",
        "on_granted",
        "policy",
        "served_at",
        "service_time_s",
        "sessions",
        "urgent_reserve",
        "usable_engines",
        "waiting",
    )

    def __init__(
        self,
        policy: Policy,
        urgent_reserve: float,
        usable_engines: Callable[[], list[EngineView]],
        clock: Callable[[], float] = time.monotonic,
        on_granted: Callable[[str], None] = lambda engine: None,
    ):
        self.on_granted = on_granted
        self.policy = policy
        self.urgent_reserve = urgent_reserve
        self.usable_engines = usable_engines
        self.clock = clock
        self.sessions: dict[str, Counter] = {}
        self.loads: Counter = Counter()
        self.account_loads: Counter = Counter()
        self.waiting: list[QueueEntry] = []
        # When the queue was served last.
        self.served_at = -math.inf
        self.last_sequence = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.grant_times: dict[tuple[str, str, str], list[float]] = {}

    def grant_now(
        self, request: AdmissionRequest, session: str, is_holder_only: bool = False
    ) -> Granted | None:
        """Grant an engine without waiting; return None if none has room."""
        self.last_sequence += 1
        choice = choose_engine(
            self.policy,
            None if request.is_first_turn else request.chat,
            request.holders,
            self.candidates(request),
            hashing.digest(f"{session}{self.last_sequence}"),
            is_holder_only,
        )
        if choice is None:
            return None
        self.record_grant(session, choice.engine.name, request.account)
        self.on_granted(choice.engine.name)
        return Granted(choice.engine.name, choice.engine.incarnation, choice.why)

    def candidates(self, request: AdmissionRequest) -> list[Candidate]:
        """Return the usable engines with their loads and limits."""
        return [
            Candidate(e.name, e.incarnation, self.loads[e.name], self.limit(e, request))
            for e in self.usable_engines()
            if e.name not in request.exclude and e.room >= 1.0
        ]

    def limit(self, engine: EngineView, request: AdmissionRequest) -> int:
        """Return the load below which an engine may be granted to a request of this urgency."""
        if request.is_urgent:
            return engine.slots
        return min(engine.slots, max(1, math.floor(engine.slots * (1.0 - self.urgent_reserve))))

    def admit_now(self, request: AdmissionRequest, session: str) -> Admission | None:
        """Grant or refuse without waiting; return None if the request has to be queued."""
        self.serve_waiting_if_due()
        is_holder_only = self.should_wait_for_holder(request)
        if not self.has_requests_ahead(request):
            granted = self.grant_now(request, session, is_holder_only)
            if granted:
                return granted
        return None if is_holder_only else self.refuse_or_make_room(request)

    def should_wait_for_holder(self, request: AdmissionRequest) -> bool:
        """Return whether a request should wait for an engine that holds its prefix."""
        if request.holder_wait_s <= 0 or not isinstance(self.policy, BoundedLoad):
            return False
        holder_only_waiting = sum(entry.is_holder_only for entry in self.waiting)
        if holder_only_waiting >= self.queue_capacity(self.usable_engines()):
            return False
        return any(valid_holders(request.holders, self.candidates(request)))

    async def admit(self, request: AdmissionRequest, session: str) -> Admission:
        """Grant an engine, wait for one within the request's bound, or refuse."""
        return self.admit_now(request, session) or await self.wait(request, session)

    def has_requests_ahead(self, request: AdmissionRequest) -> bool:
        """Return whether requests of at least the same urgency are queued already."""
        return any(
            entry.request.urgency <= request.urgency for entry in self.queued_for_any_engine()
        )

    def queued_for_any_engine(self) -> list[QueueEntry]:
        """Return the queued requests that accept any engine, not only a holder."""
        return [entry for entry in self.waiting if not entry.is_holder_only]

    def refuse_or_make_room(self, request: AdmissionRequest) -> Refused | None:
        """Return a refusal, or None if a request may be queued.

        In a full queue another request may be evicted for it.
        """
        engines = [engine for engine in self.usable_engines() if engine.name not in request.exclude]
        if not engines:
            return Refused("no engine of the service is usable", MIN_RETRY_AFTER_S)
        if all(engine.room < 1.0 for engine in engines):
            return Refused(
                "all engines of the service have reached the rate limits that they named",
                MIN_RETRY_AFTER_S,
            )
        estimate_s = self.estimate_wait_s(request, engines)
        if estimate_s > request.queue_wait_s:
            return Refused(
                "the estimated wait in the queue exceeds the allowed wait",
                clamp_retry_after(estimate_s),
            )
        capacity = self.queue_capacity(engines)
        if self.account_waiting(request.account) >= self.account_queue_limit(request, capacity):
            return Refused(
                "the account has reached its share of the queue", clamp_retry_after(estimate_s)
            )
        if len(self.queued_for_any_engine()) >= capacity and not self.evict_for(request):
            return Refused("the queue is full", clamp_retry_after(estimate_s))
        return None

    def estimate_wait_s(self, request: AdmissionRequest, engines: list[EngineView]) -> float:
        """Estimate the time until a request would be admitted, in seconds."""
        own_key = self.fair_share_key(request)
        ahead = sum(
            self.fair_share_key(entry.request) <= own_key for entry in self.queued_for_any_engine()
        )
        slots = sum(self.limit(engine, request) for engine in engines)
        return (ahead + 1) * self.service_time_s / max(1, slots)

    def queue_capacity(self, engines: list[EngineView]) -> int:
        """Return the capacity of the queue: one request for each slot."""
        return max(1, sum(engine.slots for engine in engines))

    def account_waiting(self, account: str) -> int:
        """Return how many requests of an account are queued for any engine."""
        return sum(entry.request.account == account for entry in self.queued_for_any_engine())

    def account_queue_limit(self, request: AdmissionRequest, capacity: int) -> int:
        """Return the most requests that an account may queue.

        It is the whole capacity while no other account has queued requests, which may evict its
        own then, else the weighted share.
        """
        others = {
            entry.request.account: entry.request.weight
            for entry in self.queued_for_any_engine()
            if entry.request.account != request.account
        }
        if not others:
            return capacity
        share = request.weight / (request.weight + sum(others.values()))
        return max(1, math.ceil(capacity * share))

    def evict_for(self, request: AdmissionRequest) -> bool:
        """Evict a queued request for a more urgent one, or one of an account that uses less.

        Return whether a request was evicted.
        """
        last = max(self.queued_for_any_engine(), key=self.eviction_key)
        is_less_urgent = last.request.urgency > request.urgency
        is_higher_use = self.weighted_queue_use(last.request) > self.weighted_queue_use(request, 1)
        if not is_less_urgent and not (last.request.urgency == request.urgency and is_higher_use):
            return False
        self.waiting.remove(last)
        reason = (
            "evicted from the queue by a more urgent request or an account that uses less of it"
        )
        resolve(last.decision, Refused(reason, MIN_RETRY_AFTER_S))
        return True

    def eviction_key(self, entry: QueueEntry) -> tuple[int, float, int]:
        """Return the sort key for eviction; the highest is evicted first."""
        return (entry.request.urgency, self.weighted_queue_use(entry.request), entry.sequence)

    def weighted_queue_use(self, request: AdmissionRequest, more: int = 0) -> float:
        """Return the queued requests of an account, and `more`, divided by its weight."""
        return (self.account_waiting(request.account) + more) / request.weight

    async def wait(self, request: AdmissionRequest, session: str) -> Admission:
        """Wait for a holder of the prefix, then for any engine, within the request's bounds."""
        self.last_sequence += 1
        decision = asyncio.get_running_loop().create_future()
        is_holder_only = self.should_wait_for_holder(request)
        entry = QueueEntry(request, session, self.last_sequence, is_holder_only, decision)
        self.waiting.append(entry)
        try:
            return await self.wait_for_decision(entry)
        except asyncio.CancelledError:
            if decision.done() and isinstance(decision.result(), Granted):
                self.release(session, decision.result().engine, request.account)
            raise
        finally:
            if entry in self.waiting:
                self.waiting.remove(entry)

    async def wait_for_decision(self, entry: QueueEntry) -> Admission:
        """Wait until a queued request is decided or its wait is over."""
        request, decision = entry.request, entry.decision
        remaining_s = request.queue_wait_s
        if entry.is_holder_only:
            holder_wait_s = min(request.holder_wait_s, remaining_s)
            remaining_s -= holder_wait_s
            await self.wait_in_queue(decision, holder_wait_s)
            if decision.done():
                return decision.result()
            entry.is_holder_only = False
            self.serve_waiting()
            if not decision.done():
                # The entry must not count against its own request.
                self.waiting.remove(entry)
                refused = self.refuse_or_make_room(request)
                if refused:
                    return refused
                self.waiting.append(entry)
        await self.wait_in_queue(decision, remaining_s)
        if decision.done():
            return decision.result()
        estimate_s = self.estimate_wait_s(request, self.usable_engines())
        return Refused(
            "no engine became free within the allowed wait", clamp_retry_after(estimate_s)
        )

    async def wait_in_queue(self, decision: asyncio.Future, timeout_s: float) -> None:
        """Wait for a decision; serve the queue meanwhile, for engines that get room by time alone.

        No attempt ends then that would serve it: a rate limit allows more, an ejection ends.
        """
        remaining_s = timeout_s
        while remaining_s > 0.0 and not decision.done():
            await asyncio.wait([decision], timeout=min(remaining_s, QUEUE_CHECK_PERIOD_S))
            remaining_s -= QUEUE_CHECK_PERIOD_S
            self.serve_waiting_if_due()

    def serve_waiting_if_due(self) -> None:
        """Serve the queue, if there is one, unless that was done a moment ago."""
        if self.waiting and self.clock() - self.served_at >= QUEUE_CHECK_PERIOD_S:
            self.serve_waiting()

    def serve_waiting(self) -> None:
        """Admit queued requests in fair order while engines have room."""
        self.served_at = self.clock()
        while self.serve_one():
            pass

    def serve_one(self) -> bool:
        """Admit the first queued request that an engine has room for.

        Return whether a request was admitted.
        """
        blocked: set[int] = set()
        for entry in self.fair_order():
            if entry.request.urgency in blocked and not entry.is_holder_only:
                continue
            granted = self.grant_now(entry.request, entry.session, entry.is_holder_only)
            if granted:
                self.waiting.remove(entry)
                resolve(entry.decision, granted)
                return True
            if not entry.request.exclude and not entry.is_holder_only:
                blocked.add(entry.request.urgency)
        return False

    def fair_order(self) -> list[QueueEntry]:
        """Return the queue by urgency, then by the weighted load of the accounts."""
        return sorted(
            self.waiting, key=lambda entry: (*self.fair_share_key(entry.request), entry.sequence)
        )

    def fair_share_key(self, request: AdmissionRequest) -> tuple[int, float]:
        """Return the sort key of a request in the queue; the lowest is admitted first."""
        return (request.urgency, self.account_loads[request.account] / request.weight)

    def record_grant(self, session: str, engine: str, account: str) -> None:
        """Record one granted attempt of a session."""
        self.sessions.setdefault(session, Counter())[engine, account] += 1
        self.loads[engine] += 1
        self.account_loads[account] += 1
        self.grant_times.setdefault((session, engine, account), []).append(self.clock())

    def release(self, session: str, engine: str, account: str) -> None:
        """Release one attempt of a session; ignore an unknown one."""
        grants = self.sessions.get(session)
        if not grants or grants[engine, account] <= 0:
            return
        duration_s = self.clock() - self.grant_times[session, engine, account][0]
        self.service_time_s += (duration_s - self.service_time_s) * SERVICE_TIME_SMOOTHING
        self.remove_oldest(session, engine, account, 1)
        self.serve_waiting()

    def remove_oldest(self, session: str, engine: str, account: str, count: int) -> None:
        """Remove the oldest attempts of a session on an engine from all counts."""
        started = self.grant_times[session, engine, account]
        del started[:count]
        if not started:
            del self.grant_times[session, engine, account]
        for counter, key in (
            (self.sessions[session], (engine, account)),
            (self.loads, engine),
            (self.account_loads, account),
        ):
            counter[key] -= count
            if counter[key] <= 0:
                del counter[key]

    def replace_grants(self, session: str, grants: dict[tuple[str, str], int]) -> None:
        """Replace the recorded grants of a session by those that its router reports."""
        previous = dict(self.sessions.get(session, {}))
        for engine, account in previous.keys() | grants.keys():
            missing = grants.get((engine, account), 0) - previous.get((engine, account), 0)
            for _ in range(missing):
                self.record_grant(session, engine, account)
            if missing < 0:
                self.remove_oldest(session, engine, account, -missing)
        self.serve_waiting()

    def remove_session(self, session: str) -> None:
        """Remove a session and its load when its router is gone."""
        for (engine, account), count in list(self.sessions.get(session, {}).items()):
            self.remove_oldest(session, engine, account, count)
        self.sessions.pop(session, None)
        self.serve_waiting()


def resolve(decision: asyncio.Future, admission: Admission) -> None:
    """Set the decision on a queued request unless it has one."""
    if not decision.done():
        decision.set_result(admission)


def clamp_retry_after(estimate_s: float) -> float:
    """Return the delay before the next request, in seconds, within its limits."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, estimate_s))
