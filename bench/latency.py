"""Added time to first token, relay cost, and latency of urgent lookups under long digests."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from bench.chats import Chat, take_turn
from bench.documents import model_document
from bench.fleet import Fleet
from bench.load import Load, histogram
from bench.readings import cpu_seconds
from marjoramspool.operators.client import OperatorClient

__all__ = [
    "AddedLatency",
    "RelayCost",
    "UrgentLatency",
    "measure_added",
    "measure_relay",
    "measure_urgent",
]

LOW_RATE_PER_S = 20.0
LOW_RATE_S = 30.0
RELAY_RATE_PER_S = 16.0
RELAY_TOKENS = 245
RELAY_S = 15.0
URGENT_COUNT = 150
DIGEST_TOKENS = 400
DECODE_MS = 10


@dataclass(slots=True)
class AddedLatency:
    """Time to first token, direct and through a router, in milliseconds."""

    direct_p50: float
    direct_p99: float
    routed_p50: float
    routed_p99: float


@dataclass(slots=True)
class RelayCost:
    """Processor time that one router spends on relaying streams."""

    requests_per_s: float
    events_per_s: float
    cores: float
    us_an_event: float


@dataclass(slots=True)
class UrgentLatency:
    """Latency of urgent lookups on idle and on full engines, in milliseconds."""

    idle_p99: float
    full_p50: float
    full_p99: float
    digests_refused: int


async def start_fleet(
    fleet: Fleet, engines: int, routers: int, decode_ms: float, slots: int
) -> list:
    """Start a fleet with one model service; return the engines' ports."""
    await fleet.standin("platform", "platform")
    ports = [
        await fleet.standin("engine", f"engine-{i}", decode_ms=decode_ms, slots=slots, seed=i)
        for i in range(engines)
    ]
    for number in range(routers):
        await fleet.router(f"router-{number}", f"domain-{number}")
    async with OperatorClient(f"127.0.0.1:{fleet.platform}") as operator:
        text = model_document("grip-model", ports, {"crews": 1, "digests": 1}, slots=slots)
        await operator.apply(text, "bench", None)
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    return ports


async def measure_added() -> AddedLatency:
    """Measure the time to first token below half load, direct and routed, in one run."""
    async with Fleet() as fleet:
        ports = await start_fleet(fleet, 2, 3, DECODE_MS, 64)
        direct = Load([f"http://127.0.0.1:{p}" for p in ports], LOW_RATE_PER_S, 1, max_tokens=8)
        routed = Load([r.callers for r in fleet.routers], LOW_RATE_PER_S, 1, max_tokens=8)
        await direct.run(LOW_RATE_S)
        await routed.run(LOW_RATE_S)
    one, other = direct.result.first_token, routed.result.first_token
    at = [h.get_value_at_percentile(p) / 1e3 for h in (one, other) for p in (50, 99)]
    return AddedLatency(*at)


async def measure_relay() -> RelayCost:
    """Measure the processor time that one router spends on relaying streams."""
    async with Fleet() as fleet:
        await start_fleet(fleet, 3, 1, 40, 400)
        load = Load([fleet.routers[0].callers], RELAY_RATE_PER_S, 1, max_tokens=RELAY_TOKENS)
        pid = fleet.routers[0].popen.pid
        started, before = time.monotonic(), cpu_seconds(pid)
        result = await load.run(RELAY_S)
        seconds, spent = time.monotonic() - started, cpu_seconds(pid) - before
    events = result.whole * (RELAY_TOKENS + 2)
    return RelayCost(
        result.turns / seconds, events / seconds, spent / seconds, spent / max(1, events) * 1e6
    )


async def measure_lookups(fleet: Fleet, name: str) -> "histogram":
    """Send urgent lookups one after another; return their latencies."""
    times = histogram()
    for number in range(URGENT_COUNT):
        chat = Chat(f"{name}-{number}")
        url = fleet.routers[number % len(fleet.routers)].callers
        started = time.monotonic()
        turn = await take_turn(fleet.session, url, chat, "grip-model", 4, urgency=0)
        if not turn.is_complete:
            raise RuntimeError(f"urgent lookup not answered completely: {turn}")
        times.record_value(int((time.monotonic() - started) * 1e6))
    return times


async def send_digests(fleet: Fleet, refused: list[int], stop: asyncio.Event) -> None:
    """Send long digests one after another, with a pause after each refusal."""
    number = 0
    timeout = aiohttp.ClientTimeout(total=60)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while not stop.is_set():
            number += 1
            chat = Chat(f"digest-{id(stop)}-{number}", "digests")
            url = fleet.routers[number % len(fleet.routers)].callers
            turn = await take_turn(session, url, chat, "grip-model", DIGEST_TOKENS, urgency=6)
            if not turn.is_complete:
                refused.append(turn.status)
                await asyncio.sleep(0.2)


async def measure_urgent() -> UrgentLatency:
    """Measure urgent lookups on idle engines and on engines full of long digests."""
    async with Fleet() as fleet:
        await start_fleet(fleet, 3, 3, DECODE_MS, 8)
        idle = await measure_lookups(fleet, "idle")
        stop, refused = asyncio.Event(), []
        digests = [asyncio.create_task(send_digests(fleet, refused, stop)) for _ in range(40)]
        await asyncio.sleep(3.0)
        full = await measure_lookups(fleet, "full")
        stop.set()
        await asyncio.gather(*digests)
    at = full.get_value_at_percentile
    return UrgentLatency(
        idle.get_value_at_percentile(99) / 1e3, at(50) / 1e3, at(99) / 1e3, len(refused)
    )
