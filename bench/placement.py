"""Comparison of placement methods under churn: cache reuse, load skew, control traffic."""

import asyncio
import random
import time
from dataclasses import dataclass

import msgspec

from bench.documents import model_document
from bench.fleet import Fleet
from bench.load import Load, Result
from bench.readings import SocketBytes, cpu_seconds, memory_bytes
from marjoramspool.operators.client import OperatorClient

__all__ = ["Placement", "measure_placement"]

ROUTERS = 8
ENGINES = 5
DOMAINS = 4
RATE_PER_S = 42.0
MAX_TOKENS = 50
DECODE_MS = 20
CACHE_TOKENS = 80_000
SLOTS = 32
SAMPLE_INTERVAL_S = 0.05
DRAIN_PERIOD_S = 15.0
DRAIN_S = 4.0
MIN_MEAN_LOAD = 8.0
SETTLE_S = 4.0
LOAD_BOUND = 1.25
HOLDER_WAIT = "200ms"
IDLE_S = 8.0


@dataclass(slots=True)
class Placement:
    """Measurements of one placement method; control bytes and cores are per second."""

    way: str
    seed: int
    turns: int
    whole: int
    reuse: float
    token_reuse: float
    skew_median: float
    skew_p99: float
    skew_less_one_p99: float
    steady_less_one_p99: float
    samples: int
    control_rest: float
    control_load: float
    control_worst: float
    cpu_rest: float
    cpu_load: float
    memory_mb: float
    first_token_p50_ms: float
    first_token_p99_ms: float
    outcomes: dict[str, int]


async def sample_loads(
    fleet: Fleet, engines: list[int], draining: set[int], change_times: list[float], samples: list
) -> None:
    """Sample the load of every engine that is not draining."""
    while True:
        ports = [port for port in engines if port not in draining]
        pages = [fleet.read_json(f"http://127.0.0.1:{port}/_stats") for port in ports]
        loads = [page["running"] + page["queued"] for page in await asyncio.gather(*pages)]
        samples.append((time.monotonic() - change_times[-1] > SETTLE_S, loads))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def churn(
    fleet: Fleet, engines: list[int], draining: set[int], change_times: list[float], seed: int
) -> None:
    """Drain one engine after another for a while; every second time it loses its cache."""
    rng = random.Random(seed)
    number = 0
    while True:
        await asyncio.sleep(DRAIN_PERIOD_S - DRAIN_S)
        port = rng.choice(engines)
        draining.add(port)
        change_times.append(time.monotonic())
        await fleet.session.post(f"http://127.0.0.1:{port}/_leave")
        await asyncio.sleep(DRAIN_S)
        query = "?restart=yes" if number % 2 else ""
        await fleet.session.post(f"http://127.0.0.1:{port}/_leave{query}")
        number += 1
        draining.discard(port)
        change_times.append(time.monotonic())


async def watch_sockets(counter: SocketBytes) -> None:
    """Sample the sockets twice a second."""
    while True:
        await asyncio.to_thread(counter.sample)
        await asyncio.sleep(0.5)


def control_bytes(fleet: Fleet, counter: SocketBytes) -> list[int]:
    """Return the control bytes of each router, to peers and the platform.

    Accepted connections count for the router that accepted them; connections that routers open
    are divided evenly among all routers.
    """
    peers = {router.ports[1] for router in fleet.routers}
    outgoing = counter.to_ports(peers | {fleet.platform})
    outgoing_per_router = outgoing / len(fleet.routers)
    return [int(counter.from_ports({r.ports[1]}) + outgoing_per_router) for r in fleet.routers]


async def measure_placement(way: str, seed: int, seconds: float) -> Placement:
    """Measure one placement method with real processes.

    `way` is a placement, or a placement, a load bound and a patience, separated by slashes.
    """
    placement, *options = way.split("/")
    bound, patience = options or (str(LOAD_BOUND), HOLDER_WAIT)
    async with Fleet() as fleet:
        await fleet.standin("platform", "platform")
        engines = [
            await fleet.standin(
                "engine",
                f"engine-{i}",
                decode_ms=DECODE_MS,
                slots=SLOTS,
                cache_tokens=CACHE_TOKENS,
                seed=seed * 100 + i,
            )
            for i in range(ENGINES)
        ]
        for number in range(ROUTERS):
            await fleet.router(
                f"router-{number}", f"domain-{number % DOMAINS}", extra=f"placement = {placement}"
            )
        async with OperatorClient(f"127.0.0.1:{fleet.platform}") as operator:
            text = model_document(
                "grip-model", engines, slots=SLOTS, load_bound=bound, patience=patience
            )
            await operator.apply(text, "bench", None)
        await fleet.wait_ready()
        await asyncio.sleep(3.0)
        return await measure_on(fleet, way, seed, seconds, engines)


async def measure_on(
    fleet: Fleet, way: str, seed: int, seconds: float, engines: list[int]
) -> Placement:
    """Measure a running fleet, idle and under load."""
    counter = SocketBytes()
    watcher = asyncio.create_task(watch_sockets(counter))
    await asyncio.sleep(1.0)
    pids = [router.popen.pid for router in fleet.routers]
    rest = await measure_interval(fleet, counter, pids, asyncio.sleep(IDLE_S))
    samples: list[tuple[bool, list[int]]] = []
    draining: set[int] = set()
    change_times = [time.monotonic()]
    load = Load(
        [router.callers for router in fleet.routers], RATE_PER_S, seed, max_tokens=MAX_TOKENS
    )
    sampler = asyncio.create_task(sample_loads(fleet, engines, draining, change_times, samples))
    churner = asyncio.create_task(churn(fleet, engines, draining, change_times, seed))
    busy = await measure_interval(fleet, counter, pids, load.run(seconds))
    for task in (sampler, churner, watcher):
        task.cancel()
    memory = max(memory_bytes(pid) for pid in pids) / 1e6
    return summarize(way, seed, load.result, samples, rest, busy, memory)


@dataclass(slots=True)
class Interval:
    """Control bytes and processor seconds of each router, per second of an interval."""

    control: list[float]
    cpu: list[float]


async def measure_interval(fleet: Fleet, counter: SocketBytes, pids: list[int], work) -> Interval:
    """Measure the resources that routers use while `work` runs."""
    counter.sample()
    started, before = time.monotonic(), control_bytes(fleet, counter)
    cpu = [cpu_seconds(pid) for pid in pids]
    await work
    counter.sample()
    seconds, after = time.monotonic() - started, control_bytes(fleet, counter)
    spent = [(b - a) / seconds for a, b in zip(before, after, strict=True)]
    used = [(cpu_seconds(pid) - first) / seconds for pid, first in zip(pids, cpu, strict=True)]
    return Interval(spent, used)


def summarize(
    way: str,
    seed: int,
    result: Result,
    samples: list[tuple[bool, list[int]]],
    rest: Interval,
    busy: Interval,
    memory: float,
) -> Placement:
    """Return the measurements of one run."""
    skews, less_one, steady = [], [], []
    for is_steady, loads in samples:
        mean = sum(loads) / len(loads)
        if mean >= MIN_MEAN_LOAD:
            skews.append(max(loads) / mean)
            less_one.append((max(loads) - 1) / mean)
            if is_steady:
                steady.append((max(loads) - 1) / mean)
    skews.sort()
    steady.sort()
    less_one.sort()
    return Placement(
        way=way,
        seed=seed,
        turns=result.turns,
        whole=result.whole,
        reuse=result.reuse,
        token_reuse=result.cached_tokens / max(1, result.returning_tokens),
        skew_median=percentile(skews, 0.5),
        skew_p99=percentile(skews, 0.99),
        skew_less_one_p99=percentile(less_one, 0.99),
        steady_less_one_p99=percentile(steady, 0.99),
        samples=len(skews),
        control_rest=sum(rest.control) / len(rest.control),
        control_load=sum(busy.control) / len(busy.control),
        control_worst=max(busy.control),
        cpu_rest=sum(rest.cpu) / len(rest.cpu),
        cpu_load=sum(busy.cpu) / len(busy.cpu),
        memory_mb=memory,
        first_token_p50_ms=result.first_token.get_value_at_percentile(50) / 1e3,
        first_token_p99_ms=result.first_token.get_value_at_percentile(99) / 1e3,
        outcomes=result.outcomes,
    )


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * fraction))] if values else 0.0


def main() -> None:
    """Measure the placement methods named on the command line, after a seed and seconds."""
    import sys

    seed, seconds, *ways = sys.argv[1:]
    for way in ways:
        placement = asyncio.run(measure_placement(way, int(seed), float(seconds)))
        print(msgspec.json.encode(placement).decode(), flush=True)


if __name__ == "__main__":
    main()
