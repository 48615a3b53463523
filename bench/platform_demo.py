"""Demonstration on the platform: router processes, store and engines, a stop and a change."""

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from soak.callers import run_caller
from soak.fleet import Fleet
from soak.history import Sent
from soak.invariants import check
from soak.run import wait_until_ready

__all__ = ["show_platform"]

ROUTERS = 3
CALLERS = 8
BEFORE_S = 2.0
AFTER_S = 4.0


async def show_platform() -> bool:
    """Serve callers through a stop and a change; return whether every invariant held."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        async with Fleet(ROUTERS, folder) as fleet:
            print(f"on the platform: {ROUTERS} router processes, the store, engines", flush=True)
            await wait_until_ready(fleet)
            callers = [asyncio.create_task(run_caller(fleet, n)) for n in range(CALLERS)]
            await asyncio.sleep(BEFORE_S)
            fleet.stop(0)
            await fleet.write_desired_state()
            await asyncio.sleep(AFTER_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            requests = [sent for sent in fleet.history.requests if sent.ended]
            violations = check(fleet.history)
        counts = Counter((sent.kind, sent.status) for sent in requests)
        for (kind, status), count in sorted(counts.items(), key=str):
            print(f"  {kind}: {count} times {status}")
        print(f"one router stopped and the state changed; violated invariants: {len(violations)}")
        await explain(next(s for s in requests if s.kind == "report" and s.status == 200), folder)
    return not violations


async def explain(sent: Sent, folder: Path) -> None:
    """Run the explain command for one request on the logs."""
    logs = sorted(str(path) for path in folder.glob("*.log"))
    command = ("-m", "marjoramspool.operators.commands", "explain", sent.id, "--logs", *logs)
    print(f"marjoramspool explain {sent.id} --logs ...", flush=True)
    process = await asyncio.create_subprocess_exec(sys.executable, *command)
    await process.wait()
