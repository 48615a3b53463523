"""When a router takes the engines of a service for out of reach, and for back."""

import asyncio

from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.engine_reach import MAX_PROBED, EngineReach, Path, select_probed
from marjoramspool.engine_state.reach_monitor import ReachMonitor

TIMEOUT_S = 0.25
ENGINES = [Engine(f"i-{n}", "s", f"1.1.1.1:{n}", f"z{n % 3}", 8, False, 1) for n in range(9)]


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def play_round(reach, connected, took_s=0.1):
    probed = reach.begin_round("s", ENGINES)
    reach.clock.now += took_s
    reach.record_round("s", connected, TIMEOUT_S)
    return probed


def test_one_round_without_a_connection_shows_a_cut_and_two_with_most_its_end():
    reach = EngineReach(FakeClock())
    returned = []
    reach.on_returned.append(returned.append)
    assert reach.path("s") is Path.FULL
    play_round(reach, [False] * 6)
    assert (reach.path("s"), reach.cut_off_services()) == (Path.NONE, ["s"])
    play_round(reach, [True] * 6)
    assert reach.path("s") is Path.NONE
    # A path that comes and goes is not back.
    play_round(reach, [True] * 3 + [False] * 3)
    assert reach.path("s") is Path.PARTIAL
    for _ in range(2):
        assert not returned
        play_round(reach, [True] * 4 + [False] * 2)
    assert (reach.path("s"), returned) == (Path.FULL, ["s"])


def test_one_engine_that_has_ended_is_no_cut():
    reach = EngineReach(FakeClock())
    play_round(reach, [True, True, False])
    assert reach.path("s") is Path.FULL


def test_a_round_that_this_process_held_up_shows_nothing():
    """The router stood still, so that its probes timed out while nothing was wrong."""
    reach = EngineReach(FakeClock())
    play_round(reach, [False] * 6, took_s=5.0)
    assert reach.path("s") is Path.FULL
    play_round(reach, [])
    assert reach.path("s") is Path.FULL


def test_a_round_probes_engines_of_all_domains_and_others_each_time():
    first, second = select_probed(ENGINES, 0), select_probed(ENGINES, 1)
    assert len(first) == MAX_PROBED
    assert {engine.failure_domain for engine in first[:3]} == {"z0", "z1", "z2"}
    assert set(first) != set(second)
    assert select_probed(ENGINES[:1], 7) == ENGINES[:1]
    assert select_probed([], 0) == []


class SilentProber:
    """Engines of which some never answer."""

    def __init__(self, silent):
        self.silent = silent

    async def can_connect(self, engine, timeout_s):
        if engine.id in self.silent:
            await asyncio.sleep(timeout_s)
            return False
        return True


async def test_a_request_does_not_wait_for_one_silent_engine():
    engines = EngineList()
    engines.replace_all(ENGINES)
    monitor = ReachMonitor(engines, SilentProber({"i-0"}))
    async with asyncio.timeout(0.1):
        await monitor.confirm("s")
        assert not await monitor.has_lost_path(ENGINES[0])
    assert monitor.reach.path("s") is Path.FULL


async def test_all_silent_engines_are_out_of_reach():
    engines = EngineList()
    engines.replace_all(ENGINES)
    monitor = ReachMonitor(engines, SilentProber({engine.id for engine in ENGINES}))
    await monitor.confirm("s")
    assert monitor.reach.path("s") is Path.NONE
    assert await monitor.has_lost_path(ENGINES[0])
