"""The model agrees with what was seen of real fleets, and with itself."""

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
        prompt, rank, source, lambda: done.append("begun"), lambda: done.append("ended")
    ), done


def test_an_engine_reads_once_what_two_prompts_share():
    clock, counts = VirtualClock(), PrefillCounts()
    engine = ModelEngine("e", "d", ENGINE, clock, counts)
    for own in (2, 3):
        asked, done = job(Part(1, 10_000), Part(own, 100))
        engine.submit(asked)
        clock.run_until(clock() + 2.0)
        assert done == ["begun", "ended"]
    assert (counts.computed, counts.cached, counts.recomputed) == (10_200, 10_000, 0)


def test_what_another_engine_holds_is_copied():
    clock, counts = VirtualClock(), PrefillCounts()
    first, second = (ModelEngine(name, "d", ENGINE, clock, counts) for name in "ab")
    first.submit(job(Part(1, 10_000), Part(2, 100))[0])
    clock.run_until(2.0)
    second.submit(job(Part(1, 10_000), Part(3, 100), source=first)[0])
    clock.run_until(4.0)
    assert (counts.copies, counts.copied, counts.recomputed) == (1, 10_000, 0)


def test_the_shortest_reading_goes_first():
    clock = VirtualClock()
    engine = ModelEngine("e", "d", ENGINE, clock, PrefillCounts())
    engine.submit(job(Part(1, 50_000), Part(2, 100))[0])
    long, long_done = job(Part(3, 50_000), Part(4, 100), rank=8)
    short, short_done = job(Part(5, 500), Part(6, 100), rank=4)
    engine.submit(long)
    engine.submit(short)
    clock.run_until(1.0)
    assert (long_done, short_done) == ([], ["begun", "ended"])


def test_the_same_seed_plays_the_same():
    assert simulate(13, 1.0, 1.0, seed=3) == simulate(13, 1.0, 1.0, seed=3)


def test_a_fleet_bears_its_load_and_prints_it(capsys):
    results = [simulate(hosts, 1.0, 2.0, seed=1) for hosts in (7, 30)]
    for result in results:
        assert result.in_target > 0.9
        assert result.far_above < 0.03
    print_results(results)
    assert "far_above" in capsys.readouterr().out
    assert Run().hosts[0] == 7


def test_loads_that_come_late_crowd_a_fleet_that_trusts_them(monkeypatch):
    parameters = FleetParameters(71, 30, 4, 1275.0, REQUEST_MIX, ENGINE)

    def far_above():
        fleet = Fleet(parameters, seed=1)
        fleet.simulate(0.8)
        return fleet.outcomes.far_above / fleet.outcomes.placed

    spread = far_above()
    begin = ModelRouter.__init__

    def trusting(self, *arguments):
        begin(self, *arguments)
        self.selector.lag_s = lambda: 0.0

    monkeypatch.setattr(ModelRouter, "__init__", trusting)
    assert spread < 0.03 < far_above()
