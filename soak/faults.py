"""Random faults drawn from a seed, sequential and overlapping."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.callers import send_poison
from soak.fleet import Fleet
from soak.history import PATH_CUT
from soak.links import Mode
from standins.faults import Fault

__all__ = ["ScheduledFault", "draw_faults", "inject_faults"]

# A draining engine keeps serving for longer than routers may send it new work.
DRAIN_S = 4.0
# Gaps between the starts of faults: short ones make faults overlap, long ones let the fleet
# recover.
GAPS_S = (0.05, 0.3, 1.0, 2.5, 5.0)
DURATIONS_S = (0.5, 1.5, 3.0)
# The store returns from a copy this old, and what was written since is written again after a delay.
COPY_AGE_S = 2.0
REWRITE_DELAY_S = 0.5
STALE_REGISTRATION_S = 3.0
PAUSE_S = 1.2
# Long enough for a window of the rule on limits.
LIMIT_S = 9.0
POISON_S = 12.0
CUT_S = 8.0
COLD_S = 6.0
COLD_PER_S = 4.0
HEARTBEAT_S = 1.2
# A desired state is applied everywhere within this time.
CONFIGURATION_S = 2.0
ENGINE_FAULTS = ("shed", "error", "reset", "cut", "extra", "foreign", "bare", "unframed-cut")
STORE_FAULTS = ("outage", "silent", "slow", "lose-reply")


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """A fault to inject: when, of which kind, for how long and, by a random value, where."""

    start_s: float
    kind: str
    duration_s: float
    random_value: int
    variant: str


def draw_faults(seed: int, length_s: float) -> list[ScheduledFault]:
    """Return the faults of a seed in the order of their start times."""
    rng = random.Random(seed)
    faults, start_s = [], 1.0
    kinds = sorted(kind for kind in FAULT_KINDS if seed >= FIRST_SEEDS.get(kind, 0))
    while start_s < length_s:
        (kind,) = rng.choices(kinds, [KIND_WEIGHTS.get(kind, 1) for kind in kinds])
        variant = rng.choice(VARIANTS.get(kind, ("",)))
        faults.append(
            ScheduledFault(
                round(start_s, 2), kind, rng.choice(DURATIONS_S), rng.randrange(1 << 16), variant
            )
        )
        start_s += rng.choice(GAPS_S)
    return faults


async def inject_faults(fleet: Fleet, faults: list[ScheduledFault]) -> None:
    """Inject faults at their start times and wait until all have ended."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            await asyncio.sleep(max(0.0, started + fault.start_s - time.monotonic()))
            group.create_task(FAULT_KINDS[fault.kind](fleet, fault))


async def stop_router(fleet: Fleet, fault: ScheduledFault) -> None:
    """Stop a router with SIGTERM; the fleet restarts it."""
    fleet.stop(fault.random_value % fleet.count)


async def kill_router(fleet: Fleet, fault: ScheduledFault) -> None:
    """Kill a router with SIGKILL; the fleet restarts it."""
    fleet.kill(fault.random_value % fleet.count)


async def kill_all_routers(fleet: Fleet, fault: ScheduledFault) -> None:
    """Kill all routers together."""
    for number in range(fleet.count):
        fleet.kill(number)


async def pause_router(fleet: Fleet, fault: ScheduledFault) -> None:
    """Suspend a router with SIGSTOP, then resume it."""
    number = fault.random_value % fleet.count
    process = fleet.routers[number].process
    fleet.history.record_disturbance(number, time.monotonic(), fault.duration_s, "pause")
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    process.signal(signal.SIGCONT)


async def reload_settings(fleet: Fleet, fault: ScheduledFault) -> None:
    """Rewrite a router's settings and have it reload them with SIGHUP."""
    router = fleet.routers[fault.random_value % fleet.count]
    router.process.write_settings(more=fault.random_value)
    router.process.signal(signal.SIGHUP)


async def disrupt_store_link(fleet: Fleet, fault: ScheduledFault) -> None:
    """Set a fault mode on the link from a router to the store."""
    number = fault.random_value % fleet.count
    link = fleet.routers[number].store_link
    fleet.history.record_disturbance(
        number, time.monotonic(), fault.duration_s, f"store {fault.variant}"
    )
    await link.set_mode(Mode(fault.variant))
    await asyncio.sleep(fault.duration_s)
    await link.set_mode(Mode.OPEN)


async def disrupt_engine_link(fleet: Fleet, fault: ScheduledFault) -> None:
    """Set a fault mode on the link to an engine."""
    engine = select_engine(fleet, fault)
    link = fleet.links[engine.id]
    fleet.history.record_engine_disturbance(
        time.monotonic(), fault.duration_s, f"engine {fault.variant}"
    )
    await link.set_mode(Mode(fault.variant))
    await asyncio.sleep(fault.duration_s)
    await link.set_mode(Mode.OPEN)


async def delay_engine_link(fleet: Fleet, fault: ScheduledFault) -> None:
    """Delay the traffic to and from an engine by 0.15 s."""
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
    """Have an engine fail up to three of its next answers."""
    fleet.history.record_engine_disturbance(time.monotonic(), fault.duration_s, fault.variant)
    engine = select_engine(fleet, fault)
    engine.faults[fault.variant] += 3
    await asyncio.sleep(fault.duration_s)
    engine.faults[fault.variant] = 0


async def replace_engine(fleet: Fleet, fault: ScheduledFault) -> None:
    """Start an engine, drain another and then remove that one from the registry."""
    engine = select_engine(fleet, fault)
    if engine.id in fleet.history.drain_starts:
        return
    await fleet.add_engine(engine.service)
    await fleet.register(engine, state="draining", sequence=2)
    fleet.history.drain_starts[engine.id] = time.monotonic()
    await asyncio.sleep(fault.duration_s + DRAIN_S)
    await fleet.platform.remove_object("servers", engine.id)


async def release_version(fleet: Fleet, fault: ScheduledFault) -> None:
    """Replace a model engine by one of another software version."""
    engine = select_engine(fleet, fault, "model")
    await fleet.add_engine(engine.service, fault.variant)
    await fleet.register(engine, state="draining", sequence=2)
    fleet.history.drain_starts[engine.id] = time.monotonic()
    await asyncio.sleep(fault.duration_s + DRAIN_S)
    await fleet.platform.remove_object("servers", engine.id)


async def restart_version(fleet: Fleet, fault: ScheduledFault) -> None:
    """Restart a model engine under its id with other software; it registers again later."""
    engine = select_engine(fleet, fault, "model")
    fleet.history.record_engine_disturbance(time.monotonic(), fault.duration_s, "restart")
    await engine.stop()
    fleet.links[engine.id].reset()
    engine.version = fault.variant
    engine.started_ms += 1000
    await engine.start()
    await asyncio.sleep(fault.duration_s)
    if engine.id not in fleet.history.drain_starts and engine.id not in fleet.ended_engines:
        await fleet.register(engine, sequence=1)


async def cut_from_engines(fleet: Fleet, fault: ScheduledFault) -> None:
    """Reset all connections from some routers to all engines, and refuse new ones."""
    numbers = {(fault.random_value + offset) % fleet.count for offset in range(int(fault.variant))}
    until = time.monotonic() + CUT_S
    for number in numbers:
        fleet.history.record_disturbance(number, time.monotonic(), CUT_S, PATH_CUT)
    sources = {fleet.routers[number].process.settings.address for number in numbers}
    while time.monotonic() < until:
        # Engines that start meanwhile are out of reach, too.
        for link in fleet.links.values():
            if not sources <= link.refused:
                link.refused |= sources
                for source in sources:
                    link.reset(source)
        await asyncio.sleep(0.1)
    for link in fleet.links.values():
        link.refused -= sources


async def inject_store_fault(fleet: Fleet, fault: ScheduledFault) -> None:
    """Inject a fault of the store that affects all routers."""
    store = fleet.platform.store
    fleet.history.record_disturbance(
        None, time.monotonic(), fault.duration_s, f"store {fault.variant}"
    )
    store_fault = Fault(fault.variant, times=-1, seconds=0.2)
    store.faults.arm(store_fault)
    await asyncio.sleep(fault.duration_s)
    store.faults.armed.remove(store_fault)
    store.silent_connections.clear()


async def discard_store_history(fleet: Fleet, fault: ScheduledFault) -> None:
    """Discard the store's history."""
    fleet.history.record_disturbance(None, time.monotonic(), 0.5, "history gone")
    fleet.platform.store.compact_history()


async def restore_store(fleet: Fleet, fault: ScheduledFault) -> None:
    """Take the store away for a moment and bring it back from an older copy.

    The operator and the engines write what they wrote since again; the store removes the
    registrations of engines that are gone.
    """
    store = fleet.platform.store
    # The operator would write an older state back if a second copy returned meanwhile.
    async with fleet.restoring:
        snapshot = store.snapshot()
        await asyncio.sleep(COPY_AGE_S)
        fleet.history.record_disturbance(None, time.monotonic(), fault.duration_s, "store restored")
        outage = Fault("outage", times=-1)
        store.faults.arm(outage)
        await asyncio.sleep(fault.duration_s)
        written = {kind: dict(store.objects.get(kind, {})) for kind in ("config", "servers")}
        await store.restore(snapshot)
        store.faults.armed.remove(outage)
        await asyncio.sleep(REWRITE_DELAY_S)
        for kind, entries in written.items():
            present = store.objects.get(kind, {})
            for name, entry in entries.items():
                if name not in present or present[name].spec != entry.spec:
                    await fleet.platform.put(kind, name, entry.spec)
    await asyncio.sleep(STALE_REGISTRATION_S)
    for name in store.objects.get("servers", {}).keys() - written["servers"].keys():
        if name in fleet.history.drain_starts:
            await fleet.platform.remove_object("servers", name)


async def announce_departure(fleet: Fleet, fault: ScheduledFault) -> None:
    """Start an engine and have another announce its departure in its answers, then remove it."""
    engine = select_engine(fleet, fault)
    if engine.is_leaving:
        return
    await fleet.add_engine(engine.service)
    engine.is_leaving = True
    await asyncio.sleep(fault.duration_s)
    if engine.id in fleet.history.drain_starts:
        return
    await fleet.register(engine, state="draining", sequence=2)
    fleet.history.drain_starts[engine.id] = time.monotonic()
    await asyncio.sleep(DRAIN_S)
    if engine.id in fleet.platform.store.objects["servers"]:
        await fleet.platform.remove_object("servers", engine.id)


async def ask_for_pause(fleet: Fleet, fault: ScheduledFault) -> None:
    """Have an engine refuse all requests and ask for a pause."""
    engine = select_engine(fleet, fault)
    fleet.history.record_engine_disturbance(time.monotonic(), fault.duration_s, "pause")
    engine.retry_after_s = PAUSE_S
    await asyncio.sleep(fault.duration_s)
    engine.retry_after_s = None


async def name_limit(fleet: Fleet, fault: ScheduledFault) -> None:
    """Have an engine name a limit in its answers."""
    engine = select_engine(fleet, fault)
    if any(arrival.limit_per_s is not None for arrival in engine.arrivals):
        return
    fleet.history.record_engine_disturbance(time.monotonic(), LIMIT_S, "limit")
    engine.limit_per_s = float(fault.variant)
    await asyncio.sleep(LIMIT_S)
    engine.limit_per_s = None


async def cool_engine(fleet: Fleet, fault: ScheduledFault) -> None:
    """Have a target be cold, as after a start, and register it again until it is warm."""
    if not fleet.cold_per_s:
        fleet.cold_per_s = COLD_PER_S
        await fleet.write_desired_state()
        await asyncio.sleep(CONFIGURATION_S)
    engine = select_engine(fleet, fault, "desk")
    if engine.cold_until:
        return
    fleet.history.record_engine_disturbance(time.monotonic(), COLD_S, "cold")
    engine.cold_until = time.monotonic() + COLD_S
    while engine.id not in fleet.history.drain_starts and engine.id not in fleet.ended_engines:
        await fleet.register(engine)
        if time.monotonic() > engine.cold_until:
            break
        await asyncio.sleep(HEARTBEAT_S)


async def repeat_poison(fleet: Fleet, fault: ScheduledFault) -> None:
    """Repeat a request that ends every target which runs it."""
    content = f"poison {fault.random_value}".encode()
    fleet.poison_bodies |= {content}
    for engine in fleet.platform.engines:
        if engine.service == "desk":
            engine.poison_bodies = fleet.poison_bodies
    fleet.history.record_engine_disturbance(time.monotonic(), POISON_S, "poison")
    await send_poison(fleet, content, time.monotonic() + POISON_S)


async def write_desired_states(fleet: Fleet, fault: ScheduledFault) -> None:
    """Write one to four desired states, 0.1 s apart."""
    for _ in range(1 + fault.random_value % 4):
        await fleet.write_desired_state()
        await asyncio.sleep(0.1)


async def replace_key(fleet: Fleet, fault: ScheduledFault) -> None:
    """Revoke one API key and add another; callers keep using the revoked one."""
    fresh = f"key-{fault.random_value}-{len(fleet.history.changes)}"
    fleet.keys = (*fleet.keys[:1], *fleet.keys[2:], fresh)
    fleet.caller_keys = (*fleet.keys, *fleet.caller_keys[-1:])
    await fleet.write_desired_state()


def select_engine(fleet: Fleet, fault: ScheduledFault, service: str | None = None):
    """Return an engine, of a service if one is named, that is not draining."""
    draining = fleet.history.drain_starts
    candidates = [
        engine
        for engine in fleet.platform.engines
        if engine.id not in draining
        and engine.id not in fleet.ended_engines
        and service in (None, engine.service)
    ]
    return candidates[fault.random_value % len(candidates)]


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
    "restore store": restore_store,
    "announce departure": announce_departure,
    "ask for pause": ask_for_pause,
    "name limit": name_limit,
    "repeat poison": repeat_poison,
    "release version": release_version,
    "restart version": restart_version,
    "cut from engines": cut_from_engines,
    "engine cold": cool_engine,
}
# Seeds draw from the kinds that existed when they were first played.
FIRST_SEEDS = {
    "restore store": 10_000,
    "announce departure": 10_000,
    "ask for pause": 10_000,
    "name limit": 20_000,
    "repeat poison": 30_000,
    "release version": 40_000,
    "restart version": 40_000,
    "cut from engines": 50_000,
    "engine cold": 60_000,
}
# Kinds with many variants are drawn more often.
KIND_WEIGHTS = {
    "fail engine": 4,
    "cut engine": 2,
    "replace engine": 4,
    "restore store": 3,
    "announce departure": 3,
    "ask for pause": 3,
    "name limit": 4,
    "repeat poison": 4,
    "release version": 6,
    "restart version": 3,
    "cut from engines": 6,
    "engine cold": 6,
}
LINK_MODES = tuple(mode.value for mode in Mode if mode is not Mode.OPEN)
VARIANTS = {
    "cut store": LINK_MODES,
    "cut engine": LINK_MODES,
    "fail engine": ENGINE_FAULTS,
    "spoil store": STORE_FAULTS,
    "name limit": ("1", "3"),
    "release version": ("v1", "v2", "v3"),
    "restart version": ("v1", "v2", "v3"),
    "cut from engines": ("1", "3"),
}
