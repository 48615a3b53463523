"""Selection of copy sources and cache models while engines are replaced, fail and refuse."""

from dataclasses import replace

import pytest

from marjoramspool.admission.load_shedding import Shed
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.placement.cache_sources import Holder, select_cache_source
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import (
    EngineCapacity,
    Route,
    RouteKind,
    RouteTable,
    Service,
    TrafficSplit,
)

SUBJECT = 7
PROMPT = Prompt("m", 10_600, 100, (Part(1, 500), Part(SUBJECT, 10_000), Part(99, 100)))
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAMING, (TrafficSplit("s", 1.0),), 15, 0.8, 1, 1, False, False, 4
)


def engine(name, domain="z1", draining=False):
    return Engine(name, "s", f"1.1.1.1:{ord(name)}", domain, 64, draining, 1)


@pytest.fixture
def selector():
    engines = EngineList()
    engines.replace_all([engine("a"), engine("b", "z2"), engine("c", "z3")])
    table = RouteTable(1, services={"s": Service("s", EngineCapacity(64, 600_000))})
    return EngineSelector("z1", engines, lambda: table)


def place(selector, name="q", exclude=(), after=None):
    now_s = now()
    request = RoutedRequest(
        name, ROUTE, "s", None, "POST", "/", [], b"", now_s, now_s + 15.0, PROMPT, after
    )
    return selector.place(request, set(exclude))


def cached_tokens(selector, name):
    return selector.caches.cached_tokens((name, 1), PROMPT.parts[:-1])


def test_prefers_holders_in_the_same_domain_and_not_draining():
    far, near = Holder(engine("b", "z2"), 10_500), Holder(engine("c"), 10_500)
    draining = Holder(engine("d", draining=True), 10_500, is_draining=True)
    assert select_cache_source(engine("a"), [far, near], 0).id == "c"
    assert select_cache_source(engine("a"), [draining, near], 0).id == "c"
    assert select_cache_source(engine("a"), [Holder(engine("c"), 500), far], 0).id == "b"
    assert select_cache_source(engine("a"), [far, near], 10_450) is None


def test_engine_that_fails_requests_remains_a_copy_source(selector):
    holder = place(selector).engine
    for _ in range(4):
        selector.outliers.record_failure(holder.id)
    selector.outliers.record_unreachable(holder.id, is_refusing_connections=False)
    second = place(selector)
    assert second.engine.id != holder.id
    assert second.cache_source.id == holder.id


def test_engine_that_refuses_connections_is_no_copy_source(selector):
    holder = place(selector).engine
    selector.outliers.record_unreachable(holder.id, is_refusing_connections=True)
    assert place(selector).cache_source is None


def test_draining_engine_is_a_copy_source_until_it_is_removed(selector):
    holder = place(selector).engine
    selector.engines.register(replace(holder, is_draining=True))
    assert place(selector, exclude=holder.id).cache_source.id == holder.id
    selector.caches.remove_parts((place(selector).engine.id, 1), PROMPT.parts)
    selector.engines.remove(holder.id)
    assert place(selector).cache_source is None


def test_refused_prompt_is_not_counted_as_cached(selector):
    reported = []
    selector.on_reverted.append(lambda engine, parts: reported.append((engine.id, parts)))
    placement = place(selector)
    assert cached_tokens(selector, placement.engine.id) == 10_500
    selector.revert_placement(placement)
    assert cached_tokens(selector, placement.engine.id) == 0
    assert reported == [(placement.engine.id, PROMPT.parts[:-1])]


def test_refusal_removes_only_newly_inserted_parts(selector):
    first = place(selector)
    second = place(selector)
    assert second.engine.id == first.engine.id
    selector.revert_placement(second)
    assert cached_tokens(selector, first.engine.id) == 10_500


def test_request_already_started_is_never_shed(selector):
    for name in "abc":
        selector.loads.begin(name, 10_000_000)
    assert isinstance(place(selector), Shed)
    resumed = place(selector, after=5)
    assert not isinstance(resumed, Shed)
    selector.revert_placement(resumed)
    assert not isinstance(place(selector, exclude="a"), Shed)


def test_engine_that_announced_its_departure_is_a_copy_source(selector):
    holder = place(selector).engine
    selector.engines.record_announcement(holder)
    assert holder not in selector.engines.usable("s")
    assert place(selector).cache_source.id == holder.id


def test_an_engine_copies_no_cache_of_another_software_version(selector):
    selector.engines.replace_all(replace(e, version="v1") for e in (engine("b"), engine("c")))
    selector.engines.register(replace(engine("a"), version="v2"))
    selector.record_cached(selector.engines.engines["b"], PROMPT.parts)
    assert place(selector, "q1", exclude=("b",), after=1).engine.id in ("a", "c")
    sources = {
        name: selector.find_cache_source(selector.engines.engines[name], PROMPT.parts, 0)
        for name in ("a", "c")
    }
    assert sources["a"] is None
    assert sources["c"].id == "b"
