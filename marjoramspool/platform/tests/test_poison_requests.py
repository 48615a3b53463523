"""Requests with a prompt part that ends every engine which answers them are kept from the engines.

Sound requests with the same caller, route and other parts go on.
"""

import asyncio
from itertools import count

import pytest

from bench.platform_fleet import route

CHAT = route("/chat/", "streaming", "model", stream_resume=True)
ENGINES = 6
ROUTERS = 3
RESTART_S = 0.5
SEND_PERIOD_S = 0.04
# By the requirements, a part must be kept from engines this long after the fifth end under it.
STABLE_S = 3.0
MAX_LATE_ARRIVALS = 3
POISON = "bad"
POISON_PREFIXES = ["bad:40,aa:30,{}:9", "aa:40,bad:30,{}:9", "aa:40,c{}:20,bad:30,{}:9"]


class Traffic:
    """Poisonous and sound requests that arrive at all routers until it is closed."""

    def __init__(self, site, prefix):
        self.site = site
        self.prefix = prefix
        self.numbers = count()
        self.sound_statuses = []
        self.poison_statuses = []
        self.tasks = set()

    async def __aenter__(self):
        for send in (self.send_sound, self.send_poison):
            self.start(self.run(send))
        return self

    async def __aexit__(self, *details):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def start(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, send):
        while True:
            await asyncio.sleep(SEND_PERIOD_S)
            self.start(send(next(self.numbers)))

    async def send_sound(self, number):
        prefix = f"aa:40,c{number % 5}:20,{number + 1000:x}:9"
        self.sound_statuses.append(await self.send(number, prefix))

    async def send_poison(self, number):
        prefix = self.prefix.format(f"{number + 1000:x}", f"{number + 1000:x}")
        self.poison_statuses.append(await self.send(number, prefix))

    async def send(self, number, prefix):
        headers = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": prefix}
        index = number % len(self.site.routers)
        status, _, body = await self.site.send("/chat/x", f"q{number}", index, headers=headers)
        return status if body else None


class Engines:
    """Engines of which those that end are replaced, under new ids."""

    def __init__(self, site):
        self.site = site
        self.ended = []
        self.restarts = []

    async def add(self):
        return await self.site.add_engine(
            "model", is_stream=True, poison=frozenset([POISON]), piece_interval_s=0.01
        )

    async def run(self):
        alive = [await self.add() for _ in range(ENGINES)]
        while True:
            await asyncio.sleep(0.02)
            for engine in [e for e in alive if not e.server.is_serving()]:
                alive.remove(engine)
                self.ended.append(engine)
                asyncio.get_running_loop().call_later(RESTART_S, self.restarts.append, 1)
            while self.restarts:
                self.restarts.pop()
                alive.append(await self.add())

    @property
    def poisonous_arrivals(self):
        return sum(
            POISON in arrival.headers.get("x-prompt-prefix", "")
            for engine in self.site.engines
            for arrival in engine.arrivals
        )


async def start_site(site):
    await site.configure(CHAT)
    for _ in range(ROUTERS):
        await site.add_router()
    await site.wait_for_peers()


async def wait_for_ends(engines, number):
    while len(engines.ended) < number:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("prefix", POISON_PREFIXES)
async def test_a_part_that_ends_engines_is_kept_from_them_and_sound_requests_go_on(site, prefix):
    engines = Engines(site)
    keeper = asyncio.create_task(engines.run())
    await start_site(site)
    async with Traffic(site, prefix) as traffic:
        async with asyncio.timeout(10.0):
            await wait_for_ends(engines, 3)
        await asyncio.sleep(STABLE_S)
        arrivals = engines.poisonous_arrivals
        traffic.sound_statuses.clear()
        traffic.poison_statuses.clear()
        await asyncio.sleep(2.0)
        late_arrivals = engines.poisonous_arrivals - arrivals
    keeper.cancel()
    assert late_arrivals <= MAX_LATE_ARRIVALS
    assert set(traffic.poison_statuses) == {503}
    served = sum(status == 200 for status in traffic.sound_statuses)
    assert served >= 0.9 * len(traffic.sound_statuses) > 0


async def test_an_engine_that_ends_long_after_an_answer_began_is_no_sign_of_poison(site):
    engine = await site.add_engine("model", is_stream=True, piece_interval_s=0.8)
    await site.configure(route("/chat/", "streaming", "model", max_attempts=1))
    router = await site.add_router()
    headers = {"X-Model": "m", "X-Token-Count": "60,5", "X-Prompt-Prefix": "aa:40,9:9"}
    sending = asyncio.create_task(site.send("/chat/x", "r1", headers=headers))
    # Between the first event and the second.
    await asyncio.sleep(1.5)
    await engine.stop()
    await sending
    assert sending.result()[0] == 200
    assert not router.selector.poison.ends
