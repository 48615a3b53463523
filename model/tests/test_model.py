"""The model is deterministic and agrees with observations of real fleets."""

import pytest
from logbook import NullHandler

from marjoramspool.prompts import Part, Prompt
from model.engines import Job, ModelEngine, PrefillCounts
from model.fleet import Fleet, ModelRouter
from model.parameters import ENGINE, REQUEST_MIX, FleetParameters
from model.run import Run, print_results, simulate
from model.virtual_clock import VirtualClock


@pytest.fixture(autouse=True)
def _no_log():
    with NullHandler().applicationbound():
        yield


def job(*parts, rank=5, source=None):
    done = []
    tokens = sum(part.tokens for part in parts)
    prompt = Prompt("m", tokens, 10, parts)
    return Job(
        prompt, rank, source, lambda: done.append("prefilled"), lambda: done.append("finished")
    ), done


def test_shared_prompt_part_is_prefilled_once():
    clock, counts = VirtualClock(), PrefillCounts()
    engine = ModelEngine("e", "d", ENGINE, clock, counts)
    for own in (2, 3):
        request, done = job(Part(1, 10_000), Part(own, 100))
        engine.submit(request)
        clock.run_until(clock() + 2.0)
        assert done == ["prefilled", "finished"]
    assert (counts.computed, counts.cached, counts.recomputed) == (10_200, 10_000, 0)


def test_prefix_cached_by_another_engine_is_copied():
    clock, counts = VirtualClock(), PrefillCounts()
    first, second = (ModelEngine(name, "d", ENGINE, clock, counts) for name in "ab")
    first.submit(job(Part(1, 10_000), Part(2, 100))[0])
    clock.run_until(2.0)
    second.submit(job(Part(1, 10_000), Part(3, 100), source=first)[0])
    clock.run_until(4.0)
    assert (counts.copies, counts.copied, counts.recomputed) == (1, 10_000, 0)


def test_prompt_of_lowest_rank_is_prefilled_first():
    clock = VirtualClock()
    engine = ModelEngine("e", "d", ENGINE, clock, PrefillCounts())
    engine.submit(job(Part(1, 50_000), Part(2, 100))[0])
    long, long_done = job(Part(3, 50_000), Part(4, 100), rank=8)
    short, short_done = job(Part(5, 500), Part(6, 100), rank=4)
    engine.submit(long)
    engine.submit(short)
    clock.run_until(1.0)
    assert (long_done, short_done) == ([], ["prefilled", "finished"])


def test_same_seed_gives_the_same_results():
    assert simulate(13, 1.0, 1.0, seed=3) == simulate(13, 1.0, 1.0, seed=3)


def test_fleet_serves_its_load_and_prints_results(capsys):
    results = [simulate(hosts, 1.0, 2.0, seed=1) for hosts in (7, 30)]
    for result in results:
        assert result.in_target > 0.9
        assert result.far_above < 0.03
    print_results(results)
    assert "far_above" in capsys.readouterr().out
    assert Run().hosts[0] == 7


def test_ignoring_the_lag_of_load_reports_overloads_engines(monkeypatch):
    parameters = FleetParameters(71, 30, 4, 1275.0, REQUEST_MIX, ENGINE)

    def far_above():
        fleet = Fleet(parameters, seed=1)
        fleet.simulate(0.8)
        return fleet.outcomes.far_above / fleet.outcomes.placed

    share = far_above()
    init = ModelRouter.__init__

    def init_without_lag(self, *arguments):
        init(self, *arguments)
        self.selector.report_age_s = lambda: 0.0

    monkeypatch.setattr(ModelRouter, "__init__", init_without_lag)
    assert share < 0.03 < far_above()
