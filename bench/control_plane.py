"""Control plane measurements: claims per second, and time until a change is in force."""

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass

from bench.documents import model_document
from bench.fleet import Fleet
from marjoramspool.claims import Claims
from marjoramspool.ledger import Finish, Granted, Take
from marjoramspool.operators.client import OperatorClient
from marjoramspool.storage import Platform

__all__ = ["ClaimRate", "PropagationTime", "measure_claims", "measure_propagation"]

WRITES_PER_S = 300
CLAIMANTS = 4
SHARDS = 16
OFFER_S = 8.0
OFFERED_PER_S = 3000
CHANGES = 20
ROUTERS = 8


@dataclass(slots=True)
class ClaimRate:
    """Rates on one platform; a claim counts together with the record of its outcome."""

    offered_per_s: float
    claims_per_s: float
    writes_per_s: float
    p50_ms: float
    p99_ms: float
    unsettled: int


@dataclass(slots=True)
class PropagationTime:
    """Seconds from acceptance of a change until it is in force on every router."""

    median_s: float
    worst_s: float
    worst_with_faults_s: float


async def offer_claims(claims: list[Claims], rate: float, seconds: float) -> list[float]:
    """Claim and finish keys at a fixed rate; return the seconds per claim, -1 if not granted."""
    times: list[float] = []

    async def claim_and_finish(number: int) -> None:
        claims_of_router = claims[number % len(claims)]
        key = f"{number * 2654435761 % 2**32:08x}{number:024x}"
        started = time.monotonic()
        result = await claims_of_router.commit(Take(key, "body", f"attempt-{number}"))
        times.append(time.monotonic() - started if isinstance(result, Granted) else -1.0)
        await claims_of_router.commit(
            Finish(key, f"attempt-{number}", 200, "{}", "application/json")
        )

    start, tasks = time.monotonic(), []
    for number in range(int(rate * seconds)):
        due = start + number / rate
        if due > time.monotonic():
            await asyncio.sleep(due - time.monotonic())
        tasks.append(asyncio.create_task(claim_and_finish(number)))
    await asyncio.gather(*tasks)
    return times


async def measure_claims() -> ClaimRate:
    """Measure claims against one platform with a limited rate of writes."""
    async with Fleet() as fleet, AsyncExitStack() as stack:
        port = await fleet.standin("platform", "platform", writes=WRITES_PER_S)
        claims: list[Claims] = []

        def preferred(shard: str) -> str | None:
            return str(int(shard.rpartition("-")[2]) % CLAIMANTS)

        async def forward(router: str, operation, wait_s: float):
            return await claims[int(router)].commit_locally(operation, wait_s)

        for _ in range(CLAIMANTS):
            platform = Platform(f"127.0.0.1:{port}", 1.0, 1000)
            await stack.enter_async_context(platform)
            claims.append(Claims(platform, SHARDS, preferred, forward, lambda: 86400.0))
        url = f"http://127.0.0.1:{port}/_calls"
        before, started = (await fleet.read_json(url))["write"], time.monotonic()
        times = await offer_claims(claims, OFFERED_PER_S, OFFER_S)
        seconds = time.monotonic() - started
        writes = (await fleet.read_json(url))["write"] - before
        for each in claims:
            await each.close()
    granted = sorted(t for t in times if t >= 0)
    return ClaimRate(
        OFFERED_PER_S,
        len(granted) / seconds,
        writes / seconds,
        granted[len(granted) // 2] * 1e3,
        granted[int(len(granted) * 0.99)] * 1e3,
        len(times) - len(granted),
    )


async def measure_propagation() -> PropagationTime:
    """Measure changes without faults, then with failing watches and a router restart."""
    async with Fleet() as fleet:
        await fleet.standin("platform", "platform")
        for number in range(ROUTERS):
            await fleet.router(f"router-{number}", f"domain-{number % 4}")
        async with OperatorClient(f"127.0.0.1:{fleet.platform}") as operator:
            await operator.apply(model_document("grip-model", [1]), "bench", None)
            await fleet.wait_ready()
            without_faults = [await measure_change(operator, number) for number in range(CHANGES)]
            with_faults = []
            for number in range(6):
                kind = ("silent", "outage", "stale-read")[number % 3]
                await fleet.arm_fault(fleet.platform, kind, times=8, path="/watch")
                if number == 3:
                    fleet.processes["router-7"].end()
                    await fleet.router("router-7b", "domain-3")
                with_faults.append(await measure_change(operator, 100 + number))
    without_faults.sort()
    return PropagationTime(
        without_faults[len(without_faults) // 2], without_faults[-1], max(with_faults)
    )


async def measure_change(operator: OperatorClient, number: int) -> float:
    """Apply one change; return the seconds until it is in force on every live router."""
    text = model_document("grip-model", [1], deadline=f"{number + 1}s")
    version = await operator.apply(text, "bench", None)
    started = time.monotonic()
    while True:
        applied = await operator.wait_until_adopted("grip-model", version, 0.5)
        missing = [name for name in applied.missing if name != "router-7"]
        if not missing:
            return time.monotonic() - started
        if time.monotonic() - started > 30:
            raise TimeoutError(f"version {version} is not in force on {missing} after 30 s")
