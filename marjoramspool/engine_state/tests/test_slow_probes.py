"""Slow targets without work are probed, rarely, by one router of the fleet."""

from marjoramspool import hashing
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.engine_loads import EngineLoads
from marjoramspool.engine_state.reported_speed import LoadFigures, ReportedSpeeds
from marjoramspool.engine_state.slow_probes import SlowProbes

ROUTERS = 8
# By the requirements, in all routers together.
MIN_PERIOD_S = 0.2
STEP_S = 0.01


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name):
    return Engine(name, "s", "1.1.1.1:1", "zone", 2, False, 1)


FAST, SLOW = engine("a"), engine("b")


class Router:
    """Decisions of one router."""

    def __init__(self, number, clock, health_path="/health", heard_share=1.0, percent=500):
        self.loads = EngineLoads()
        self.loads.begin(FAST.id, 0)
        self.speeds = ReportedSpeeds(clock)
        self.speeds.record_answer(FAST, LoadFigures(0, 0, 2, 100))
        self.speeds.record_answer(SLOW, LoadFigures(0, 0, 2, percent))
        engines = EngineList(clock)
        engines.replace_all([FAST, SLOW])
        names = [f"r{n}" for n in range(ROUTERS)]
        self.probes = SlowProbes(
            engines,
            self.speeds,
            self.loads,
            None,
            lambda _: health_path,
            lambda key: hashing.rank(key, names)[0] == f"r{number}",
            lambda: heard_share,
            clock,
        )


def play(clock, routers, seconds, is_answered=False):
    """Return when each probe was sent."""
    sent = []
    for _ in range(round(seconds / STEP_S)):
        clock.now += STEP_S
        for router in routers:
            router.speeds.record_answer(FAST, LoadFigures(0, 0, 2, 100))
            for probed, path in router.probes.take_due():
                assert (probed, path) == (SLOW, "/health")
                sent.append(clock.now)
                if is_answered:
                    for other in routers:
                        other.speeds.record_answer(SLOW, LoadFigures(0, 0, 2, 500))
    return sent


def make_fleet(clock, **options):
    return [Router(number, clock, **options) for number in range(ROUTERS)]


def test_a_slow_target_is_probed_by_one_router_at_most_once_in_the_period():
    """Guards against a price that grows with the number of routers."""
    for is_answered in (False, True):
        clock = Clock()
        sent = play(clock, make_fleet(clock), 1.5, is_answered)
        assert len(sent) >= 5
        gaps = [later - earlier for earlier, later in zip(sent, sent[1:], strict=False)]
        assert min(gaps) >= MIN_PERIOD_S


def test_a_target_that_is_not_slow_is_not_probed():
    clock = Clock()
    assert not play(clock, make_fleet(clock, percent=110), 1.5)


def test_a_target_with_work_or_a_service_without_demand_is_not_probed():
    """Guards against probes whose answers nobody needs."""
    clock = Clock()
    routers = make_fleet(clock)
    for router in routers:
        router.loads.begin(SLOW.id, 0)
    assert not play(clock, routers, 1.0)
    for router in routers:
        router.loads.end(SLOW.id)
        router.loads.end(FAST.id)
    assert not play(clock, routers, 0.5)


def test_a_service_without_health_path_is_not_probed():
    clock = Clock()
    assert not play(clock, make_fleet(clock, health_path=None), 1.0)


def test_routers_that_are_cut_off_do_not_probe():
    """Guards against as many probers as there are parts of a fleet."""
    clock = Clock()
    assert not play(clock, make_fleet(clock, heard_share=0.3), 1.0)
