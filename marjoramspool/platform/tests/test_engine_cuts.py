"""Callers of routers without a path to engines are served, through routers that have one."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp
import pytest

from bench.engine_cut import CutMode, cut_from_engines, restore_path
from bench.platform_fleet import route

ROUTES = (
    route("/lookup/", "idempotent", "desk", timeout_ms=1500, target_latency_ms=125),
    route("/order/", "non_idempotent", "desk", timeout_ms=1500, max_attempts=1),
    route("/chat/", "streaming", "model", stream_resume=True),
    route("/report/", "streaming", "model", max_attempts=1),
)
PATHS = [r["path_prefix"] for r in ROUTES]
ROUTERS = 8
# By the requirements, from this time after the cut.
STABLE_S = 3.0
SEND_S = 3.0
REQUESTS_PER_S = 40
EVENTS = 6


@dataclass
class Sent:
    path: str
    router: int
    at: float
    status: int | None = None
    body: bytes | None = None

    @property
    def is_served(self):
        if self.path in ("/chat/", "/report/"):
            return self.status == 200 and (self.body or b"").count(b"id:") == EVENTS
        return self.status == 200 and self.body is not None


class Traffic:
    """Requests of all kinds, sent to all routers in turn until it is closed."""

    def __init__(self, site):
        self.site = site
        self.sent = []
        self.tasks = set()

    async def __aenter__(self):
        self.sender = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, *details):
        self.sender.cancel()
        await asyncio.gather(self.sender, *self.tasks, return_exceptions=True)

    async def run(self):
        draw = random.Random(1)
        while True:
            await asyncio.sleep(1 / REQUESTS_PER_S)
            task = asyncio.create_task(self.send(draw.choice(PATHS), len(self.sent)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send(self, path, number):
        sent = Sent(path, number % len(self.site.routers), asyncio.get_running_loop().time())
        self.sent.append(sent)
        try:
            async with asyncio.timeout(3.5):
                answer = await self.site.send(f"{path}{number}", f"q{number}", sent.router)
            sent.status, _, sent.body = answer
        except (TimeoutError, aiohttp.ClientError):
            pass


async def start(site, routers=ROUTERS):
    for _ in range(3):
        await site.add_engine("desk")
    for _ in range(4):
        await site.add_engine("model", is_stream=True)
    await site.configure(*ROUTES)
    for _ in range(routers):
        await site.add_router()
    await site.wait_for_peers()


def share(requests):
    return sum(sent.is_served for sent in requests) / len(requests)


def assert_orders_ran_once(site):
    runs = [a.id for e in site.engines for a in e.arrivals if a.has_run and "/order/" in a.path]
    assert len(runs) == len(set(runs))


def assert_no_quarantine(site):
    assert not any(router.selector.poison.quarantined for router in site.routers)


@pytest.mark.parametrize("mode", CutMode)
@pytest.mark.parametrize("count", [3, 6])
async def test_first_tries_at_routers_without_a_path_to_engines_are_served(site, mode, count):
    await start(site)
    async with Traffic(site) as traffic:
        await asyncio.sleep(1.0)
        for router in site.routers[:count]:
            cut_from_engines(router, mode)
        await asyncio.sleep(STABLE_S)
        begun = len(traffic.sent)
        await asyncio.sleep(SEND_S)
        judged = traffic.sent[begun:]
        await asyncio.sleep(1.0)
        for router in site.routers[:count]:
            restore_path(router)
        await asyncio.sleep(2.0)
        begun_again = len(traffic.sent)
        await asyncio.sleep(1.0)
        restored = traffic.sent[begun_again:]
        await asyncio.sleep(1.0)
    cut = [sent for sent in judged if sent.router < count]
    others = [sent for sent in judged if sent.router >= count]
    failed = sum(not sent.is_served for sent in judged)
    assert share(cut) >= 2 / 3 * share(others)
    assert failed <= 10 + len(judged) / 50
    assert share(restored) >= 0.95
    assert_orders_ran_once(site)
    assert_no_quarantine(site)
