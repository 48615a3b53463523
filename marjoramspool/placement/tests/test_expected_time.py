"""Choice of targets under the load patterns of `expected_time` and `engine_slowness`."""

from collections import Counter
from itertools import count
from random import Random

import pytest

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.engine_state.answer_times import AnswerTimes
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.engine_loads import Load
from marjoramspool.engine_state.reported_speed import LoadFigures
from marjoramspool.placement.cost_placement import Candidate, choose_engine
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.placement.expected_time import (
    choose_fastest,
    expected_factor,
    fill_level,
    places_below,
)
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import Route, RouteKind

ROUTE = Route(
    "r", "h", "/", RouteKind.IDEMPOTENT, (), 3.0, 0.5, 1, 2, False, False, first_event_timeout_s=3.0
)
SLOWNESS = 5.0


def target(name, slowness=1.0, requests=0, slots=2, **options):
    return Candidate(name, Load(requests, 0), slots=slots, slowness=slowness, **options)


def chosen(candidates, requests=200, unreported=0.0):
    """Return how many of some requests each candidate gets, if none hears of another."""
    keys = [hashing.digest(f"q{number}") for number in range(requests)]
    return Counter(choose_fastest(candidates, key, unreported).engine.name for key in keys)


def test_of_one_slow_target_the_others_get_the_requests():
    assert chosen([target("a"), target("b", SLOWNESS), target("c")]).keys() == {"a", "c"}


def test_a_slow_idle_target_is_better_than_a_fast_one_with_a_long_queue():
    """Guards against a queue at fast targets that takes longer than the slow ones do."""
    assert chosen([target("a", requests=12), target("b", SLOWNESS)]).keys() == {"b"}
    assert chosen([target("a", requests=4), target("b", SLOWNESS)]).keys() == {"a"}


def test_of_equally_fast_targets_those_with_fewer_requests_are_chosen():
    assert chosen([target("a", requests=1), target("b"), target("c", requests=1)]).keys() == {"b"}


def test_requests_are_spread_over_equal_targets():
    """Guards against routers that all prefer the first target of a list."""
    counts = chosen([target(name) for name in "abcd"], 400)
    assert min(counts.values()) > 60


def test_targets_beyond_their_rate_limits_are_not_drawn():
    counts = chosen([target("a", room=0.0), target("b", room=5.0)], unreported=3.0)
    assert counts.keys() == {"b"}


def test_no_candidates_give_no_choice():
    assert choose_fastest([], 1, 0.0) is None


def test_a_herd_of_66_routers_does_not_overrun_one_target_that_became_fast():
    """Guards against 66 routers that send all requests to one target before they hear of it."""
    routers, requests_each = 66, 3
    total = routers * requests_each
    candidates = [target("fast", slots=16)]
    candidates += [target(f"slow-{n}", SLOWNESS, slots=16) for n in range(9)]
    counts = chosen(candidates, total, unreported=total - 1.0)
    factors = {c.name: expected_factor(counts[c.name] / c.slots, c.slowness) for c in candidates}
    slowest = max(factor for name, factor in factors.items() if name != "fast")
    assert factors["fast"] <= 1.25 * slowest
    # It gets more than each of the others nevertheless.
    assert counts["fast"] == max(counts.values())


@pytest.mark.parametrize("requests", [0.5, 1.0, 7.0, 200.0])
def test_the_level_fits_as_many_requests_as_there_are(requests):
    """Guards against a level at which unreported requests overrun the fastest targets."""
    choices = Random(3)
    for _ in range(50):
        candidates = [
            target(f"i-{n}", choices.choice((0.5, 1.0, 5.0)), choices.randrange(9), slots=n % 4 + 1)
            for n in range(choices.randrange(1, 12))
        ]
        level = fill_level(candidates, requests)
        assert sum(places_below(c, level) for c in candidates) == pytest.approx(requests)


def test_a_router_alone_uses_the_target_that_became_fast():
    candidates = [target("fast")] + [target(f"slow-{n}", SLOWNESS) for n in range(9)]
    assert chosen(candidates).keys() == {"fast"}


def make_selector(engines):
    listed = EngineList()
    listed.replace_all(engines)
    return EngineSelector("z", listed, lambda: None)


def place(selector, number):
    arrived = now()
    request = RoutedRequest(
        f"q{number}", ROUTE, "s", None, "POST", "/", [], b"", arrived, arrived + 3.0, None
    )
    placement = selector.place(request, set())
    placement.__enter__()
    return placement.engine.id


def test_without_the_fourth_figure_every_placement_is_as_before():
    """Guards against a change for deployments whose targets do not tell their speed."""
    engines = [Engine(f"i-{n}", "s", f"1.1.1.1:{n}", "z", 4, False, 1) for n in range(6)]
    plain, informed = make_selector(engines), make_selector(engines)
    for number in range(100):
        informed.speeds.record_answer(engines[number % 6], LoadFigures(number, 7, 9))
        assert place(informed, number) == place(plain, number)


def test_a_target_that_lies_gets_fewer_requests():
    """Guards against a target that says it is fast, and takes five times as long."""
    engines = [Engine(f"i-{n}", "s", f"1.1.1.1:{n}", "z", 4, False, 1) for n in range(2)]
    selector = make_selector(engines)
    ticks = count(100.0, 0.01)
    selector.answer_times = AnswerTimes(lambda: next(ticks))
    for engine in engines * 20:
        selector.speeds.record_answer(engine, LoadFigures(0, 0, 4, 100))
        taken_s = 0.5 if engine.id == "i-1" else 0.1
        selector.answer_times.record(engine, taken_s, 1.0, 1.0)
    assert {place(selector, number) for number in range(4)} == {"i-0"}


def model_engine(name, slowness, cached, requests=0):
    return Candidate(name, Load(requests, 0), cached, slots=64, slowness=slowness)


def test_a_long_cached_prompt_stays_at_a_slow_engine():
    """Guards against prefilling long parts again for less than a second of slowness."""
    engines = [model_engine("holder", SLOWNESS, 10_000, requests=4), model_engine("other", 1.0, 0)]
    engines[1].cached_elsewhere_tokens = 10_000
    assert choose_engine(engines, 7, 10_200).engine.name == "holder"


def test_a_new_prompt_goes_to_an_engine_that_is_not_slow():
    engines = [model_engine("a", SLOWNESS, 0), model_engine("b", 1.0, 0, requests=2)]
    assert {choose_engine(engines, key, 3_000).engine.name for key in range(50)} == {"b"}


@pytest.mark.parametrize("requests", [0, 3])
def test_an_engine_of_usual_speed_costs_what_it_did(requests):
    """Guards against a change of placement where no slowness is told."""
    with_default = choose_engine([Candidate("a", Load(requests, 700), 100)], 7, 900)
    told = Candidate("a", Load(requests, 700), 100, slots=3, slowness=1.0)
    assert choose_engine([told], 7, 900).cost == with_default.cost
