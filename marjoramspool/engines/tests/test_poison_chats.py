"""Chats with content that ends every engine are kept from the engines, and sound ones go on."""

import asyncio
from itertools import count

import pytest
from aiohttp import web

from bench.local import wait_until

ENGINES = 5
ROUTERS = 3
POISON = "words that end engines"
RESTART_S = 0.4
SEND_PERIOD_S = 0.05
SETTLED_S = 3.0
MAX_LATE_ENDS = 3


class MortalTargets:
    """Targets of a fleet that end on content, and are back at their address after some time."""

    def __init__(self, standins, runners, ports, poison):
        self.standins = standins
        self.runners = runners
        self.ports = ports
        self.ends = 0
        self.tasks = set()
        for index, standin in enumerate(standins):
            standin.poison = poison
            standin.on_poison = lambda index=index: self.end(index)

    def end(self, index):
        runner = self.runners[index]
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
        self.standins[index].incarnation += 1
        await web.TCPSite(runner, "127.0.0.1", self.ports[index]).start()


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
    engines = MortalTargets(
        fleet.engines, fleet.engine_runners, fleet.engine_ports, POISON.encode()
    )
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


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_request_that_ends_targets_of_a_plain_service_is_kept_from_them(fleet, method):
    """It comes again alike, at any router; a service without orders retries it by itself."""
    await fleet.add_services(ENGINES)
    await fleet.add_routers(ROUTERS)
    await fleet.apply_plain()
    await fleet.wait_for_peers()
    targets = MortalTargets(fleet.services, fleet.service_runners, fleet.service_ports, POISON)
    statuses = {True: [], False: []}
    path = "/services/field-desk/" + ("lookups" if method == "GET" else "closures")

    async def send(number, body):
        url = fleet.url(number % ROUTERS) + path
        headers = {"Authorization": "Bearer crews-key"}
        async with fleet.session.request(method, url, data=body, headers=headers) as response:
            statuses[body == POISON].append(response.status)

    async def run_lookups():
        async with asyncio.TaskGroup() as group:
            for number in count():
                await asyncio.sleep(SEND_PERIOD_S)
                group.create_task(send(number, f"sound {number % 3}"))
                if number % 4 == 0:
                    group.create_task(send(number // 4, POISON))

    traffic = asyncio.create_task(run_lookups())
    await wait_until(lambda: targets.ends >= 3, "three targets have ended")
    await asyncio.sleep(SETTLED_S)
    ends = targets.ends
    statuses[False].clear()
    await asyncio.sleep(4.0)
    late_ends = targets.ends - ends
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    assert late_ends <= MAX_LATE_ENDS
    assert 503 in statuses[True]
    assert statuses[False].count(200) >= 0.9 * len(statuses[False]) > 0
