"""The model agrees with what was seen of real fleets, and with itself."""

import pytest
from logbook import NullHandler

from marjoramspool.prompts import Part, Prompt
from model.engines import Job, ModelEngine, Reading
from model.fleet import Fleet, ModelRouter
from model.run import Run, play, show
from model.shape import ENGINES, LONG_AND_SHORT, FleetShape
from model.time import VirtualTime


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
    time, reading = VirtualTime(), Reading()
    engine = ModelEngine("e", "d", ENGINES, time, reading)
    for own in (2, 3):
        asked, done = job(Part(1, 10_000), Part(own, 100))
        engine.take(asked)
        time.run(time() + 2.0)
        assert done == ["begun", "ended"]
    assert (reading.read, reading.found, reading.again) == (10_200, 10_000, 0)


def test_what_another_engine_holds_is_copied():
    time, reading = VirtualTime(), Reading()
    first, second = (ModelEngine(name, "d", ENGINES, time, reading) for name in "ab")
    first.take(job(Part(1, 10_000), Part(2, 100))[0])
    time.run(2.0)
    second.take(job(Part(1, 10_000), Part(3, 100), source=first)[0])
    time.run(4.0)
    assert (reading.copies, reading.copied, reading.again) == (1, 10_000, 0)


def test_the_shortest_reading_goes_first():
    time = VirtualTime()
    engine = ModelEngine("e", "d", ENGINES, time, Reading())
    engine.take(job(Part(1, 50_000), Part(2, 100))[0])
    long, long_done = job(Part(3, 50_000), Part(4, 100), rank=8)
    short, short_done = job(Part(5, 500), Part(6, 100), rank=4)
    engine.take(long)
    engine.take(short)
    time.run(1.0)
    assert (long_done, short_done) == ([], ["begun", "ended"])


def test_the_same_seed_plays_the_same():
    assert play(13, 1.0, 1.0, seed=3) == play(13, 1.0, 1.0, seed=3)


def test_a_fleet_bears_its_load_and_prints_it(capsys):
    results = [play(hosts, 1.0, 2.0, seed=1) for hosts in (7, 30)]
    for result in results:
        assert result.in_target > 0.9
        assert result.far_above < 0.03
    show(results)
    assert "far_above" in capsys.readouterr().out
    assert Run().hosts[0] == 7


def test_loads_that_come_late_crowd_a_fleet_that_trusts_them(monkeypatch):
    shape = FleetShape(71, 30, 4, 1275.0, LONG_AND_SHORT, ENGINES)

    def far_above():
        fleet = Fleet(shape, seed=1)
        fleet.play(0.8)
        return fleet.outcomes.far_above / fleet.outcomes.placed

    spread = far_above()
    begin = ModelRouter.__init__

    def trusting(self, *arguments):
        begin(self, *arguments)
        self.selector.lag_s = lambda: 0.0

    monkeypatch.setattr(ModelRouter, "__init__", trusting)
    assert spread < 0.03 < far_above()
