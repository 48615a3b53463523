"""A request that ends every engine which runs it is kept from them, although it has no prompt.

It comes again with the same path, caller and body, and a new id. Sound requests go on.
"""

import asyncio
import random
from contextlib import suppress
from itertools import count

import pytest

from bench.platform_fleet import route

ENGINES = 4
RESTART_S = 1.5
SEND_PERIOD_S = 0.03
POISON_PERIOD_S = 0.2
POISON = b"words that end engines"
COMMON = b"the lookup that many send alike"
# By the requirements, from this long after the third end under a request.
STABLE_S = 3.0
MAX_LATE_ARRIVALS = 3


class MortalEngines:
    """Engines of which those that end are replaced, under new ids."""

    def __init__(self, site, **options):
        self.site = site
        self.options = options
        self.ended = 0
        self.restarts = 0

    async def add(self):
        return await self.site.add_engine("desk", poison_bodies=frozenset([POISON]), **self.options)

    async def run(self):
        alive = [await self.add() for _ in range(ENGINES)]
        while True:
            await asyncio.sleep(0.02)
            for engine in [e for e in alive if not e.server.is_serving()]:
                alive.remove(engine)
                self.ended += 1
                asyncio.get_running_loop().call_later(RESTART_S, self.allow_restart)
            while self.restarts:
                self.restarts -= 1
                alive.append(await self.add())

    def allow_restart(self):
        self.restarts += 1

    def arrivals(self, body):
        return sum(a.body == body for e in self.site.engines for a in e.arrivals)


class Traffic:
    """Sound requests, some of them alike, and poisonous ones that arrive at all routers."""

    def __init__(self, site, path):
        self.site = site
        self.path = path
        self.numbers = count()
        self.random = random.Random(1)
        self.statuses = {"poison": [], "common": [], "own": []}
        self.tasks = set()

    async def __aenter__(self):
        self.start(self.run("poison", POISON_PERIOD_S, lambda n: POISON))
        self.start(self.run("common", SEND_PERIOD_S, lambda n: COMMON))
        self.start(self.run("own", SEND_PERIOD_S, lambda n: b"own %d" % n))
        return self

    async def __aexit__(self, *details):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def start(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, kind, period_s, body):
        while True:
            await asyncio.sleep(period_s)
            self.start(self.send(kind, body(next(self.numbers))))

    async def send(self, kind, body):
        number = next(self.numbers)
        index = self.random.randrange(len(self.site.routers))
        status, _, _ = await self.site.send(self.path, f"q{number}", index, data=body)
        self.statuses[kind].append(status)

    def clear(self):
        for statuses in self.statuses.values():
            statuses.clear()


async def start_site(site, routers, kind):
    await site.configure(route("/lookup/", kind, "desk"))
    for _ in range(routers):
        await site.add_router()
    await site.wait_for_peers()


async def wait_for_third_end(engines):
    """Wait for the third end; after two, only one router tries the request, if it comes there."""
    with suppress(TimeoutError):
        async with asyncio.timeout(10.0):
            while engines.ended < 3:
                await asyncio.sleep(0.01)
    assert engines.ended >= 2


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@pytest.mark.parametrize("routers", [3, 8])
async def test_a_request_that_ends_engines_is_kept_from_them(site, routers, kind):
    engines = MortalEngines(site)
    keeper = asyncio.create_task(engines.run())
    await start_site(site, routers, kind)
    async with Traffic(site, "/lookup/x") as traffic:
        await wait_for_third_end(engines)
        await asyncio.sleep(STABLE_S)
        arrivals = engines.arrivals(POISON)
        await asyncio.sleep(1.0)
        traffic.clear()
        await asyncio.sleep(6.0)
        late_arrivals = engines.arrivals(POISON) - arrivals
    keeper.cancel()
    assert late_arrivals <= MAX_LATE_ARRIVALS
    assert 503 in traffic.statuses["poison"]
    for kind in ("common", "own"):
        statuses = traffic.statuses[kind]
        assert statuses.count(200) >= 0.9 * len(statuses) > 0
