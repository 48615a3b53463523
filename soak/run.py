"""Run seeds of the fault injection soak: python -m soak.run --seed 1 --count 50."""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from soak.callers import run_caller
from soak.faults import draw_faults, inject_faults
from soak.fleet import Fleet
from soak.history import Violation
from soak.invariants import check

__all__ = ["Soak", "main", "run_seed"]

CALLERS_PER_ROUTER = 4
SETTLE_S = 8.0
RECOVERY_S = 5.0
CHECK_INTERVAL_S = 2.0


@cappa.command(name="soak", help="Run routers under random faults and check invariants.")
@dataclass
class Soak:
    """Command-line arguments of the soak."""

    seed: Annotated[int | None, cappa.Arg(long=True, help="The first seed.")] = None
    count: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = 1
    routers: Annotated[int, cappa.Arg(long=True, help="Number of router processes.")] = 5
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Duration of fault injection in seconds.")
    ] = 30.0
    keep: Annotated[str | None, cappa.Arg(long=True, help="Folder in which to keep the logs.")] = (
        None
    )


async def run_seed(seed: int, routers: int, length_s: float, folder: Path) -> list[Violation]:
    """Run one seed and return the violations found."""
    async with Fleet(routers, folder) as fleet:
        await wait_until_ready(fleet)
        callers = [
            asyncio.create_task(run_caller(fleet, seed * 1_000 + number))
            for number in range(routers * CALLERS_PER_ROUTER)
        ]
        injection = asyncio.create_task(inject_faults(fleet, draw_faults(seed, length_s)))
        violations = await check_during_injection(fleet, injection)
        if not violations:
            fleet.history.recovery_start = time.monotonic() + SETTLE_S
            await asyncio.sleep(SETTLE_S + RECOVERY_S)
        for task in [*callers, injection]:
            task.cancel()
        await asyncio.gather(*callers, injection, return_exceptions=True)
        failed = [t.exception() for t in callers if not t.cancelled() and t.exception()]
        if failed:
            raise failed[0]
        (folder / "requests.txt").write_text("\n".join(map(repr, fleet.history.requests)))
        (folder / "troubles.txt").write_text("\n".join(map(repr, fleet.history.disturbances)))
        print(f"seed {seed}: {summary(fleet)}", flush=True)
        return violations or check(fleet.history)


async def run_until_signalled(work: Awaitable[list[Violation]]) -> list[Violation]:
    """Run a seed; on SIGTERM cancel it, so that its processes are ended."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await work


async def wait_until_ready(fleet: Fleet) -> None:
    """Wait until every router is ready."""
    async with asyncio.timeout(SETTLE_S * 2):
        while len(fleet.ready) < fleet.count:
            await asyncio.sleep(0.1)


async def check_during_injection(fleet: Fleet, injection: asyncio.Task) -> list[Violation]:
    """Check the invariants during fault injection; return the first violations found."""
    while not injection.done():
        await asyncio.wait([injection], timeout=CHECK_INTERVAL_S)
        if violations := check(fleet.history):
            return violations
    await injection
    return []


def summary(fleet: Fleet) -> str:
    """Return the numbers of requests, answers served and router starts."""
    requests = [sent for sent in fleet.history.requests if sent.ended]
    served = sum(sent.status == 200 and sent.body is not None for sent in requests)
    starts = sum(router.starts for router in fleet.routers)
    return f"{len(requests)} requests, {served} served, {starts} starts of {fleet.count} routers"


def main() -> None:
    """Run the seeds; exit with status 1 if an invariant was violated."""
    soak = cappa.parse(Soak)
    first = random.randrange(1 << 20) if soak.seed is None else soak.seed
    failed = []
    for seed in range(first, first + soak.count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(soak.keep or scratch) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            work = run_seed(seed, soak.routers, soak.seconds, folder)
            violations = asyncio.run(run_until_signalled(work))
        for violation in violations[:5]:
            print(f"seed {seed}: VIOLATED {violation.invariant}: {violation.detail}", flush=True)
        if violations:
            failed.append(seed)
    print(f"{soak.count - len(failed)} seeds passed, {len(failed)} violated an invariant: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
