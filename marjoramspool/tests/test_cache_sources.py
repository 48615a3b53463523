"""Copies between caches while engines are replaced, fail and refuse."""

import pytest

from marjoramspool.cache_sources import Holder, choose_source
from marjoramspool.clock import now
from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.engine_selector import EngineChoice
from marjoramspool.load_shedding import TurnedAway
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import EngineMemory, Kind, Route, RouteTable, Service, Split

SUBJECT = 7
PROMPT = Prompt("m", 10_600, 100, (Part(1, 500), Part(SUBJECT, 10_000), Part(99, 100)))
ROUTE = Route("r", "h", "/", Kind.STREAMING, (Split("s", 1.0),), 15, 0.8, 1, 1, False, False, 4)


def engine(name, domain="z1", leaving=False):
    return Engine(name, "s", f"1.1.1.1:{ord(name)}", domain, 64, leaving, 1)


@pytest.fixture
def choice():
    engines = EngineList()
    engines.replace_all([engine("a"), engine("b", "z2"), engine("c", "z3")])
    table = RouteTable(1, services={"s": Service("s", EngineMemory(64, 600_000))})
    return EngineChoice("z1", engines, lambda: table)


def place(choice, name="q", exclude=(), after=None):
    moment = now()
    request = RoutedRequest(
        name, ROUTE, "s", None, "POST", "/", [], b"", moment, moment + 15.0, PROMPT, after
    )
    return choice.place(request, set(exclude))


def held(choice, name):
    return choice.caches.held((name, 1), PROMPT.parts[:-1])


def test_a_near_holder_comes_before_a_far_one_and_one_that_stays_before_one_that_leaves():
    far, near = Holder(engine("b", "z2"), 10_500), Holder(engine("c"), 10_500)
    leaving = Holder(engine("d", leaving=True), 10_500)
    assert choose_source(engine("a"), [far, near], 0).id == "c"
    assert choose_source(engine("a"), [leaving, near], 0).id == "c"
    assert choose_source(engine("a"), [Holder(engine("c"), 500), far], 0).id == "b"
    assert choose_source(engine("a"), [far, near], 10_450) is None


def test_an_engine_that_fails_requests_is_still_copied_from(choice):
    holder = place(choice).engine
    for _ in range(4):
        choice.trust.note_failure(holder.id)
    choice.trust.note_unreachable(holder.id, is_closed=False)
    moved = place(choice)
    assert moved.engine.id != holder.id
    assert moved.source.id == holder.id


def test_an_engine_that_takes_no_connection_is_not_copied_from(choice):
    holder = place(choice).engine
    choice.trust.note_unreachable(holder.id, is_closed=True)
    assert place(choice).source is None


def test_an_engine_that_announced_its_end_is_not_copied_from_once_it_is_gone(choice):
    holder = place(choice).engine
    choice.engines.leave(holder.id)
    assert place(choice, exclude=holder.id).source.id == holder.id
    choice.caches.drop((place(choice).engine.id, 1), PROMPT.parts)
    choice.engines.remove(holder.id)
    assert place(choice).source is None


def test_a_prompt_that_was_refused_is_not_taken_for_read(choice):
    told = []
    choice.on_unread.append(lambda engine, parts: told.append((engine.id, parts)))
    placement = place(choice)
    assert held(choice, placement.engine.id) == 10_500
    choice.note_unread(placement)
    assert held(choice, placement.engine.id) == 0
    assert told == [(placement.engine.id, PROMPT.parts[:-1])]


def test_a_refusal_takes_back_only_what_was_new(choice):
    first = place(choice)
    again = place(choice)
    assert again.engine.id == first.engine.id
    choice.note_unread(again)
    assert held(choice, first.engine.id) == 10_500


def test_a_request_that_has_begun_is_never_turned_away(choice):
    for name in "abc":
        choice.loads.begin(name, 10_000_000)
    assert isinstance(place(choice), TurnedAway)
    resumed = place(choice, after=5)
    assert not isinstance(resumed, TurnedAway)
    choice.note_unread(resumed)
    assert not isinstance(place(choice, exclude="a"), TurnedAway)
