"""Copies between caches while engines are replaced, fail and refuse."""

import pytest

from marjoramspool.cache_sources import Holder, choose_source
from marjoramspool.clock import now
from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.load_shedding import Shed
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import EngineMemory, Kind, Route, RouteTable, Service, Split

SUBJECT = 7
PROMPT = Prompt("m", 10_600, 100, (Part(1, 500), Part(SUBJECT, 10_000), Part(99, 100)))
ROUTE = Route("r", "h", "/", Kind.STREAMING, (Split("s", 1.0),), 15, 0.8, 1, 1, False, False, 4)


def engine(name, domain="z1", leaving=False):
    return Engine(name, "s", f"1.1.1.1:{ord(name)}", domain, 64, leaving, 1)


@pytest.fixture
def selector():
    engines = EngineList()
    engines.replace_all([engine("a"), engine("b", "z2"), engine("c", "z3")])
    table = RouteTable(1, services={"s": Service("s", EngineMemory(64, 600_000))})
    return EngineSelector("z1", engines, lambda: table)


def place(selector, name="q", exclude=(), after=None):
    moment = now()
    request = RoutedRequest(
        name, ROUTE, "s", None, "POST", "/", [], b"", moment, moment + 15.0, PROMPT, after
    )
    return selector.place(request, set(exclude))


def held(selector, name):
    return selector.caches.held((name, 1), PROMPT.parts[:-1])


def test_a_near_holder_comes_before_a_far_one_and_one_that_stays_before_one_that_leaves():
    far, near = Holder(engine("b", "z2"), 10_500), Holder(engine("c"), 10_500)
    leaving = Holder(engine("d", leaving=True), 10_500)
    assert choose_source(engine("a"), [far, near], 0).id == "c"
    assert choose_source(engine("a"), [leaving, near], 0).id == "c"
    assert choose_source(engine("a"), [Holder(engine("c"), 500), far], 0).id == "b"
    assert choose_source(engine("a"), [far, near], 10_450) is None


def test_an_engine_that_fails_requests_is_still_copied_from(selector):
    holder = place(selector).engine
    for _ in range(4):
        selector.trust.note_failure(holder.id)
    selector.trust.note_unreachable(holder.id, is_closed=False)
    moved = place(selector)
    assert moved.engine.id != holder.id
    assert moved.source.id == holder.id


def test_an_engine_that_takes_no_connection_is_not_copied_from(selector):
    holder = place(selector).engine
    selector.trust.note_unreachable(holder.id, is_closed=True)
    assert place(selector).source is None


def test_an_engine_that_announced_its_end_is_not_copied_from_once_it_is_gone(selector):
    holder = place(selector).engine
    selector.engines.leave(holder.id)
    assert place(selector, exclude=holder.id).source.id == holder.id
    selector.caches.drop((place(selector).engine.id, 1), PROMPT.parts)
    selector.engines.remove(holder.id)
    assert place(selector).source is None


def test_a_prompt_that_was_refused_is_not_taken_for_read(selector):
    told = []
    selector.on_reverted.append(lambda engine, parts: told.append((engine.id, parts)))
    placement = place(selector)
    assert held(selector, placement.engine.id) == 10_500
    selector.revert_placement(placement)
    assert held(selector, placement.engine.id) == 0
    assert told == [(placement.engine.id, PROMPT.parts[:-1])]


def test_a_refusal_takes_back_only_what_was_new(selector):
    first = place(selector)
    again = place(selector)
    assert again.engine.id == first.engine.id
    selector.revert_placement(again)
    assert held(selector, first.engine.id) == 10_500


def test_a_request_that_has_begun_is_never_turned_away(selector):
    for name in "abc":
        selector.loads.begin(name, 10_000_000)
    assert isinstance(place(selector), Shed)
    resumed = place(selector, after=5)
    assert not isinstance(resumed, Shed)
    selector.revert_placement(resumed)
    assert not isinstance(place(selector, exclude="a"), Shed)
