"""The thin path over real processes: kills, freezes and a graceful shutdown."""

import asyncio
import signal

import aiohttp
import pytest
import pytest_asyncio

from bench.chats import Chat, take_turn
from bench.documents import model_document, plain_document
from bench.fleet import Fleet
from marjoramspool.operators.client import Operator

FAST = {"probe_period": "200ms", "poll_period": "200ms", "suspect": "500ms", "connect": "500ms"}
TEST_S = 90.0


@pytest_asyncio.fixture
async def processes():
    async with asyncio.timeout(TEST_S), Fleet() as fleet:
        await fleet.standin("platform", "platform")
        fleet.engines = [
            await fleet.standin("engine", f"engine-{i}", decode_ms=5) for i in range(3)
        ]
        for number in range(3):
            await fleet.router(f"router-{number}", f"domain-{number}", **FAST)
        async with Operator(f"127.0.0.1:{fleet.platform}") as operator:
            text = model_document("grip-model", fleet.engines, idle_timeout="1s")
            await operator.apply(text, "tester", None)
        await fleet.wait_ready()
        yield fleet


async def test_requests_are_served_while_a_router_and_an_engine_are_killed(processes):
    router = processes.routers[0].callers
    chats = [Chat(f"chat-{n}") for n in range(8)]
    first = [
        asyncio.create_task(take_turn(processes.session, router, c, "grip-model")) for c in chats
    ]
    processes.processes["router-2"].send(signal.SIGKILL)
    processes.processes["engine-2"].send(signal.SIGKILL)
    turns = await asyncio.gather(*first)
    assert all(turn.is_whole or turn.outcome != "not-run" for turn in turns)
    later = [await take_turn(processes.session, router, c, "grip-model") for c in chats]
    assert all(turn.is_whole for turn in later)


async def test_a_frozen_router_holds_up_nobody_else(processes):
    processes.processes["router-1"].send(signal.SIGSTOP)
    for number in range(6):
        chat = Chat(f"chat-{number}")
        turn = await take_turn(processes.session, processes.routers[0].callers, chat, "grip-model")
        assert turn.is_whole


async def test_graceful_shutdown_cuts_no_stream(processes):
    router = processes.routers[0]
    chats = [Chat(f"chat-{n}") for n in range(4)]
    begun = asyncio.Event()
    turns = [
        asyncio.create_task(
            take_turn(
                processes.session,
                router.callers,
                c,
                "grip-model",
                max_tokens=300,
                on_first=begun.set,
            )
        )
        for c in chats
    ]
    await begun.wait()
    router.send(signal.SIGTERM)
    await processes.wait_for(f"{router.callers}/readyz", 503)
    assert all(turn.is_whole for turn in await asyncio.gather(*turns))
    assert await asyncio.to_thread(router.popen.wait, 30) == 0


async def start_desk(processes):
    desk = await processes.standin("service", "desk")
    async with Operator(f"127.0.0.1:{processes.platform}") as operator:
        text = plain_document("field-desk", [desk], deadline="3s")
        version = await operator.apply(text, "tester", None)
        await operator.wait_in_force("field-desk", version, 15)
    return desk


async def order(processes, router, key):
    headers = {"Authorization": "Bearer crews-key", "Idempotency-Key": key}
    url = f"{router.callers}/services/field-desk/closures"
    try:
        async with processes.session.post(url, data=key.encode(), headers=headers) as response:
            return response.headers["Marjoramspool-Outcome"]
    except aiohttp.ClientError:
        return "broken"


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
async def test_orders_run_once_while_a_router_dies_or_freezes(processes, number):
    desk = await start_desk(processes)
    orders = [
        asyncio.create_task(order(processes, processes.routers[n % 3], f"key-{n // 3}"))
        for n in range(60)
    ]
    await asyncio.sleep(0.05)
    processes.processes["router-1"].send(number)
    await asyncio.sleep(0.5)
    processes.processes["router-1"].send(signal.SIGCONT)
    outcomes = await asyncio.gather(*orders)
    assert "completed" in outcomes
    again = [await order(processes, processes.routers[0], f"key-{n}") for n in range(20)]
    assert set(again) <= {"completed", "unknown"}
    executions = await processes.read_json(f"http://127.0.0.1:{desk}/_executions")
    assert max(executions.values()) == 1
