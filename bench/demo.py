"""Demonstration of the whole request path in one minute: make demo."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from bench.chats import Chat, take_turn
from bench.documents import example_at
from bench.fleet import Fleet
from bench.platform_demo import show_platform
from marjoramspool.operators.client import OperatorClient, fetch_router_status

__all__ = ["main"]

CHATS = 24
TURNS = 6
DOMAINS = ("hu-central-1", "hu-central-2", "hu-central-3")
SAMPLE_INTERVAL_S = 0.05
FAST_TIMINGS = {"probe_period": "300ms", "poll_period": "500ms", "drain_delay": "200ms"}


def say(text: str) -> None:
    """Print progress without buffering."""
    print(text, flush=True)


async def apply(fleet: Fleet, text: str) -> None:
    """Apply a document with the operators' command line."""
    with tempfile.NamedTemporaryFile("w", suffix=".ini", dir=fleet.directory) as file:
        file.write(text)
        file.flush()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "marjoramspool.operators.commands", "apply", str(Path(file.name))),
            *("--platform", f"127.0.0.1:{fleet.platform}", "--who", "demo"),
        )
        if await process.wait():
            raise SystemExit(f"apply failed\n{fleet.logs()}")


async def sample_skew(fleet: Fleet, engines: list[int], samples: list[float]) -> None:
    """Sample the ratio of the highest engine load to the mean load."""
    while True:
        pages = [fleet.read_json(f"http://127.0.0.1:{port}/_stats") for port in engines]
        loads = [page["running"] + page["queued"] for page in await asyncio.gather(*pages)]
        if sum(loads):
            samples.append(max(loads) / (sum(loads) / len(loads)))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def run_chat(fleet: Fleet, number: int, turns: list) -> None:
    """Run one chat, with each turn through another router."""
    chat = Chat(f"chat-{number}")
    for turn in range(TURNS):
        router = fleet.routers[(number + turn) % len(fleet.routers)]
        turns.append(await take_turn(fleet.session, router.callers, chat, "grip-model"))


async def show_idempotency(fleet: Fleet) -> None:
    """Send a non-idempotent request twice with one key, through two routers."""
    headers = {"Authorization": "Bearer crews-key", "Idempotency-Key": "closure-7"}
    for router in fleet.routers[:2]:
        url = f"{router.callers}/services/field-desk/closures"
        async with fleet.session.post(url, data=b"close road 7", headers=headers) as response:
            outcome = response.headers["Marjoramspool-Outcome"]
            replayed = response.headers.get("Marjoramspool-Replayed", "false")
            body = (await response.text()).strip()
            say(f"closure order by {router.name}: {outcome}, replayed={replayed}, {body}")


async def show_urgent(fleet: Fleet) -> None:
    """Send an urgent lookup and print its latency."""
    started = time.monotonic()
    chat = Chat("lookup", "investigators")
    turn = await take_turn(
        fleet.session, fleet.routers[0].callers, chat, "grip-model", max_tokens=4, urgency=0
    )
    took_ms = (time.monotonic() - started) * 1000
    say(f"urgent lookup: {turn.outcome} in {took_ms:.0f} ms")


async def show_summary(fleet: Fleet, turns: list, skews: list[float], seconds: float) -> None:
    """Print the answered turns, cache reuse, load skew and control traffic."""
    returning = [turn for turn in turns if turn.is_complete and turn.prompt_tokens > 0]
    prompt = sum(turn.prompt_tokens for turn in returning)
    cached = sum(turn.cached_tokens for turn in returning)
    complete = sum(turn.is_complete for turn in turns)
    say(f"chats: {complete} of {len(turns)} turns answered completely")
    say(f"cache reuse: {cached / max(1, prompt):.2f} of all prompt tokens were cached")
    skews.sort()
    say(f"skew: median {skews[len(skews) // 2]:.2f}, worst {skews[-1]:.2f} of {len(skews)} samples")
    for router in fleet.routers:
        status = await fetch_router_status(f"127.0.0.1:{router.ports[2]}")
        control = status.control
        total = control.router_bytes + control.platform_bytes + control.report_bytes
        say(f"control: {router.name} {total / seconds:.0f} bytes/s, {control.platform_calls} calls")


async def run() -> int:
    """Run the demonstration; return the exit code."""
    started = time.monotonic()
    async with Fleet() as fleet:
        say("starting stand-ins and three routers")
        await fleet.standin("platform", "platform")
        engines = [
            await fleet.standin("engine", f"grip-{i}", seed=i + 1, decode_ms=8) for i in range(5)
        ]
        desks = [await fleet.standin("service", f"desk-{i}") for i in range(4)]
        for number, domain in enumerate(DOMAINS):
            await fleet.router(f"router-{number + 1}", domain, **FAST_TIMINGS)
        for router in fleet.routers:
            await fleet.wait_for(f"{router.callers}/livez")
        await apply(fleet, example_at("grip-model", engines))
        await apply(fleet, example_at("field-desk", desks))
        await fleet.wait_ready()
        skews: list[float] = []
        sampler = asyncio.create_task(sample_skew(fleet, engines, skews))
        turns: list = []
        say(f"{CHATS} chats take {TURNS} turns each, through all routers")
        await asyncio.gather(*[run_chat(fleet, n, turns) for n in range(CHATS)])
        sampler.cancel()
        await show_urgent(fleet)
        await show_idempotency(fleet)
        await show_summary(fleet, turns, skews, time.monotonic() - started)
        async with OperatorClient(f"127.0.0.1:{fleet.platform}") as operator:
            for change in (await operator.get("grip-model"))[1].changes:
                say(f"audit: {msgspec.json.encode(change).decode()}")
        is_passed = all(turn.is_complete for turn in turns)
    is_passed = await show_platform() and is_passed
    say("done" if is_passed else "FAILED: a turn was incomplete, or an invariant was violated")
    return 0 if is_passed else 1


def main() -> None:
    """Run the demonstration."""
    raise SystemExit(asyncio.run(run()))


if __name__ == "__main__":
    main()
