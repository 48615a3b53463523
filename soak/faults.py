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

__all__ = ["ScheduledFault", "draw_faults", "inject_faults"]

# An engine that leaves serves on for longer than routers may send it new work.
DRAIN_S = 4.0
# Pauses between troubles, in seconds: short ones make them overlap, long ones let calm return.
GAPS_S = (0.05, 0.3, 1.0, 2.5, 5.0)
DURATIONS_S = (0.5, 1.5, 3.0)
ENGINE_FAULTS = ("shed", "error", "reset", "cut", "extra", "foreign", "bare", "unframed-cut")
STORE_FAULTS = ("outage", "silent", "slow", "lose-reply")


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """Say what is done, when, for how long and to which thing; times in seconds from the start."""

    start_s: float
    kind: str
    duration_s: float
    random_value: int
    variant: str


def draw_faults(seed: int, length_s: float) -> list[ScheduledFault]:
    """Return the troubles of a seed."""
    rng = random.Random(seed)
    faults, start_s = [], 1.0
    while start_s < length_s:
        (kind,) = rng.choices(
            sorted(FAULT_KINDS), [KIND_WEIGHTS.get(kind, 1) for kind in sorted(FAULT_KINDS)]
        )
        variant = rng.choice(VARIANTS.get(kind, ("",)))
        faults.append(
            ScheduledFault(
                round(start_s, 2), kind, rng.choice(DURATIONS_S), rng.randrange(1 << 16), variant
            )
        )
        start_s += rng.choice(GAPS_S)
    return faults


async def inject_faults(fleet: Fleet, faults: list[ScheduledFault]) -> None:
    """Play troubles at their times, and wait for the end of the last."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            await asyncio.sleep(max(0.0, started + fault.start_s - time.monotonic()))
            group.create_task(FAULT_KINDS[fault.kind](fleet, fault))


async def stop_router(fleet: Fleet, fault: ScheduledFault) -> None:
    """Ask a router to stop; it is started again."""
    fleet.stop(fault.random_value % fleet.count)


async def kill_router(fleet: Fleet, fault: ScheduledFault) -> None:
    """Kill a router."""
    fleet.kill(fault.random_value % fleet.count)


async def kill_all_routers(fleet: Fleet, fault: ScheduledFault) -> None:
    """Kill all routers at once."""
    for number in range(fleet.count):
        fleet.kill(number)


async def pause_router(fleet: Fleet, fault: ScheduledFault) -> None:
    """Suspend a router and wake it."""
    number = fault.random_value % fleet.count
    process = fleet.routers[number].process
    fleet.history.record_disturbance(number, time.monotonic(), fault.duration_s, "pause")
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    process.signal(signal.SIGCONT)


async def reload_settings(fleet: Fleet, fault: ScheduledFault) -> None:
    """Rewrite a router's settings and tell it so."""
    router = fleet.routers[fault.random_value % fleet.count]
    router.process.write_settings(more=fault.random_value)
    router.process.signal(signal.SIGHUP)


async def disrupt_store_link(fleet: Fleet, fault: ScheduledFault) -> None:
    """Spoil the link of a router to the store."""
    number = fault.random_value % fleet.count
    link = fleet.routers[number].store_link
    fleet.history.record_disturbance(
        number, time.monotonic(), fault.duration_s, f"store {fault.variant}"
    )
    await link.set_mode(Mode(fault.variant))
    await asyncio.sleep(fault.duration_s)
    await link.set_mode(Mode.OPEN)


async def disrupt_engine_link(fleet: Fleet, fault: ScheduledFault) -> None:
    """Spoil the link to an engine."""
    engine = select_engine(fleet, fault)
    link = fleet.links[engine.id]
    fleet.history.record_engine_disturbance(
        time.monotonic(), fault.duration_s, f"engine {fault.variant}"
    )
    await link.set_mode(Mode(fault.variant))
    await asyncio.sleep(fault.duration_s)
    await link.set_mode(Mode.OPEN)


async def delay_engine_link(fleet: Fleet, fault: ScheduledFault) -> None:
    """Delay what goes to an engine and comes from it."""
    link = fleet.links[select_engine(fleet, fault).id]
    fleet.history.record_engine_disturbance(time.monotonic(), fault.duration_s, "delay")
    link.delay_s = 0.15
    await asyncio.sleep(fault.duration_s)
    link.delay_s = 0.0


async def reset_engine_connections(fleet: Fleet, fault: ScheduledFault) -> None:
    """Reset all connections to an engine."""
    fleet.history.record_engine_disturbance(time.monotonic(), 0.5, "reset")
    fleet.links[select_engine(fleet, fault).id].reset()


async def inject_engine_fault(fleet: Fleet, fault: ScheduledFault) -> None:
    """Let an engine spoil some of its next answers."""
    fleet.history.record_engine_disturbance(time.monotonic(), fault.duration_s, fault.variant)
    engine = select_engine(fleet, fault)
    engine.faults[fault.variant] += 3
    await asyncio.sleep(fault.duration_s)
    engine.faults[fault.variant] = 0


async def replace_engine(fleet: Fleet, fault: ScheduledFault) -> None:
    """Start an engine, let another announce that it leaves, and end it."""
    engine = select_engine(fleet, fault)
    if engine.id in fleet.history.drain_starts:
        return
    await fleet.add_engine(engine.service)
    await fleet.register(engine, state="draining", sequence=2)
    fleet.history.drain_starts[engine.id] = time.monotonic()
    await asyncio.sleep(fault.duration_s + DRAIN_S)
    await fleet.platform.drop("servers", engine.id)


async def inject_store_fault(fleet: Fleet, fault: ScheduledFault) -> None:
    """Let the store fail all routers."""
    store = fleet.platform.store
    fleet.history.record_disturbance(
        None, time.monotonic(), fault.duration_s, f"store {fault.variant}"
    )
    store_fault = Fault(fault.variant, times=-1, seconds=0.2)
    store.faults.arm(store_fault)
    await asyncio.sleep(fault.duration_s)
    store.faults.armed.remove(store_fault)
    store.silent.clear()


async def discard_store_history(fleet: Fleet, fault: ScheduledFault) -> None:
    """Let the store discard its history."""
    fleet.history.record_disturbance(None, time.monotonic(), 0.5, "history gone")
    fleet.platform.store.forget_history()


async def write_desired_states(fleet: Fleet, fault: ScheduledFault) -> None:
    """Write some desired states, one after the other."""
    for _ in range(1 + fault.random_value % 4):
        await fleet.write_desired_state()
        await asyncio.sleep(0.1)


async def replace_key(fleet: Fleet, fault: ScheduledFault) -> None:
    """Take a key away and give another; callers go on using the old one."""
    fresh = f"key-{fault.random_value}-{len(fleet.history.changes)}"
    fleet.keys = (*fleet.keys[:1], *fleet.keys[2:], fresh)
    fleet.caller_keys = (*fleet.keys, *fleet.caller_keys[-1:])
    await fleet.write_desired_state()


def select_engine(fleet: Fleet, fault: ScheduledFault):
    """Return an engine that is not leaving."""
    leaving = fleet.history.drain_starts
    staying = [engine for engine in fleet.platform.engines if engine.id not in leaving]
    return staying[fault.random_value % len(staying)]


FAULT_KINDS: dict[str, Callable[[Fleet, ScheduledFault], Awaitable[None]]] = {
    "stop": stop_router,
    "stop again": stop_router,
    "kill": kill_router,
    "kill all": kill_all_routers,
    "pause": pause_router,
    "hang up": reload_settings,
    "cut store": disrupt_store_link,
    "cut engine": disrupt_engine_link,
    "delay engine": delay_engine_link,
    "reset engine": reset_engine_connections,
    "fail engine": inject_engine_fault,
    "replace engine": replace_engine,
    "spoil store": inject_store_fault,
    "forget history": discard_store_history,
    "change state": write_desired_states,
    "revoke key": replace_key,
}
# Each of these has many forms.
KIND_WEIGHTS = {"fail engine": 4, "cut engine": 2, "replace engine": 4}
LINK_MODES = tuple(mode.value for mode in Mode if mode is not Mode.OPEN)
VARIANTS = {
    "cut store": LINK_MODES,
    "cut engine": LINK_MODES,
    "fail engine": ENGINE_FAULTS,
    "spoil store": STORE_FAULTS,
}
