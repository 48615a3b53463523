"""Case 1: a report that is some hundred ms old lets a run go on at two engines at a time."""

import asyncio
import random
import time
from pathlib import Path

import aiohttp

from review.common.engine import Engine, Run
from review.common.fleet import HOST, KEY, Record, is_troubled, route, run_script, running_fleet
from review.common.store import Store

RECORD = Path(__file__).resolve().parent / "record.txt"
ROUTERS = 3
FIRST_ENGINES = 8
ADDED_ENGINES = 2
LEAD_S = 5.0
TRAFFIC_S = 16.0
REQUESTS_PER_S = 55.0
# Shared parts of prompts, as many as on the site, so that added engines are used at once.
SUBJECTS = 46
SUBJECT_ID = 0x5C1E07A2
EVENTS = 100
EVENT_S = 0.05
# The disruption: one of so many runs at the added engines loses its answer, twice for so long.
LOST_EVERY = 40
LOST_WINDOWS_S = ((3.0, 8.5), (9.5, 15.0))
LOST_AFTER_EVENTS = 2
# The bound of the rule.
OVERLAP_S = 0.4
# The routers of a script are started within this time of each other.
STABLE_MARGIN_S = 1.0

SERVICE = "huvo11a"
CAPACITY = {
    "slots": 64,
    "kv_capacity_tokens": 564648,
    "kv_token_bytes": 163840,
    "link_mbps": 260000.0,
    "moves": True,
    "backups": True,
    "stride": 6,
    "handle_s": 5.0,
    "models": [{"name": "m"}],
}


class LostAnswers:
    """Answers that are lost while their runs go on: one of 40 at two of ten engines."""

    def __init__(self, record: Record):
        self.record = record
        self.is_on = False
        self.runs = 0
        self.lost: list[str] = []

    def loses(self, run: Run) -> int | None:
        """Return after how many events an answer is lost, None if it is not."""
        if not self.is_on or run.is_continued:
            return None
        self.runs += 1
        if self.runs == 1 or self.runs % LOST_EVERY != 1:
            return None
        self.lost.append(run.id)
        has_copy = "x-kv-backup" in run.headers
        self.record.write(
            f"engine {run.engine} loses the answer of {run.id}, its run goes on; copy: {has_copy}"
        )
        return LOST_AFTER_EVENTS


async def send(fleet, record: Record, number: int, results: dict) -> None:
    """Send one request of a streaming route that may not be resumed."""
    name = f"{random.getrandbits(48):012x}{number:04x}"
    router = fleet.routers[number % len(fleet.routers)]
    headers = {
        "Host": HOST,
        "X-Request-Id": name,
        "X-Model": "m",
        "X-Token-Count": f"11812,{6 * EVENTS}",
        "X-Prompt-Prefix": f"{SUBJECT_ID + random.randrange(SUBJECTS):x}:10512,{number + 1:x}:1300",
        "X-Request-Deadline-Ms": "15000",
        "Api-Key": KEY,
    }
    record.write(f"sent {name} to {router.name}")
    received = b""
    status, end = 0, "complete"
    try:
        async with fleet.session.post(
            f"http://{router.front}/lohu930/2f",
            headers=headers,
            data=b"report",
            timeout=aiohttp.ClientTimeout(total=15.0),
        ) as response:
            status = response.status
            async for data in response.content.iter_any():
                received += data
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        end = type(error).__name__
    results[name] = (status, received.count(b"\n\n"), end)
    record.write(f"answered {name}: {status}, {received.count(b'id: ')} events, {end}")


async def play() -> bool:
    """Play the case; return whether the rule was broken."""
    record = Record(RECORD)
    store = Store()
    lost = LostAnswers(record)
    peers: dict[str, Engine] = {}
    engines: list[Engine] = []

    async def add_engine(number: int, host: str) -> None:
        engine = Engine(f"i-{number:08x}", SERVICE, is_model=True, peers=peers)
        engine.zone = ["hu-central-a", "hu-central-b"][number % 2]
        engine.events, engine.event_s = EVENTS, EVENT_S
        await engine.start(host)
        engines.append(engine)
        await store.put("servers", engine.id, engine.entry())
        record.write(f"engine {engine.id} registers at {engine.address}")

    async with running_fleet() as fleet:
        host, _, port = fleet.store_address.rpartition(":")
        await store.start(host, int(port))
        for number in range(FIRST_ENGINES):
            await add_engine(number, f"{fleet.net}.3")
        desired = {
            "version": 7,
            "routes": [
                route(
                    "r-hvz3pfi",
                    "/lohu930/",
                    "streaming",
                    SERVICE,
                    sticky_sessions=True,
                    stream_resume=False,
                    gap_aim_ms=500,
                )
            ],
            "services": [
                {"name": SERVICE, "health_path": "/healthz", "engine": CAPACITY},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 0}],
        }
        await store.put("config", "main", desired)
        await asyncio.gather(*[fleet.add_router() for _ in range(ROUTERS)])
        record.write("all routers are ready")
        await asyncio.sleep(LEAD_S)
        results: dict[str, tuple] = {}
        tasks = []
        begun = time.monotonic()
        number = 0
        while (elapsed := time.monotonic() - begun) < TRAFFIC_S:
            if elapsed >= 2.0 and len(engines) == FIRST_ENGINES:
                # Planned work: empty engines are added.
                for more in range(ADDED_ENGINES):
                    await add_engine(FIRST_ENGINES + more, f"{fleet.net}.3")
                for engine in engines[FIRST_ENGINES:]:
                    engine.loses_answer = lost.loses
            in_window = any(start <= elapsed < end for start, end in LOST_WINDOWS_S)
            lost.is_on = is_troubled() and in_window
            tasks.append(asyncio.create_task(send(fleet, record, number, results)))
            number += 1
            await asyncio.sleep(max(0.0, begun + number / REQUESTS_PER_S - time.monotonic()))
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        broken = report(record, fleet, engines, lost, results)
        for engine in engines:
            await engine.stop()
        await store.stop()
        return broken


def report(record: Record, fleet, engines: list[Engine], lost: LostAnswers, results: dict) -> bool:
    """Write what each engine ran; return whether a run went on at two engines at a time."""
    runs: dict[str, list[Run]] = {}
    for engine in engines:
        for run in engine.runs:
            runs.setdefault(run.id, []).append(run)
            verb = "continued" if run.is_continued else "ran"
            record.write(
                f"{engine.id} {verb} {run.id} from {run.started_at - record.started:.3f} "
                f"to {run.ended_at - record.started:.3f}, {run.events} events"
            )
    broken = []
    for name, executions in runs.items():
        executions.sort(key=lambda run: run.arrived_at)
        for before, after in zip(executions, executions[1:], strict=False):
            is_judged = fleet.routers[0].is_in_touch(after.arrived_at - STABLE_MARGIN_S)
            if is_judged and before.ended_at > after.started_at + OVERLAP_S:
                broken.append(name)
                record.write(
                    f"{name} went on at {after.engine} at "
                    f"{after.started_at - record.started:.3f}, and {before.engine} worked on it "
                    f"until {before.ended_at - record.started:.3f}"
                )
    copies = sum("x-kv-backup" in run.headers for engine in engines for run in engine.runs)
    complete = sum(end == "complete" and status == 200 for status, _, end in results.values())
    record.verdict(
        bool(broken),
        f"TWICE: {len(broken)} of {len(lost.lost)} runs whose answer was lost went on at two "
        f"engines at a time; {len(results)} requests, {complete} complete, "
        f"{lost.runs} runs at the impaired engines meanwhile, {copies} runs with a copy",
    )
    if complete < len(results) * 0.6:
        raise RuntimeError("the fleet served too little for the case to say anything")
    return bool(broken)


run_script(play)
