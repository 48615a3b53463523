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


async def wait_until_cut(site, count):
    """Send requests until the routers know that they reach no engine."""
    for router in site.routers[:count]:
        cut_from_engines(router, CutMode.REFUSE)
        for path in ("/lookup/", "/chat/"):
            await site.send(f"{path}x", f"first{path}{router.name}", site.routers.index(router))


async def end_router_between(site):
    """End the router that serves a request for another one, without an answer."""
    (between,) = [r for r in site.routers if r.forwarded.active]
    site.routers.remove(between)
    for connection in between.state_sync.runner.server.connections:
        connection.transport.abort()
    await between.__aexit__(None, None, None)


async def test_a_stream_goes_on_when_the_router_in_between_ends(site):
    await start(site, routers=4)
    for engine in site.engines:
        engine.piece_interval_s = 0.15
    await wait_until_cut(site, 1)
    task = asyncio.create_task(site.send("/chat/x", "long", 0))
    await asyncio.sleep(0.5)
    await end_router_between(site)
    status, _, body = await task
    assert status == 200
    assert [line for line in body.split(b"\n") if line.startswith(b"id:")] == [
        f"id: {number}".encode() for number in range(1, EVENTS + 1)
    ]


async def test_an_order_that_is_with_another_router_when_that_ends_is_not_sent_again(site):
    await start(site, routers=4)
    await wait_until_cut(site, 1)
    for engine in site.engines:
        engine.work_s = 0.5
    task = asyncio.create_task(site.send("/order/x", "order", 0))
    await asyncio.sleep(0.2)
    await end_router_between(site)
    assert (await task)[0] == 502
    assert sum(engine.runs("order") for engine in site.engines) == 1


async def test_a_client_that_leaves_ends_the_work_behind_another_router(site):
    await start(site, routers=2)
    await wait_until_cut(site, 1)
    for engine in site.engines:
        engine.piece_interval_s = 0.3
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await site.send("/chat/x", "left", 0)
    await asyncio.sleep(0.5)
    (arrival,) = [a for e in site.engines for a in e.arrivals if a.id == "left"]
    assert arrival.is_disconnected


async def test_routers_that_are_all_cut_off_refuse_at_once_and_serve_again(site):
    await start(site, routers=3)
    await wait_until_cut(site, 3)
    await asyncio.sleep(0.3)
    async with asyncio.timeout(0.3):
        status, headers, _ = await site.send("/order/x", "hopeless", 0)
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert sum(engine.runs("hopeless") for engine in site.engines) == 0
    for router in site.routers:
        restore_path(router)
    await asyncio.sleep(2.0)
    for index in range(3):
        assert (await site.send("/order/x", f"back{index}", index))[0] == 200
    assert not any(router.selector.poison.ends for router in site.routers)
