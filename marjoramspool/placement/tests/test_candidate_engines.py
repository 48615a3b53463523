"""Placement in a service with a thousand engines: few are compared, none is overloaded."""

from collections import Counter
from random import Random

import pytest

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.placement.candidate_engines import (
    MAX_COMPARED_ENGINES,
    WINDOW_ENGINES,
    EngineRing,
)
from marjoramspool.placement.engine_selector import MAX_HOLDERS, EngineSelector
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import ColdStart, EngineCapacity, Route, RouteKind, RouteTable, Service

COUNT = 1000
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAMING, (), 30.0, 1.0, 1, 2, False, True, first_event_timeout_s=10.0
)


def engine(number, started=1):
    return Engine(f"i-{number}", "s", f"1.1.1.1:{number}", "z", 64, False, started)


@pytest.fixture
def selector():
    engines = EngineList()
    engines.replace_all(engine(number) for number in range(COUNT))
    table = RouteTable(1, services={"s": Service("s", EngineCapacity(64, 600_000))})
    return EngineSelector("z", engines, lambda: table)


def request(number, subject, tokens=2000):
    parts = (Part(1, 300), Part(subject, tokens), Part(10**6 + number, 50))
    prompt = Prompt("m", tokens + 350, 10, parts)
    arrived = now()
    return RoutedRequest(
        f"q{number}", ROUTE, "s", None, "POST", "/", [], b"", arrived, arrived + 30.0, prompt
    )


def place(selector, number, subject):
    placement = selector.place(request(number, subject), set())
    placement.__enter__()
    return placement


def test_a_window_changes_by_one_engine_when_one_joins_or_leaves():
    before = EngineRing(engine(number) for number in range(COUNT))
    after = EngineRing(engine(number) for number in range(COUNT) if number != 17)
    for key in range(0, 2**64, 2**64 // 97):
        first, second = set(before.window(key)), set(after.window(key))
        assert len(first - second) <= 1


def test_few_engines_are_compared(selector, monkeypatch):
    compared = []
    real = EngineSelector.candidate

    def count(self, engine, parts):
        compared.append(engine.id)
        return real(self, engine, parts)

    monkeypatch.setattr(EngineSelector, "candidate", count)
    for number in range(200):
        compared.clear()
        place(selector, number, number % 20 + 2)
        assert len(compared) <= WINDOW_ENGINES + MAX_HOLDERS <= MAX_COMPARED_ENGINES


def test_a_subject_stays_with_its_holder(selector):
    first = place(selector, 0, 77)
    first.record_prefilled()
    # A further one would exceed the load bound of an idle service.
    for number in range(1, 3):
        assert place(selector, number, 77).engine == first.engine


def test_a_holder_outside_the_window_is_found(selector):
    holder = engine(5)
    selector.record_cached(holder, (Part(1, 300), Part(88, 20_000)))
    assert place(selector, 0, 88).engine == holder


def test_a_holder_that_left_or_restarted_is_not_used(selector):
    holder = engine(5)
    parts = (Part(1, 300), Part(88, 20_000))
    selector.record_cached(holder, parts)
    selector.engines.remove(holder.id)
    assert place(selector, 0, 88).engine.id != holder.id
    selector.engines.register(engine(5, started=2))
    assert all(key != (holder.id, 1) for key in selector.caches.holders.get(88, ()))


def test_a_burst_of_many_subjects_overloads_no_engine(selector):
    random = Random(3)
    for number in range(6000):
        place(selector, number, random.randrange(2, 400))
    requests = [selector.loads.requests(f"i-{n}") for n in range(COUNT)]
    assert max(requests) <= 2 * sum(requests) / COUNT + 3


def test_a_full_window_is_left_for_other_engines(selector):
    chosen = [place(selector, number, 2).engine.id for number in range(300)]
    assert len(set(chosen)) > WINDOW_ENGINES
    assert max(map(chosen.count, set(chosen))) <= 2 * 300 / COUNT + 3


def test_cold_engines_get_requests_although_few_are_compared():
    # Fault: the few routers that may send to a cold engine seldom compare it.
    engines = EngineList()
    engines.replace_all(engine(number) for number in range(COUNT))
    cold_start = ColdStart(60.0, 4.0)
    table = RouteTable(1, services={"s": Service("s", None, cold_start)})
    selector = EngineSelector("z", engines, lambda: table)
    time_s = [now()]
    selector.cold.clock = selector.cold.shares.clock = lambda: time_s[0]
    cold = [engines.engines[f"i-{number}"] for number in range(2)]
    for each in cold:
        selector.cold.record_answer(each, 60.0, time_s[0])
    placed = Counter()
    for number in range(400):
        time_s[0] += 0.025
        placement = selector.place(request(number, 5), set())
        placed[placement.engine.id] += 1
    for each in cold:
        assert 0.5 * 4.0 * 10.0 <= placed[each.id] <= 4.0 * 10.0 + 1.0
