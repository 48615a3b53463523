"""Play seeds of the soak: python -m soak.run --seed 1 --count 50."""

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

from soak.callers import call_for_ever
from soak.fleet import Fleet
from soak.observed import Broken
from soak.promises import check
from soak.troubles import draw_troubles, play

__all__ = ["Soak", "main", "play_seed"]

CALLERS_A_ROUTER = 4
SETTLE_S = 8.0
RECOVER_S = 5.0
CHECK_S = 2.0


@cappa.command(name="soak", help="Run routers under random faults and check what must hold.")
@dataclass
class Soak:
    """Hold the arguments."""

    seed: Annotated[int | None, cappa.Arg(long=True, help="The first seed.")] = None
    count: Annotated[int, cappa.Arg(long=True, help="How many seeds.")] = 1
    routers: Annotated[int, cappa.Arg(long=True, help="Router processes.")] = 5
    seconds: Annotated[float, cappa.Arg(long=True, help="How long faults come.")] = 30.0
    keep: Annotated[str | None, cappa.Arg(long=True, help="A folder that keeps the logs.")] = None


async def play_seed(seed: int, routers: int, length_s: float, folder: Path) -> list[Broken]:
    """Play one seed; return the promises that were broken."""
    async with Fleet(routers, folder) as fleet:
        await settle(fleet)
        callers = [
            asyncio.create_task(call_for_ever(fleet, seed * 1_000 + number))
            for number in range(routers * CALLERS_A_ROUTER)
        ]
        playing = asyncio.create_task(play(fleet, draw_troubles(seed, length_s)))
        broken = await watch(fleet, playing)
        if not broken:
            fleet.observed.calm_from = time.monotonic() + SETTLE_S
            await asyncio.sleep(SETTLE_S + RECOVER_S)
        for task in [*callers, playing]:
            task.cancel()
        await asyncio.gather(*callers, playing, return_exceptions=True)
        failed = [t.exception() for t in callers if not t.cancelled() and t.exception()]
        if failed:
            raise failed[0]
        (folder / "requests.txt").write_text("\n".join(map(repr, fleet.observed.requests)))
        (folder / "troubles.txt").write_text("\n".join(map(repr, fleet.observed.disturbances)))
        print(f"seed {seed}: {summary(fleet)}", flush=True)
        return broken or check(fleet.observed)


async def end_cleanly(work: Awaitable[list[Broken]]) -> list[Broken]:
    """Play a seed, and end every process of it when the soak is asked to stop."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await work


async def settle(fleet: Fleet) -> None:
    """Wait until every router is ready."""
    async with asyncio.timeout(SETTLE_S * 2):
        while len(fleet.ready) < fleet.count:
            await asyncio.sleep(0.1)


async def watch(fleet: Fleet, playing: asyncio.Task) -> list[Broken]:
    """Check the promises while the troubles are played; return the first that are broken."""
    while not playing.done():
        await asyncio.wait([playing], timeout=CHECK_S)
        if broken := check(fleet.observed):
            return broken
    await playing
    return []


def summary(fleet: Fleet) -> str:
    """Return how much was asked and served."""
    requests = [sent for sent in fleet.observed.requests if sent.ended]
    served = sum(sent.status == 200 and sent.body is not None for sent in requests)
    starts = sum(router.starts for router in fleet.routers)
    return f"{len(requests)} requests, {served} served, {starts} starts of {fleet.count} routers"


def main() -> None:
    """Play the seeds; exit with 1 if a promise was broken."""
    soak = cappa.parse(Soak)
    first = random.randrange(1 << 20) if soak.seed is None else soak.seed
    failed = []
    for seed in range(first, first + soak.count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(soak.keep or scratch) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            playing = play_seed(seed, soak.routers, soak.seconds, folder)
            broken = asyncio.run(end_cleanly(playing))
        for one in broken[:5]:
            print(f"seed {seed}: BROKEN {one.promise}: {one.detail}", flush=True)
        if broken:
            failed.append(seed)
    print(f"{soak.count - len(failed)} seeds held, {len(failed)} broke a promise: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
