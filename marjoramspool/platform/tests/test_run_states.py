"""What the report of an engine shows of a run.

Guards against runs that go on elsewhere although nothing shows that their engine has stopped them.
"""

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
        # It lists no runs.
        assert await sessions.run_state(engine, "r1") is RunState.UNKNOWN
        standin.started_ms += 1
        assert await sessions.run_state(engine, "r1") is RunState.GONE
        standin.memory_peers = {}
        standin.at_work["r1"] = Arrival("r1", "POST", "/", {}, b"")
        # The list of engines may name an earlier incarnation.
        assert await sessions.run_state(engine, "r1") is RunState.AT_WORK
        assert await sessions.run_state(engine, "r2") is RunState.GONE
        standin.at_work[1] = standin.at_work["r1"]
        assert await sessions.run_state(engine, "r2") is RunState.UNKNOWN
        standin.at_work.clear()
        await standin.stop()
        assert await sessions.run_state(engine, "r1") is RunState.REFUSED
