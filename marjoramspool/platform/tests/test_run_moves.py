"""Streams that may run only once are moved off engines that leave.

Guards against streams that break at the end of a drain period, and against moves that run a request
twice, lose the memory of a stopped run, or send it to an evacuated failure domain.
"""

import asyncio

import pytest

from bench.local import wait_until
from marjoramspool.platform.tests.test_run_backups import (
    EVENTS,
    are_at_work_together,
    begin,
    continued,
    runs,
    start,
)

DRAIN_S = 0.5


async def start_moving(site, **options):
    """Start a fleet whose engines drain for a short time and copy nothing beforehand."""
    await start(site, **{"backups": False} | options)
    site.routers[0].forwarding.mover.moves.drain_periods_s["model"] = DRAIN_S


async def drain(site, engine, sign="registration"):
    """Let an engine leave, by its registration, an announcement or an evacuation."""
    engines = site.routers[0].engines
    listed = engines.engines[engine.id]
    match sign:
        case "registration":
            spec = engine.registration(state="draining", zone=listed.failure_domain)
            await site.put("servers", engine.id, spec)
        case "announcement":
            engines.record_announcement(listed)
        case "evacuation":
            engines.evacuations.replace([listed.failure_domain], 1, "test")


def moves(site):
    return sum(len(engine.moves) for engine in site.engines)


@pytest.mark.parametrize("sign", ["registration", "announcement", "evacuation"])
async def test_a_stream_is_moved_off_an_engine_that_leaves(site, sign):
    await start_moving(site)
    task, engine = await begin(site, "r1", copied=False, body=b"one")
    await drain(site, engine, sign)
    assert await task == (200, EVENTS, True)
    (destination,) = continued(site, "r1")
    assert destination is not engine
    assert destination.arrivals[0].headers["kv-from"].startswith(f"{engine.address}/")
    assert runs(site, "r1") == 1
    assert not are_at_work_together(site, "r1")
    assert site.routers[0].metrics.counts["runs_moved"] == 1
    assert site.routers[0].forwarding.mover.moves.active == 0


@pytest.mark.parametrize(
    "why", ["engines without moves", "ends in time", "no retry budget", "no marked end"]
)
async def test_a_stream_that_is_not_to_be_moved_stays(site, why):
    await start_moving(site, moves=why != "engines without moves")
    forwarding = site.routers[0].forwarding
    if why == "ends in time":
        forwarding.mover.moves.drain_periods_s["model"] = 30.0
    if why == "no marked end":
        # A stopped stream that ends with its connection would pass for a whole one.
        for engine in site.engines:
            engine.faults["unframed"] = 1
    task, engine = await begin(site, "r1", copied=False)
    while why == "no retry budget" and forwarding.retry_budget("model").try_acquire():
        pass
    await drain(site, engine)
    assert await task == (200, EVENTS, True)
    assert moves(site) == 0


async def test_nothing_goes_on_in_an_evacuated_domain_when_its_memory_stays_there(site):
    await start_moving(site)
    task, engine = await begin(site, "r1", copied=False)
    engine.faults["move-full"] = 1
    await drain(site, engine, "evacuation")
    assert not (await task)[2]
    assert len(engine.arrivals) == 1


async def test_a_run_whose_destination_takes_nothing_goes_on_at_its_engine(site):
    await start_moving(site)
    task, engine = await begin(site, "r1", copied=False)
    engine.faults["move-full"] = 1
    await drain(site, engine)
    assert await task == (200, EVENTS, True)
    assert continued(site, "r1")[0] is engine
    assert runs(site, "r1") == 1
    assert not are_at_work_together(site, "r1")


@pytest.mark.parametrize("fault", ["move-busy", "move-mute"])
async def test_a_stream_that_is_not_stopped_runs_on(site, fault):
    await start_moving(site)
    task, engine = await begin(site, "r1", copied=False)
    engine.faults[fault] = 10
    await drain(site, engine)
    assert await task == (200, EVENTS, True)
    assert moves(site) >= 1
    assert not continued(site, "r1")
    assert runs(site, "r1") == 1


async def test_a_move_whose_destination_ends_breaks_the_stream_without_a_second_run(site):
    await start_moving(site)
    task, engine = await begin(site, "r1", copied=False)
    (other,) = [e for e in site.engines if e is not engine]
    engine.move_s = 0.2
    await drain(site, engine)
    await wait_until(lambda: engine.moves, "the move has begun")
    await asyncio.sleep(0.05)
    await other.stop()
    # Nothing is at the destination, so the source keeps the memory.
    assert await task == (200, EVENTS, True)
    assert continued(site, "r1") == [engine]
    assert not are_at_work_together(site, "r1")


async def test_an_engine_that_ends_during_a_move_leaves_its_copy(site):
    await start_moving(site, backups=True)
    task, engine = await begin(site, "r1")
    engine.faults["move-mute"] = 10
    await drain(site, engine)
    await wait_until(lambda: engine.moves, "the move has begun")
    await engine.stop()
    assert await task == (200, EVENTS, True)
    assert runs(site, "r1") == 1
    assert not are_at_work_together(site, "r1")


async def test_few_runs_are_moved_at_a_time(site):
    await start_moving(site, domains=("zone-a", "zone-b", "zone-c"))
    names = [f"r{number}" for number in range(12)]
    begun = await asyncio.gather(
        *[begin(site, name, copied=False, body=name.encode()) for name in names]
    )
    for engine in site.engines:
        engine.move_s = 0.1
    most = 0
    runs_moves = site.routers[0].forwarding.mover.moves
    await drain(site, begun[0][1])
    tasks = [task for task, _ in begun]
    while not all(task.done() for task in tasks):
        most = max(most, runs_moves.active)
        await asyncio.sleep(0.005)
    assert [task.result() for task in tasks] == [(200, EVENTS, True)] * len(names)
    assert 0 < most <= 4
    assert not any(are_at_work_together(site, name) for name in names)
