"""One cell at its owner: load, fair queue, headroom and refusals."""

import asyncio
import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramspool import hashing
from marjoramspool.admission_messages import Admission, Ask, EngineView, Granted, Refused
from marjoramspool.bounded_placement import Bounded, Candidate, Policy, choose, valid_holders

__all__ = ["Cell"]

SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 30.0
FIRST_SERVICE_TIME_S = 0.5
SERVICE_TIME_SHARE = 0.05


@dataclass(slots=True)
class Waiting:
    """Hold one ask in the queue."""

    ask: Ask
    session: str
    number: int
    is_patient: bool
    answer: asyncio.Future = field(repr=False)


class Cell:
    """Admit requests to the engines of one cell.

    `view` returns the usable engines now. Loads are kept a session (one for each router), so that
    a router that is gone takes its share of the load with it.
    """

    __slots__ = (
        "accounts",
        "busy",
        "clock",
        "loads",
        "numbers",
        "policy",
        "reserve",
        "service_time_s",
        "sessions",
        "view",
        "waiting",
    )

    def __init__(
        self,
        policy: Policy,
        reserve: float,
        view: Callable[[], list[EngineView]],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.policy = policy
        self.reserve = reserve
        self.view = view
        self.clock = clock
        self.sessions: dict[str, Counter] = {}
        self.loads: Counter = Counter()
        self.accounts: Counter = Counter()
        self.waiting: list[Waiting] = []
        self.numbers = 0
        self.service_time_s = FIRST_SERVICE_TIME_S
        self.busy: dict[tuple[str, str, str], list[float]] = {}

    def place(self, ask: Ask, session: str, is_patient: bool = False) -> Granted | None:
        """Grant an engine at once, or return None if there is none now."""
        self.numbers += 1
        choice = choose(
            self.policy,
            None if ask.first_turn else ask.chat,
            ask.holders,
            self.candidates(ask),
            hashing.digest(f"{session}{self.numbers}"),
            is_patient,
        )
        if choice is None:
            return None
        self.hold(session, choice.engine.name, ask.account)
        return Granted(choice.engine.name, choice.engine.incarnation, choice.why)

    def candidates(self, ask: Ask) -> list[Candidate]:
        """Return the usable engines with their loads and limits."""
        return [
            Candidate(e.name, e.incarnation, self.loads[e.name], self.limit(e, ask))
            for e in self.view()
            if e.name not in ask.exclude
        ]

    def limit(self, engine: EngineView, ask: Ask) -> int:
        """Return how many requests an engine may carry when an ask of this class is admitted."""
        if ask.is_urgent:
            return engine.slots
        return max(1, math.floor(engine.slots * (1.0 - self.reserve)))

    def admit_now(self, ask: Ask, session: str) -> Admission | None:
        """Grant or refuse at once; return None if the ask has to wait."""
        is_patient = self.waits_for_holder(ask)
        if not self.overtaken(ask):
            granted = self.place(ask, session, is_patient)
            if granted:
                return granted
        return None if is_patient else self.refusal(ask)

    def waits_for_holder(self, ask: Ask) -> bool:
        """Tell whether an ask would rather wait for an engine that holds its prefix."""
        if ask.patience_s <= 0 or not isinstance(self.policy, Bounded):
            return False
        patient = sum(waiting.is_patient for waiting in self.waiting)
        if patient >= self.queue_places(self.view()):
            return False
        return any(valid_holders(ask.holders, self.candidates(ask)))

    async def admit(self, ask: Ask, session: str) -> Admission:
        """Grant an engine, wait for one within the ask's bound, or refuse at once."""
        return self.admit_now(ask, session) or await self.wait(ask, session)

    def overtaken(self, ask: Ask) -> bool:
        """Tell whether asks of at least the same class wait already."""
        return any(waiting.ask.urgency <= ask.urgency for waiting in self.queue())

    def queue(self) -> list[Waiting]:
        """Return the asks that wait for any engine, not just for a holder."""
        return [waiting for waiting in self.waiting if not waiting.is_patient]

    def refusal(self, ask: Ask) -> Refused | None:
        """Return a refusal if an ask cannot be admitted within its wait."""
        engines = [engine for engine in self.view() if engine.name not in ask.exclude]
        if not engines:
            return Refused("no engine of the service is usable", SHORTEST_RETRY_S)
        estimate_s = self.estimate_wait(ask, engines)
        if estimate_s > ask.wait_s:
            return Refused("the queue is longer than the allowed wait", bounded_retry(estimate_s))
        places = self.queue_places(engines)
        if self.account_waiting(ask.account) >= self.account_places(ask, places):
            return Refused("the account has its share of the queue", bounded_retry(estimate_s))
        if len(self.queue()) >= places and not self.evict_for(ask):
            return Refused("the queue is full", bounded_retry(estimate_s))
        return None

    def estimate_wait(self, ask: Ask, engines: list[EngineView]) -> float:
        """Estimate the seconds until an ask would be admitted."""
        mine = self.fair_place(ask)
        before = sum(self.fair_place(waiting.ask) <= mine for waiting in self.queue())
        slots = sum(self.limit(engine, ask) for engine in engines)
        return (before + 1) * self.service_time_s / max(1, slots)

    def queue_places(self, engines: list[EngineView]) -> int:
        """Return the length of the queue: one place for each slot."""
        return max(1, sum(engine.slots for engine in engines))

    def account_waiting(self, account: str) -> int:
        """Return how many asks of an account wait."""
        return sum(waiting.ask.account == account for waiting in self.queue())

    def account_places(self, ask: Ask, places: int) -> int:
        """Return the places that an account may take: all if alone, else its weighted share."""
        others = {w.ask.account: w.ask.weight for w in self.queue() if w.ask.account != ask.account}
        if not others:
            return max(1, places // 2)
        share = ask.weight / (ask.weight + sum(others.values()))
        return max(1, math.ceil(places * share))

    def evict_for(self, ask: Ask) -> bool:
        """Refuse a waiting ask to make room: a less urgent one, or one of a greedier account."""
        last = max(self.queue(), key=self.eviction_order)
        is_less_urgent = last.ask.urgency > ask.urgency
        is_greedier = self.queue_use(last.ask) > self.queue_use(ask, 1)
        if not is_less_urgent and not (last.ask.urgency == ask.urgency and is_greedier):
            return False
        self.waiting.remove(last)
        reason = "more urgent work, or an account with less in the queue, took the place"
        settle(last.answer, Refused(reason, SHORTEST_RETRY_S))
        return True

    def eviction_order(self, waiting: Waiting) -> tuple[int, float, int]:
        """Return the order of eviction, the last first."""
        return (waiting.ask.urgency, self.queue_use(waiting.ask), waiting.number)

    def queue_use(self, ask: Ask, more: int = 0) -> float:
        """Return how much of the queue an account uses for its weight."""
        return (self.account_waiting(ask.account) + more) / ask.weight

    async def wait(self, ask: Ask, session: str) -> Admission:
        """Wait for a holder of the prefix, then for any engine, within the ask's bounds."""
        self.numbers += 1
        answer = asyncio.get_running_loop().create_future()
        is_patient = self.waits_for_holder(ask)
        waiting = Waiting(ask, session, self.numbers, is_patient, answer)
        self.waiting.append(waiting)
        try:
            return await self.wait_for_answer(waiting)
        except asyncio.CancelledError:
            if answer.done() and isinstance(answer.result(), Granted):
                self.release(session, answer.result().engine, ask.account)
            raise
        finally:
            if waiting in self.waiting:
                self.waiting.remove(waiting)

    async def wait_for_answer(self, waiting: Waiting) -> Admission:
        """Wait until an ask in the queue is answered or its time is over."""
        ask, answer = waiting.ask, waiting.answer
        left_s = ask.wait_s
        if waiting.is_patient:
            patience_s = min(ask.patience_s, left_s)
            left_s -= patience_s
            await asyncio.wait([answer], timeout=patience_s)
            if answer.done():
                return answer.result()
            waiting.is_patient = False
            self.serve_waiting()
            if not answer.done():
                # Its own place must not count against it.
                self.waiting.remove(waiting)
                refused = self.refusal(ask)
                if refused:
                    return refused
                self.waiting.append(waiting)
        await asyncio.wait([answer], timeout=left_s)
        if answer.done():
            return answer.result()
        estimate_s = self.estimate_wait(ask, self.view())
        return Refused("no engine became free in time", bounded_retry(estimate_s))

    def serve_waiting(self) -> None:
        """Admit waiting asks in fair order while engines have room."""
        while self.serve_one():
            pass

    def serve_one(self) -> bool:
        """Admit the first waiting ask that an engine has room for."""
        blocked: set[int] = set()
        for waiting in self.fair_order():
            if waiting.ask.urgency in blocked and not waiting.is_patient:
                continue
            granted = self.place(waiting.ask, waiting.session, waiting.is_patient)
            if granted:
                self.waiting.remove(waiting)
                settle(waiting.answer, granted)
                return True
            if not waiting.ask.exclude and not waiting.is_patient:
                blocked.add(waiting.ask.urgency)
        return False

    def fair_order(self) -> list[Waiting]:
        """Return the waiting asks: urgent first, then by weighted use of their accounts."""
        return sorted(self.waiting, key=lambda w: (*self.fair_place(w.ask), w.number))

    def fair_place(self, ask: Ask) -> tuple[int, float]:
        """Return the place of an ask in the queue, the lowest first."""
        return (ask.urgency, self.accounts[ask.account] / ask.weight)

    def hold(self, session: str, engine: str, account: str) -> None:
        """Count one attempt of a session."""
        self.sessions.setdefault(session, Counter())[engine, account] += 1
        self.loads[engine] += 1
        self.accounts[account] += 1
        self.busy.setdefault((session, engine, account), []).append(self.clock())

    def release(self, session: str, engine: str, account: str) -> None:
        """Give back one attempt of a session; an unknown one is ignored."""
        holds = self.sessions.get(session)
        if not holds or holds[engine, account] <= 0:
            return
        took_s = self.clock() - self.busy[session, engine, account][0]
        self.service_time_s += (took_s - self.service_time_s) * SERVICE_TIME_SHARE
        self.uncount(session, engine, account, 1)
        self.serve_waiting()

    def uncount(self, session: str, engine: str, account: str, count: int) -> None:
        """Take the oldest attempts off every count."""
        started = self.busy[session, engine, account]
        del started[:count]
        if not started:
            del self.busy[session, engine, account]
        for counter, key in (
            (self.sessions[session], (engine, account)),
            (self.loads, engine),
            (self.accounts, account),
        ):
            counter[key] -= count
            if counter[key] <= 0:
                del counter[key]

    def replace(self, session: str, holds: dict[tuple[str, str], int]) -> None:
        """Set all that a session holds, as its router says."""
        before = dict(self.sessions.get(session, {}))
        for engine, account in before.keys() | holds.keys():
            missing = holds.get((engine, account), 0) - before.get((engine, account), 0)
            for _ in range(missing):
                self.hold(session, engine, account)
            if missing < 0:
                self.uncount(session, engine, account, -missing)
        self.serve_waiting()

    def drop(self, session: str) -> None:
        """Forget a session: its router is gone."""
        for (engine, account), count in list(self.sessions.get(session, {}).items()):
            self.uncount(session, engine, account, count)
        self.sessions.pop(session, None)
        self.serve_waiting()


def settle(answer: asyncio.Future, admission: Admission) -> None:
    """Give a waiting ask its answer."""
    if not answer.done():
        answer.set_result(admission)


def bounded_retry(estimate_s: float) -> float:
    """Return the time after which to ask again, in seconds."""
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, estimate_s))
