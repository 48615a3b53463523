"""Case 5: a change between two pages of a listing is missed, and a drained engine gets requests."""

import asyncio
import os
import random
import signal
import time
from pathlib import Path

import aiohttp

from review.common.engine import Engine
from review.common.fleet import HOST, KEY, Record, is_troubled, route, run_script, running_fleet
from review.common.store import Store

RECORD = Path(__file__).resolve().parent / "record.txt"
ROUTERS = 3
PAGE_ITEMS = 50
MODEL_ENGINES = 52
DESK_ENGINES = 8
REQUESTS_PER_S = 40.0
LEAD_S = 5.0
AFTER_S = 9.0
# A machine that is stopped exits after about this time.
STOP_S = 2.5
# The bound of the rule.
DRAIN_S = 2.0
# The engine goes on serving for some seconds after drain_ms, then exits.
EXIT_S = 9.0

MODEL, DESK = "huvo11a", "wuno96b"


async def send(fleet, record: Record, number: int, index: int, results: list) -> None:
    """Send one request; every third is of the idempotent route."""
    name = f"{random.getrandbits(48):012x}{number:04x}"
    router = fleet.routers[index]
    path, method = (("/cufi504/fi50/2f", "GET"), ("/puxa403/2f", "POST"))[number % 3 > 0]
    headers = {
        "Host": HOST,
        "X-Request-Id": name,
        "X-Request-Deadline-Ms": "1500",
        "Api-Key": KEY,
    }
    sent_at = time.monotonic()
    try:
        async with fleet.session.request(
            method,
            f"http://{router.front}{path}",
            headers=headers,
            data=b"order" if method == "POST" else None,
            timeout=aiohttp.ClientTimeout(total=1.5),
        ) as response:
            await response.read()
            status = str(response.status)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        status = type(error).__name__
    results.append((name, router.name, sent_at, status))
    record.write(f"sent {name} to {router.name}: {method} {status}", sent_at)


async def play() -> bool:
    """Play the case; return whether the rule was broken."""
    record = Record(RECORD)
    store = Store(PAGE_ITEMS)
    engines: list[Engine] = []
    async with running_fleet() as fleet:
        host, _, port = fleet.store_address.rpartition(":")
        await store.start(host, int(port))
        for number in range(MODEL_ENGINES + DESK_ENGINES):
            is_model = number >= DESK_ENGINES
            engine = Engine(f"i-{number:08x}", MODEL if is_model else DESK, is_model=is_model)
            engine.slots = 64 if is_model else 6
            await engine.start(f"{fleet.net}.3")
            engines.append(engine)
            await store.put("servers", engine.id, engine.entry())
        desk_routes = [
            route("r-a", "/puxa403/", "non_idempotent", DESK, timeout_ms=1500),
            route("r-b", "/cufi504/", "idempotent", DESK, timeout_ms=1500, max_attempts=2),
        ]
        for fields in desk_routes:
            fields["target_latency_ms"] = 125
        desired = {
            "version": 7,
            "routes": desk_routes,
            "services": [
                {"name": MODEL, "health_path": "/healthz"},
                {"name": DESK, "health_path": "/healthz"},
            ],
            "tenants": [{"name": "hule930", "api_keys": [KEY]}],
        }
        await store.put("config", "main", desired)
        await asyncio.gather(*[fleet.add_router() for _ in range(ROUTERS)])
        record.write("all routers are ready")
        await asyncio.sleep(LEAD_S)

        drained = engines[0]
        restarted = fleet.routers[0]
        confirmed: list[float] = []

        async def drain() -> None:
            if not confirmed:
                await store.put("servers", drained.id, drained.entry("draining"))
                confirmed.append(time.monotonic())
                record.write(f"the store confirms that {drained.id} is draining")

        async def drain_between_pages(kind: str, address: str, more: bool) -> None:
            if kind == "servers" and more:
                await drain()

        results: list[tuple] = []
        tasks: list[asyncio.Task] = []
        is_over = False

        async def send_all() -> None:
            number = 0
            begun = time.monotonic()
            while not is_over:
                ready = [n for n, r in enumerate(fleet.routers) if n or usable]
                task = send(fleet, record, number, ready[number % len(ready)], results)
                tasks.append(asyncio.create_task(task))
                number += 1
                await asyncio.sleep(max(0.0, begun + number / REQUESTS_PER_S - time.monotonic()))

        usable = True

        async def restart() -> None:
            """Stop a machine and start it again; the engine drains as it lists the engines."""
            nonlocal usable
            usable = False
            restarted.signal(signal.SIGTERM)
            record.write(f"SIGTERM to {restarted.name}")
            await asyncio.wait_for(restarted.process.wait(), 9.0)
            record.write(f"{restarted.name} has exited")
            # With DRAINS=later, a control, the engine drains just after the listing.
            if os.environ.get("DRAINS") != "later":
                store.on_page = drain_between_pages
            await restarted.start()
            await fleet.wait_ready(restarted)
            usable = True
            record.write(f"{restarted.name} is ready again")
            await drain()

        traffic = asyncio.create_task(send_all())
        await asyncio.sleep(2.0)
        # The disruption: one machine is stopped and started; it gets no new channels meanwhile.
        if is_troubled():
            await restart()
        else:
            await asyncio.sleep(STOP_S)
            await drain()
        await asyncio.sleep(confirmed[0] + EXIT_S - time.monotonic())
        await store.delete("servers", drained.id)
        await drained.stop()
        record.write(f"{drained.id} has exited")
        await asyncio.sleep(1.0)
        is_over = True
        await traffic
        await asyncio.gather(*tasks)
        broken = report(record, fleet, engines, drained, confirmed[0], results)
        for engine in engines[1:]:
            await engine.stop()
        await store.stop()
        return broken


def report(record, fleet, engines: list, drained: Engine, confirmed: float, results) -> bool:
    """Return whether requests reached the engine later than `drain_ms` after the confirmation."""
    runs = {run.id: run.engine for engine in engines for run in engine.runs}
    routers = {router.name: router for router in fleet.routers}
    senders = {name: (routers[router], at) for name, router, at, _ in results}
    for name, router, at, status in sorted(results, key=lambda r: r[2]):
        where = f"ran at {runs[name]}" if name in runs else "not run"
        record.write(f"answered {name} of {router}: {status}, {where}", at)
    late = []
    for run in drained.arrivals:
        if run.id not in senders:
            continue
        router, sent_at = senders[run.id]
        is_in_touch = router.is_in_touch(sent_at)
        delay_s = run.arrived_at - confirmed
        if delay_s > 0:
            record.write(
                f"{drained.id} got {run.id} from {router.name} {delay_s:.3f} s after the "
                f"confirmation{'' if is_in_touch else ' (not in touch)'}",
                run.arrived_at,
            )
        if delay_s > DRAIN_S and is_in_touch:
            late.append(router.name)
    good = sum(status == "200" for *_, status in results)
    counts = {name: late.count(name) for name in sorted(set(late))}
    record.verdict(
        bool(late),
        f"DRAIN: {len(late)} requests reached {drained.id} later than {DRAIN_S} s after the store "
        f"had confirmed that it is draining, {counts}; {len(results)} requests, {good} with 200",
    )
    if good < 0.9 * len(results):
        raise RuntimeError("the fleet served too little for the case to say anything")
    return bool(late)


run_script(play)
