"""What the report of an engine shows of a run.

Guards against runs that go on elsewhere although nothing shows that their engine has stopped them.
"""

import asyncio
import time

import msgspec

from marjoramspool.attempts import RunState
from marjoramspool.platform.egress import EngineSessions
from marjoramspool.platform.registry import decode_engine
from standins.platform_engine import Arrival, PlatformEngine


async def test_only_a_report_or_a_refused_connection_shows_the_end_of_a_run():
    standin = PlatformEngine("i-1", "model")
    await standin.start()
    engine = decode_engine("i-1", msgspec.json.encode(standin.registration()))
    async with EngineSessions() as sessions:
        # It lists no runs, so that not even a new incarnation shows the end of one: the list of
        # engines may have named an earlier incarnation when the run began.
        assert await sessions.run_state(engine, "r1") is RunState.UNKNOWN
        standin.started_ms += 1
        assert await sessions.run_state(engine, "r1") is RunState.UNKNOWN
        standin.memory_peers = {}
        run = Arrival("r1", "POST", "/", {}, b"", began_at=0.0)
        standin.arrivals.append(run)
        assert await sessions.run_state(engine, "r1") is RunState.AT_WORK
        assert await sessions.run_state(engine, "r2") is RunState.UNLISTED
        # A run that was preempted waits without being listed.
        standin.preempted.add("r2")
        assert await sessions.run_state(engine, "r2") is RunState.UNKNOWN
        standin.preempted.clear()
        run.id = 1
        assert await sessions.run_state(engine, "r2") is RunState.UNKNOWN
        await standin.stop()
        assert await sessions.run_state(engine, "r1") is RunState.REFUSED


async def test_a_report_does_not_show_a_run_that_has_just_begun():
    """Guards against taking a run for ended that the report of an earlier moment does not list."""
    standin = PlatformEngine("i-1", "model", memory_peers={}, report_lag_s=0.2)
    await standin.start()
    engine = decode_engine("i-1", msgspec.json.encode(standin.registration()))
    run = Arrival("r1", "POST", "/", {}, b"", began_at=time.monotonic())
    standin.arrivals.append(run)
    async with EngineSessions() as sessions:
        assert await sessions.run_state(engine, "r1") is RunState.UNLISTED
        await asyncio.sleep(standin.report_lag_s)
        assert await sessions.run_state(engine, "r1") is RunState.AT_WORK
    await standin.stop()
