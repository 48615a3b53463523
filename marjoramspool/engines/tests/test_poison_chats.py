"""Chats with content that ends every engine are kept from the engines, and sound ones go on."""

import asyncio
from itertools import count

from aiohttp import web

from bench.local import wait_until

ENGINES = 5
ROUTERS = 3
POISON = "words that end engines"
RESTART_S = 0.4
SEND_PERIOD_S = 0.05
SETTLED_S = 3.0
MAX_LATE_ENDS = 3


class MortalEngines:
    """Engines of a fleet that end on content, and are back at their address after some time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ends = 0
        self.tasks = set()
        for index, engine in enumerate(fleet.engines):
            engine.poison = POISON.encode()
            engine.on_poison = lambda index=index: self.end(index)

    def end(self, index):
        runner = self.fleet.engine_runners[index]
        servers = [site._server for site in runner.sites if site._server]
        if not servers:
            return
        self.ends += 1
        for server in servers:
            server.close()
        task = asyncio.create_task(self.restart(index, runner))
        self.tasks.add(task)

    async def restart(self, index, runner):
        for site in list(runner.sites):
            await site.stop()
        await asyncio.sleep(RESTART_S)
        self.fleet.engines[index].incarnation += 1
        await web.TCPSite(runner, "127.0.0.1", self.fleet.engine_ports[index]).start()


async def ask(fleet, number, text):
    messages = [
        {"role": "system", "content": "You help crews."},
        {"role": "user", "content": text},
        {"role": "user", "content": f"question {number}"},
    ]
    options = {"messages": messages, "prompt_cache_key": f"chat-{number}"}
    return (await fleet.chat("", number % len(fleet.routers), **options))[0]


async def run_traffic(fleet, statuses):
    """Send sound and poisonous chats until cancelled; record the statuses of both."""
    async with asyncio.TaskGroup() as group:

        async def record(number, text):
            statuses.append((text == POISON, await ask(fleet, number, text)))

        for number in count():
            await asyncio.sleep(SEND_PERIOD_S)
            group.create_task(record(2 * number, f"sound {number % 4}"))
            group.create_task(record(2 * number + 1, POISON))


async def test_content_that_ends_engines_is_kept_from_them_and_sound_chats_go_on(fleet):
    await fleet.add_engines(ENGINES)
    await fleet.add_routers(ROUTERS)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    engines = MortalEngines(fleet)
    statuses = []
    traffic = asyncio.create_task(run_traffic(fleet, statuses))
    await wait_until(lambda: engines.ends >= 3, "three engines have ended")
    await asyncio.sleep(SETTLED_S)
    ends = engines.ends
    statuses.clear()
    await asyncio.sleep(2.0)
    late_ends = engines.ends - ends
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    sound = [status for is_poison, status in statuses if not is_poison]
    assert late_ends <= MAX_LATE_ENDS
    assert {status for is_poison, status in statuses if is_poison} == {503}
    assert sound.count(200) >= 0.9 * len(sound) > 0
