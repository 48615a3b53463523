"""Model of a contended service without a network: accounts, routers with old reports, engines."""

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from marjoramspool import hashing
from marjoramspool.admission.account_admission import Account, AccountAdmission, Contended
from marjoramspool.admission.service_capacity import ServiceView
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.placement.cost_placement import (
    REQUEST_COST_TOKENS,
    Candidate,
    UnreportedLoad,
    choose_engine,
)

__all__ = ["ContentionModel", "Engine"]

SERVICE = "desk"
POLL_S = 0.01
DEADLINE_S = 3.0
# Retries for each request, and how many may be saved up.
RETRY_RATIO = 0.15
MAX_RETRIES = 100.0


@dataclass(slots=True)
class Engine:
    """Engine with some slots, and places for requests that wait for one."""

    id: str
    slots: int = 3
    queue: int = 0
    work_s: float = 0.1
    # Slots that it registered.
    registered: int = 3
    is_lost: bool = False
    running: int = 0
    waiting: list = field(default_factory=list)


@dataclass(slots=True)
class ModelRouter:
    """Router with the loads that it knows."""

    number: int
    admission: AccountAdmission
    group: int = 0
    local: Counter = field(default_factory=Counter)
    # Its loads in the last sum that it has received, and that sum.
    told: Counter = field(default_factory=Counter)
    heard: Counter = field(default_factory=Counter)


class ContentionModel:
    """Routers that serve accounts together; reports are `period_s` apart and `delay_s` old."""

    def __init__(self, routers: int, engines: list[Engine], period_s: float, delay_s: float):
        self.random = random.Random(1)
        self.now_s = 0.0
        self.events: list = []
        self.numbers = count()
        self.engines = engines
        self.period_s, self.delay_s = period_s, delay_s
        self.groups = 1
        self.routers = [self.new_router(number) for number in range(routers)]
        # Results by account: served, refused and turned away by engines, since the last reset.
        self.results: dict[str, Counter] = defaultdict(Counter)
        self.wanted: dict[str, float] = {}
        self.priorities: dict[str, int] = {}
        self.longest_refusal_s = 0.0
        self.retries = 0.0
        self.later(0.0, self.report)

    def new_router(self, number: int) -> ModelRouter:
        """Return a router that knows nothing yet."""
        admission = AccountAdmission(
            lambda _: self.view(number),
            lambda _: [self.account(name) for name in self.wanted],
            lambda: self.now_s,
        )
        return ModelRouter(number, admission)

    def account(self, name: str) -> Account:
        """Return an account by its name."""
        return Account(SERVICE, name, self.priorities.get(name, 1))

    def later(self, delay_s: float, call: Callable, *arguments: object) -> None:
        """Call something after a time."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), call, arguments))

    def run(self, duration_s: float) -> None:
        """Run the model for a time."""
        until = self.now_s + duration_s
        while self.events and self.events[0][0] <= until:
            self.now_s, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now_s = until

    def measure(self, settling_s: float, duration_s: float) -> float:
        """Run until settled and then for a time; return the part of the slots that was used."""
        self.run(settling_s)
        self.results.clear()
        self.longest_refusal_s = 0.0
        self.run(duration_s)
        served = sum(found["served"] for found in self.results.values())
        capacity = sum(e.slots / e.work_s for e in self.engines if not e.is_lost)
        return served / (capacity * duration_s)

    def served_part(self, name: str) -> float:
        """Return the part of an account's requests that was served."""
        found = self.results[name]
        return found["served"] / max(1, found["served"] + found["refused"])

    def ask(self, name: str, per_s: float, priority: int = 1) -> None:
        """Let an account ask at a rate at all routers; it asked at another rate before, or not."""
        is_new = name not in self.wanted
        self.wanted[name] = per_s
        self.priorities[name] = priority
        if is_new:
            self.arrive(name)

    def arrive(self, name: str) -> None:
        """Let a request arrive, and the next one later."""
        per_s = self.wanted[name]
        if per_s <= 0.0:
            del self.wanted[name]
            return
        self.later(self.random.expovariate(per_s), self.arrive, name)
        router = self.random.choice(self.routers)
        request = f"{name}-{next(self.numbers)}"
        refusal = router.admission.decide(self.account(name), request, DEADLINE_S)
        if refusal:
            self.results[name]["refused"] += 1
        else:
            self.place(router, name, request, self.now_s, frozenset())

    def place(
        self,
        router: ModelRouter,
        name: str,
        request: str,
        since: float,
        tried: frozenset[str],
        may_queue: bool = False,
    ) -> None:
        """Send a request to an engine, let it wait or refuse it."""
        admission, account = router.admission, self.account(name)
        engines = [e for e in self.engines if not e.is_lost and e.id not in tried]
        if admission.tells_free_slots(SERVICE) and not may_queue:
            known = {e.id: (self.known(router, e.id), e.registered) for e in engines}
            free = {
                engine: slots
                for engine, load in known.items()
                if (slots := admission.free_slots(SERVICE, engine, *load))
            }
            has_room = admission.has_room(account, request, sum(free.values()))
            engines = [e for e in engines if e.id in free] if has_room else []
        candidates = [Candidate(e.id, Load(self.known(router, e.id))) for e in engines]
        unreported = UnreportedLoad(self.unreported_tokens())
        choice = choose_engine(candidates, hashing.digest(request), 0, unreported)
        if choice is None:
            self.wait(router, name, request, since, may_queue)
            return
        engine = next(e for e in engines if e.id == choice.engine.name)
        requests = self.known(router, engine.id)
        self.retries = min(MAX_RETRIES, self.retries + (0.0 if tried else RETRY_RATIO))
        if engine.running + len(engine.waiting) >= engine.slots + engine.queue:
            self.results[name]["turned away"] += 1
            admission.record_refusal(SERVICE, engine.id, requests, engine.registered)
            if self.may_try_again(admission.is_throttled(account)):
                self.place(router, name, request, since, tried | {engine.id}, may_queue)
            else:
                self.refuse(name, since)
            return
        router.local[engine.id] += 1
        self.begin(engine, (router, name, self.now_s, requests + 1))

    def may_try_again(self, is_throttled: bool) -> bool:
        """Spend a retry if the fleet's budget allows it; return whether it did."""
        if self.retries < (MAX_RETRIES / 2 if is_throttled else 1.0):
            return False
        self.retries -= 1.0
        return True

    def unreported_tokens(self) -> float:
        """Return the work that all routers have sent since the last reports."""
        sent_per_s = sum(min(e.slots / e.work_s, 1e6) for e in self.engines if not e.is_lost)
        return sent_per_s * (self.delay_s + self.period_s / 2) * REQUEST_COST_TOKENS

    def wait(
        self, router: ModelRouter, name: str, request: str, since: float, may_queue: bool
    ) -> None:
        """Let a request wait for a free slot, or refuse it."""
        left_s = DEADLINE_S - (self.now_s - since)
        refusal: Contended = router.admission.refuse_full(self.account(name), request, left_s)
        if self.now_s - since < refusal.wait_s:
            self.later(POLL_S, self.place, router, name, request, since, frozenset())
        elif refusal.may_queue and not may_queue:
            self.place(router, name, request, since, frozenset(), True)
        else:
            self.refuse(name, since)

    def refuse(self, name: str, since: float) -> None:
        """Refuse a request."""
        self.results[name]["refused"] += 1
        self.longest_refusal_s = max(self.longest_refusal_s, self.now_s - since)

    def begin(self, engine: Engine, request: tuple) -> None:
        """Run a request in an engine, or queue it there."""
        if engine.running >= engine.slots:
            engine.waiting.append(request)
            return
        engine.running += 1
        self.later(engine.work_s * self.random.uniform(0.9, 1.1), self.end, engine, request)

    def end(self, engine: Engine, request: tuple) -> None:
        """End a request, and run the next one."""
        router, name, sent_at, requests = request
        router.local[engine.id] -= 1
        engine.running -= 1
        if engine.is_lost:
            self.results[name]["lost"] += 1
            return
        self.results[name]["served"] += 1
        time_s = self.now_s - sent_at
        router.admission.record_answer(SERVICE, time_s, requests, engine.registered)
        if engine.waiting:
            self.begin(engine, engine.waiting.pop(0))

    def known(self, router: ModelRouter, engine: str) -> int:
        """Return the requests at an engine that a router knows of."""
        return router.local[engine] + max(0, router.heard[engine] - router.told[engine])

    def view(self, number: int) -> ServiceView:
        """Return what a router knows of the service."""
        router = self.routers[number]
        engines = [e for e in self.engines if not e.is_lost]
        return ServiceView(
            sum(e.registered for e in engines),
            sum(self.known(router, e.id) for e in engines),
            len(self.routers),
            1.0 / self.groups,
            self.delay_s + self.period_s / 2,
        )

    def report(self) -> None:
        """Let all routers report, and receive the sum after the delay."""
        self.later(self.period_s, self.report)
        for group in range(self.groups):
            members = [r for r in self.routers if r.number % self.groups == group]
            engines: Counter = Counter()
            accounts: dict[int, Load] = {}
            own = []
            for router in members:
                engines.update(router.local)
                loads = dict(router.admission.own_loads())
                own.append((router, router.local.copy(), loads))
                for key, load in loads.items():
                    accounts.setdefault(key, Load()).add(load)
            self.later(self.delay_s, self.receive, engines, accounts, own)

    def receive(self, engines: Counter, accounts: dict[int, Load], own: list) -> None:
        """Let routers use a sum without what they told of it themselves."""
        for router, local, loads in own:
            router.heard, router.told = engines, local
            others = {key: load.remaining(loads.get(key, Load())) for key, load in accounts.items()}
            router.admission.reported.replace_report("sum", others)
