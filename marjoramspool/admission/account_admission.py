"""Admission of client accounts to a service whose demand exceeds its capacity.

Load patterns: a hot account, a burst of one kind of requests, the loss of half of the engines at
once, and these together. No router owns a queue and none decides for all: each divides the same
capacity among the accounts by what all routers tell of their demand, and admits the part of its own
requests of an account that this allows.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import lru_cache

from marjoramspool import hashing
from marjoramspool.admission.account_shares import Demand, Shares, divide
from marjoramspool.admission.service_capacity import CapacitySums, ServiceCapacity, ServiceView
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_loads import EngineLoads, Load
from marjoramspool.engine_state.unreported_load import WorkRate
from marjoramspool.events import Event, log
from marjoramspool.retry_delay import longest_retry_delay_s

__all__ = ["Account", "AccountAdmission", "Contended", "account_id"]

MILLI = 1000
# Names in place of an account, which no account has, for sums over all requests of a service.
ANSWERS = "\0answers"
REFUSALS = "\0refusals"
# Time constant of the decaying sums of requests, which therefore are rates per second too.
SMOOTHING_S = 1.0
REFRESH_PERIOD_S = 0.03
# Larger services are looked at less often: that goes through all engines and accounts.
REFRESH_PERIOD_PER_SLOT_S = 2e-5
REFRESH_PERIOD_PER_ACCOUNT_S = 1e-4
# A service is contended for this long after a sign of pressure.
PRESSURE_HOLD_S = 2.0
# Part of the slots, and of the capacity, in use from which a service is contended.
PRESSURE_PART = 0.9
# A router that hears less of the fleet, as after its start, does not know enough of its requests;
# engines that turn requests away show pressure then.
MIN_HEARD_SHARE = 0.5
# The accounts that other routers may tell of are listed again after this time.
ACCOUNTS_AGE_S = 1.0
# Tolerance for errors of the measured capacity and demand, so that an account at its fair share is
# not throttled.
ENTITLED_FACTOR = 1.15
# Accounts of one service that a router tells of, those with the highest demand.
MAX_TOLD_ACCOUNTS = 32
# Sums below this, in requests, are forgotten.
MIN_SUM = 0.001
# An engine that turned a request away counts as full for this many report ages.
FULL_REPORT_AGES = 1.0
# A request waits this long for a free slot, one of an account beyond its share for less.
MAX_WAIT_S = 0.25
THROTTLED_WAIT_S = 0.1
MAX_WAIT_FRACTION = 0.25
MIN_RETRY_DELAY_S = 0.5
MAX_OVERLOAD = 8.0
# Part of the delay by which callers of the highest priority come back sooner.
MOST_URGENT_ADVANCE = 0.4
# A request is hopeless with less time left than this part of what it is expected to take.
HOPELESS_PART = 0.5


@dataclass(slots=True, frozen=True)
class Account:
    """Client account at a service and a priority; the name is empty for callers without one."""

    service: str
    name: str
    priority: int

    @property
    def id(self) -> int:
        """Return the 32-bit id in messages."""
        return account_id(self.service, self.name, self.priority)


@dataclass(slots=True, frozen=True)
class Contended:
    """A request refused under contention, with the delay before its retry, in seconds.

    `admitted_part` is the part of its account's requests that is admitted. The request may wait
    for up to `wait_s` before it is refused, since there was just no free slot. With `may_queue` its
    account wants no more than its share, and it may queue in an engine after that time.
    """

    retry_after_s: float
    admitted_part: float
    is_too_late: bool = False
    wait_s: float = 0.0
    may_queue: bool = False


@dataclass(slots=True)
class ServiceState:
    """Demand for one service and what is known of its capacity."""

    capacity: ServiceCapacity
    view: ServiceView = ServiceView(0, 0.0)
    viewed_at: float = -math.inf
    pressed_at: float = -math.inf
    is_contended: bool = False
    # Until when engines count as full since they turned a request away.
    full_until: dict[str, float] = field(default_factory=dict)
    # Accounts that other routers may tell of, by id, and when they were listed.
    accounts: dict[int, Account] = field(default_factory=dict)
    accounts_at: float = -math.inf
    # Shares of what may be sent now, and of the capacity.
    shares: Shares = Shares({})
    entitled: Shares = Shares({})
    wanted: dict[Account, WorkRate] = field(default_factory=dict)
    sent: dict[Account, WorkRate] = field(default_factory=dict)


@lru_cache(maxsize=65536)
def account_id(service: str, name: str, priority: int) -> int:
    """Return the 32-bit id of an account at a service and a priority."""
    return hashing.digest(f"{service}\0{name}\0{priority}") & 0xFFFFFFFF


class AccountAdmission:
    """Admission of requests by account, only while their service is contended.

    `view` returns what is known of a service's engines, `accounts` the accounts that other routers
    may tell of. `reported` has the sums of other routers, by account id.
    """

    __slots__ = ("accounts", "clock", "reported", "services", "view")

    def __init__(
        self,
        view: Callable[[str], ServiceView],
        accounts: Callable[[str], Iterable[Account]] = lambda _: (),
        clock: Callable[[], float] = now,
    ):
        self.clock = clock
        self.view = view
        self.accounts = accounts
        self.reported = EngineLoads()
        self.services: dict[str, ServiceState] = {}

    def state(self, service: str) -> ServiceState:
        """Return the state of a service, created at first use."""
        if service not in self.services:
            self.services[service] = ServiceState(ServiceCapacity(self.clock))
        return self.services[service]

    def decide(self, account: Account, request: str, remaining_s: float) -> Contended | None:
        """Return the refusal of a request, None if it is admitted; count it as wanted."""
        state = self.state(account.service)
        rate_of(state.wanted, account, self.clock).record(1.0)
        self.refresh(account.service, state)
        if state.is_contended and (refusal := self.refuse(state, account, request, remaining_s)):
            return refusal
        rate_of(state.sent, account, self.clock).record(1.0)
        return None

    def refuse(
        self, state: ServiceState, account: Account, request: str, remaining_s: float
    ) -> Contended | None:
        """Return the refusal of a request for a contended service, None if it is admitted."""
        draw = self.draw(request)
        # What may be sent now falls below the capacity at times; that is for accounts beyond their
        # share.
        is_throttled = self.is_throttled(account)
        part = state.shares.admitted_part(self.demand(state, account)) if is_throttled else 1.0
        is_too_late = remaining_s < HOPELESS_PART * state.capacity.expected_time_s(state.view)
        if draw < part and not is_too_late:
            return None
        delay_s = retry_delay_s(account.priority, part, remaining_s, request)
        return Contended(delay_s, part, is_too_late)

    def refuse_full(self, account: Account, request: str, remaining_s: float) -> Contended:
        """Return the refusal of a request for which there is no free slot."""
        state = self.state(account.service)
        state.pressed_at = self.clock()
        part = state.shares.admitted_part(self.demand(state, account))
        delay_s = retry_delay_s(account.priority, part, remaining_s, request)
        is_throttled = self.is_throttled(account)
        wait_s = THROTTLED_WAIT_S if is_throttled else MAX_WAIT_S
        wait_s = min(wait_s, MAX_WAIT_FRACTION * remaining_s)
        return Contended(delay_s, part, wait_s=wait_s, may_queue=not is_throttled)

    def draw(self, request: str) -> float:
        """Return the draw of a request, from 0 to 1; it is another for a retry a second later."""
        return hashing.fraction(f"{request}/{int(self.clock())}")

    def is_throttled(self, account: Account) -> bool:
        """Return whether an account wants more than its share of the capacity.

        The rate that may be sent does not tell: from one moment to the next it is above and below
        the demand.
        """
        state = self.services.get(account.service)
        if state is None or not state.is_contended:
            return False
        return state.entitled.admitted_part(self.demand(state, account)) < 1.0

    def demand(self, state: ServiceState, account: Account) -> Demand:
        """Return the demand of an account at all routers that are heard."""
        own = decayed(state.wanted, account, self.clock())
        others = max(0, self.reported.others(account.id).wanted_milli) / MILLI
        return Demand(account.priority, (own + others) / SMOOTHING_S)

    def demands(self, service: str, state: ServiceState) -> list[Demand]:
        """Return the demand of each account that this router or another one has requests of."""
        told = self.reported.reported_totals
        now_s = self.clock()
        if told and now_s - state.accounts_at >= ACCOUNTS_AGE_S:
            state.accounts_at = now_s
            state.accounts = {account.id: account for account in self.accounts(service)}
        # The few that are told are looked up, not the many that there may be.
        others = {state.accounts[key] for key in told if key in state.accounts}
        return [self.demand(state, account) for account in state.wanted.keys() | others]

    def refresh(self, service: str, state: ServiceState) -> None:
        """Look at a service again if that is due: whether it is contended, and the shares."""
        now_s = self.clock()
        extra_s = REFRESH_PERIOD_PER_SLOT_S * state.view.slots
        extra_s += REFRESH_PERIOD_PER_ACCOUNT_S * len(state.wanted)
        if now_s - state.viewed_at < REFRESH_PERIOD_S + extra_s:
            return
        state.viewed_at = now_s
        state.view = view = self.view(service)
        state.capacity.update(self.told_sums(service), view)
        prune(state.wanted, now_s)
        prune(state.sent, now_s)
        state.full_until = {name: at for name, at in state.full_until.items() if at > now_s}
        demands = self.demands(service, state)
        if self.is_pressed(state, demands):
            state.pressed_at = now_s
        # Before any answer it is unknown what the engines can run.
        allowed_per_s = state.capacity.allowed_per_s(view)
        mean_per_s = state.capacity.mean_per_s(view)
        allowed_per_s = math.inf if allowed_per_s is None else allowed_per_s
        capacity_per_s = math.inf if mean_per_s is None else mean_per_s * view.heard_share
        is_contended = now_s - state.pressed_at < PRESSURE_HOLD_S
        if is_contended != state.is_contended:
            state.is_contended = is_contended
            self.log_change(service, state, demands)
        if is_contended:
            state.shares = divide(allowed_per_s, demands)
            state.entitled = divide(ENTITLED_FACTOR * capacity_per_s, demands)

    def is_pressed(self, state: ServiceState, demands: list[Demand]) -> bool:
        """Return whether the engines of a service are full or its demand is near its capacity."""
        view, capacity = state.view, state.capacity
        slots = view.slots * min(1.0, capacity.fill) * view.heard_share
        if not slots or view.heard_share < MIN_HEARD_SHARE:
            return False
        capacity_per_s = capacity.mean_per_s(view)
        wanted_per_s = sum(demand.per_s for demand in demands)
        return view.requests >= PRESSURE_PART * slots or (
            capacity_per_s is not None
            and wanted_per_s >= PRESSURE_PART * capacity_per_s * view.heard_share
        )

    def log_change(self, service: str, state: ServiceState, demands: list[Demand]) -> None:
        """Log that the contention for a service began or ended."""
        log(
            Event.CONTENTION_BEGUN if state.is_contended else Event.CONTENTION_ENDED,
            service=service,
            wanted_per_s=round(sum(demand.per_s for demand in demands), 1),
            capacity_per_s=round(state.capacity.mean_per_s(state.view) or 0.0, 1),
            slots=state.view.slots,
            requests=state.view.requests,
            accounts=len(demands),
        )

    def record_answer(self, service: str, time_s: float, requests: int, slots: int) -> None:
        """Record the time of a request in an engine that had `requests`, itself included."""
        state = self.state(service)
        state.capacity.record_answer(time_s, requests, slots, state.view)

    def record_refusal(self, service: str, engine: str, requests: int, slots: int) -> None:
        """Record that an engine of a service with `requests` turned another one away."""
        state = self.state(service)
        now_s = self.clock()
        state.pressed_at = now_s
        state.full_until[engine] = now_s + FULL_REPORT_AGES * state.view.report_age_s
        state.capacity.record_refusal(requests, slots, state.view)

    def record_full(self, service: str) -> None:
        """Record that no engine of a service had room for a request."""
        self.state(service).pressed_at = self.clock()

    def own_loads(self) -> Iterator[tuple[int, Load]]:
        """Yield the sums of this router to tell of the accounts at contended services."""
        now_s = self.clock()
        for service, state in self.services.items():
            # Without demand there is nothing to tell.
            if not state.is_contended and not state.wanted:
                continue
            self.refresh(service, state)
            if not state.is_contended:
                continue
            sums = state.capacity.own_sums()
            yield account_id(service, ANSWERS, 0), load_of(sums.answers, sums.times_s)
            yield account_id(service, REFUSALS, 0), load_of(sums.refusals, sums.unexplained)
            wanted = [(rate.decayed_work(now_s), account) for account, rate in state.wanted.items()]
            wanted.sort(key=lambda entry: entry[0], reverse=True)
            for work, account in wanted[:MAX_TOLD_ACCOUNTS]:
                sent = decayed(state.sent, account, now_s)
                yield account.id, load_of(sent, work)

    def has_room(self, account: Account, request: str, free_slots: int) -> bool:
        """Return whether a request may go to a contended service with some free slots.

        Where accounts that want more than their share compete for a slot before reports of that
        arrive, as many of their requests pass as there are slots.
        """
        if not self.is_throttled(account):
            return free_slots > 0
        state = self.state(account.service)
        rate_per_s = state.capacity.mean_per_s(state.view) or 0.0
        others = 1.0 - 1.0 / state.view.routers
        unreported = rate_per_s * others * state.view.report_age_s
        draw = hashing.fraction(f"{request}/{self.clock()}")
        return draw * (1.0 + unreported) < free_slots

    def tells_free_slots(self, service: str) -> bool:
        """Return whether a service is contended and reports tell which engines have free slots.

        With older reports, an engine that all routers take for full would get nothing for a while.
        """
        state = self.services.get(service)
        return (
            state is not None and state.is_contended and state.capacity.tells_free_slots(state.view)
        )

    def free_slots(self, service: str, engine: str, requests: int, slots: int) -> int:
        """Return how many more requests an engine of a contended service may get."""
        state = self.state(service)
        if state.full_until.get(engine, -math.inf) > self.clock():
            return 0
        return max(0, state.capacity.places(slots) - requests)

    def told_sums(self, service: str) -> CapacitySums:
        """Return what other routers tell of the answers and refusals of a service's engines."""
        answers = self.reported.others(account_id(service, ANSWERS, 0))
        refusals = self.reported.others(account_id(service, REFUSALS, 0))
        return CapacitySums(
            max(0, answers.sent_milli) / MILLI,
            max(0, answers.wanted_milli) / MILLI,
            max(0, refusals.sent_milli) / MILLI,
            max(0, refusals.wanted_milli) / MILLI,
        )

    def contended(self) -> list[str]:
        """Return the services that are contended."""
        return [service for service, state in self.services.items() if state.is_contended]


def load_of(first: float, second: float) -> Load:
    """Return two sums as they are told, in thousandths."""
    return Load(sent_milli=round(first * MILLI), wanted_milli=round(second * MILLI))


def retry_delay_s(priority: int, admitted_part: float, remaining_s: float, request: str) -> float:
    """Return when the caller of a refused request should come back, the less urgent later."""
    overload = min(MAX_OVERLOAD, 1.0 / max(1e-9, admitted_part))
    longest_s = longest_retry_delay_s(remaining_s)
    # Half of the longest delay is left for the spread.
    delay_s = min(MIN_RETRY_DELAY_S * overload, longest_s / 2)
    delay_s *= 1.0 - MOST_URGENT_ADVANCE / (1.0 + priority)
    return delay_s * (1.0 + hashing.fraction(f"retry/{request}"))


def rate_of(
    rates: dict[Account, WorkRate], account: Account, clock: Callable[[], float]
) -> WorkRate:
    """Return the decaying sum of an account, created at first use."""
    if account not in rates:
        rates[account] = WorkRate(clock, SMOOTHING_S)
    return rates[account]


def decayed(rates: dict[Account, WorkRate], account: Account, now_s: float) -> float:
    """Return the decaying sum of an account at a time, 0 if nothing was recorded."""
    return rates[account].decayed_work(now_s) if account in rates else 0.0


def prune(rates: dict[Account, WorkRate], now_s: float) -> None:
    """Remove the accounts whose last requests were long ago."""
    for account in [a for a, rate in rates.items() if rate.decayed_work(now_s) < MIN_SUM]:
        del rates[account]
