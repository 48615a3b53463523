"""Random troubles, drawn from a seed, in series and overlapping."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.fleet import Fleet
from soak.links import Mode
from standins.faults import Fault

__all__ = ["Trouble", "draw_troubles", "play"]

# An engine that leaves serves on for longer than routers may send it new work.
SERVE_ON_S = 4.0
# Pauses between troubles, in seconds: short ones make them overlap, long ones let calm return.
GAPS_S = (0.05, 0.3, 1.0, 2.5, 5.0)
LENGTHS_S = (0.5, 1.5, 3.0)
ENGINE_FAULTS = ("shed", "error", "reset", "cut", "extra", "foreign", "bare", "unframed-cut")
STORE_FAULTS = ("outage", "silent", "slow", "lose-reply")


@dataclass(slots=True, frozen=True)
class Trouble:
    """Say what is done, when, for how long and to which thing; times in seconds from the start."""

    at: float
    kind: str
    for_s: float
    number: int
    detail: str


def draw_troubles(seed: int, length_s: float) -> list[Trouble]:
    """Return the troubles of a seed."""
    draw = random.Random(seed)
    troubles, at = [], 1.0
    while at < length_s:
        (kind,) = draw.choices(sorted(KINDS), [WEIGHTS.get(kind, 1) for kind in sorted(KINDS)])
        detail = draw.choice(DETAILS.get(kind, ("",)))
        troubles.append(
            Trouble(round(at, 2), kind, draw.choice(LENGTHS_S), draw.randrange(1 << 16), detail)
        )
        at += draw.choice(GAPS_S)
    return troubles


async def play(fleet: Fleet, troubles: list[Trouble]) -> None:
    """Play troubles at their times, and wait for the end of the last."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for trouble in troubles:
            await asyncio.sleep(max(0.0, started + trouble.at - time.monotonic()))
            group.create_task(KINDS[trouble.kind](fleet, trouble))


async def stop_router(fleet: Fleet, trouble: Trouble) -> None:
    """Ask a router to stop; it is started again."""
    fleet.stop(trouble.number % fleet.count)


async def kill_router(fleet: Fleet, trouble: Trouble) -> None:
    """Kill a router."""
    fleet.kill(trouble.number % fleet.count)


async def kill_all(fleet: Fleet, trouble: Trouble) -> None:
    """Kill all routers at once."""
    for number in range(fleet.count):
        fleet.kill(number)


async def pause_router(fleet: Fleet, trouble: Trouble) -> None:
    """Suspend a router and wake it."""
    number = trouble.number % fleet.count
    process = fleet.routers[number].process
    fleet.observed.disturb(number, time.monotonic(), trouble.for_s, "pause")
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(trouble.for_s)
    process.signal(signal.SIGCONT)


async def hang_up(fleet: Fleet, trouble: Trouble) -> None:
    """Rewrite a router's settings and tell it so."""
    router = fleet.routers[trouble.number % fleet.count]
    router.process.write_settings(more=trouble.number)
    router.process.signal(signal.SIGHUP)


async def cut_store(fleet: Fleet, trouble: Trouble) -> None:
    """Spoil the link of a router to the store."""
    number = trouble.number % fleet.count
    link = fleet.routers[number].store_link
    fleet.observed.disturb(number, time.monotonic(), trouble.for_s, f"store {trouble.detail}")
    await link.set_mode(Mode(trouble.detail))
    await asyncio.sleep(trouble.for_s)
    await link.set_mode(Mode.OPEN)


async def cut_engine(fleet: Fleet, trouble: Trouble) -> None:
    """Spoil the link to an engine."""
    engine = pick_engine(fleet, trouble)
    link = fleet.links[engine.id]
    fleet.observed.disturb_engines(time.monotonic(), trouble.for_s, f"engine {trouble.detail}")
    await link.set_mode(Mode(trouble.detail))
    await asyncio.sleep(trouble.for_s)
    await link.set_mode(Mode.OPEN)


async def delay_engine(fleet: Fleet, trouble: Trouble) -> None:
    """Delay what goes to an engine and comes from it."""
    link = fleet.links[pick_engine(fleet, trouble).id]
    fleet.observed.disturb_engines(time.monotonic(), trouble.for_s, "delay")
    link.delay_s = 0.15
    await asyncio.sleep(trouble.for_s)
    link.delay_s = 0.0


async def reset_engine(fleet: Fleet, trouble: Trouble) -> None:
    """Reset all connections to an engine."""
    fleet.observed.disturb_engines(time.monotonic(), 0.5, "reset")
    fleet.links[pick_engine(fleet, trouble).id].reset()


async def fail_engine(fleet: Fleet, trouble: Trouble) -> None:
    """Let an engine spoil some of its next answers."""
    fleet.observed.disturb_engines(time.monotonic(), trouble.for_s, trouble.detail)
    engine = pick_engine(fleet, trouble)
    engine.faults[trouble.detail] += 3
    await asyncio.sleep(trouble.for_s)
    engine.faults[trouble.detail] = 0


async def replace_engine(fleet: Fleet, trouble: Trouble) -> None:
    """Start an engine, let another announce that it leaves, and end it."""
    engine = pick_engine(fleet, trouble)
    if engine.id in fleet.observed.leavings:
        return
    await fleet.add_engine(engine.service)
    await fleet.register(engine, state="draining", sequence=2)
    fleet.observed.leavings[engine.id] = time.monotonic()
    await asyncio.sleep(trouble.for_s + SERVE_ON_S)
    await fleet.site.drop("servers", engine.id)


async def spoil_store(fleet: Fleet, trouble: Trouble) -> None:
    """Let the store fail all routers."""
    store = fleet.site.store
    fleet.observed.disturb(None, time.monotonic(), trouble.for_s, f"store {trouble.detail}")
    fault = Fault(trouble.detail, times=-1, seconds=0.2)
    store.faults.arm(fault)
    await asyncio.sleep(trouble.for_s)
    store.faults.armed.remove(fault)
    store.silent.clear()


async def forget_history(fleet: Fleet, trouble: Trouble) -> None:
    """Let the store discard its history."""
    fleet.observed.disturb(None, time.monotonic(), 0.5, "history gone")
    fleet.site.store.forget_history()


async def change_state(fleet: Fleet, trouble: Trouble) -> None:
    """Write some desired states, one after the other."""
    for _ in range(1 + trouble.number % 4):
        await fleet.change()
        await asyncio.sleep(0.1)


async def revoke_key(fleet: Fleet, trouble: Trouble) -> None:
    """Take a key away and give another; callers go on using the old one."""
    fresh = f"key-{trouble.number}-{len(fleet.observed.changes)}"
    fleet.keys = (*fleet.keys[:1], *fleet.keys[2:], fresh)
    fleet.keys_in_use = (*fleet.keys, *fleet.keys_in_use[-1:])
    await fleet.change()


def pick_engine(fleet: Fleet, trouble: Trouble):
    """Return an engine that is not leaving."""
    leaving = fleet.observed.leavings
    staying = [engine for engine in fleet.site.engines if engine.id not in leaving]
    return staying[trouble.number % len(staying)]


KINDS: dict[str, Callable[[Fleet, Trouble], Awaitable[None]]] = {
    "stop": stop_router,
    "stop again": stop_router,
    "kill": kill_router,
    "kill all": kill_all,
    "pause": pause_router,
    "hang up": hang_up,
    "cut store": cut_store,
    "cut engine": cut_engine,
    "delay engine": delay_engine,
    "reset engine": reset_engine,
    "fail engine": fail_engine,
    "replace engine": replace_engine,
    "spoil store": spoil_store,
    "forget history": forget_history,
    "change state": change_state,
    "revoke key": revoke_key,
}
# Each of these has many forms.
WEIGHTS = {"fail engine": 4, "cut engine": 2, "replace engine": 4}
MODES = tuple(mode.value for mode in Mode if mode is not Mode.OPEN)
DETAILS = {
    "cut store": MODES,
    "cut engine": MODES,
    "fail engine": ENGINE_FAULTS,
    "spoil store": STORE_FAULTS,
}
