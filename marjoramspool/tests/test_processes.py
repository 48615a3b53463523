"""End-to-end tests over real processes: killed, frozen and gracefully stopped routers."""

import asyncio
import signal

import aiohttp
import pytest
import pytest_asyncio

from bench.chats import Chat, take_turn
from bench.documents import model_document, plain_document
from bench.fleet import Fleet
from marjoramspool.operators.client import OperatorClient

SHORT_TIMINGS = {
    "probe_period": "200ms",
    "poll_period": "200ms",
    "suspect": "500ms",
    "connect": "500ms",
}
TEST_TIMEOUT_S = 90.0


@pytest_asyncio.fixture
async def running_fleet():
    async with asyncio.timeout(TEST_TIMEOUT_S), Fleet() as fleet:
        await fleet.standin("platform", "platform")
        fleet.engines = [
            await fleet.standin("engine", f"engine-{i}", decode_ms=5) for i in range(3)
        ]
        for number in range(3):
            await fleet.router(f"router-{number}", f"domain-{number}", **SHORT_TIMINGS)
        async with OperatorClient(f"127.0.0.1:{fleet.platform}") as operator:
            text = model_document("grip-model", fleet.engines, idle_timeout="1s")
            await operator.apply(text, "tester", None)
        await fleet.wait_ready()
        yield fleet


async def test_requests_are_served_while_a_router_and_an_engine_are_killed(running_fleet):
    router = running_fleet.routers[0].callers
    chats = [Chat(f"chat-{n}") for n in range(8)]
    first_turns = [
        asyncio.create_task(take_turn(running_fleet.session, router, c, "grip-model"))
        for c in chats
    ]
    running_fleet.processes["router-2"].send(signal.SIGKILL)
    running_fleet.processes["engine-2"].send(signal.SIGKILL)
    turns = await asyncio.gather(*first_turns)
    assert all(turn.is_complete or turn.outcome != "not-run" for turn in turns)
    later_turns = [await take_turn(running_fleet.session, router, c, "grip-model") for c in chats]
    assert all(turn.is_complete for turn in later_turns)


async def test_frozen_router_does_not_delay_requests_to_others(running_fleet):
    running_fleet.processes["router-1"].send(signal.SIGSTOP)
    for number in range(6):
        chat = Chat(f"chat-{number}")
        turn = await take_turn(
            running_fleet.session, running_fleet.routers[0].callers, chat, "grip-model"
        )
        assert turn.is_complete


async def test_graceful_shutdown_completes_open_streams(running_fleet):
    router = running_fleet.routers[0]
    chats = [Chat(f"chat-{n}") for n in range(4)]
    stream_begun = asyncio.Event()
    turns = [
        asyncio.create_task(
            take_turn(
                running_fleet.session,
                router.callers,
                c,
                "grip-model",
                max_tokens=300,
                on_first=stream_begun.set,
            )
        )
        for c in chats
    ]
    await stream_begun.wait()
    router.send(signal.SIGTERM)
    await running_fleet.wait_for(f"{router.callers}/readyz", 503)
    assert all(turn.is_complete for turn in await asyncio.gather(*turns))
    assert await asyncio.to_thread(router.popen.wait, 30) == 0


async def start_service(running_fleet):
    service_port = await running_fleet.standin("service", "desk")
    async with OperatorClient(f"127.0.0.1:{running_fleet.platform}") as operator:
        text = plain_document("field-desk", [service_port], deadline="3s")
        version = await operator.apply(text, "tester", None)
        await operator.wait_until_adopted("field-desk", version, 15)
    return service_port


async def post_request(running_fleet, router, key):
    headers = {"Authorization": "Bearer crews-key", "Idempotency-Key": key}
    url = f"{router.callers}/services/field-desk/closures"
    try:
        async with running_fleet.session.post(url, data=key.encode(), headers=headers) as response:
            return response.headers["Marjoramspool-Outcome"]
    except aiohttp.ClientError:
        return "broken"


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
async def test_requests_with_a_key_run_once_while_a_router_dies_or_freezes(running_fleet, number):
    service_port = await start_service(running_fleet)
    requests = [
        asyncio.create_task(
            post_request(running_fleet, running_fleet.routers[n % 3], f"key-{n // 3}")
        )
        for n in range(60)
    ]
    await asyncio.sleep(0.05)
    running_fleet.processes["router-1"].send(number)
    await asyncio.sleep(0.5)
    running_fleet.processes["router-1"].send(signal.SIGCONT)
    outcomes = await asyncio.gather(*requests)
    assert "completed" in outcomes
    repeated_outcomes = [
        await post_request(running_fleet, running_fleet.routers[0], f"key-{n}") for n in range(20)
    ]
    assert set(repeated_outcomes) <= {"completed", "unknown"}
    executions = await running_fleet.read_json(f"http://127.0.0.1:{service_port}/_executions")
    assert max(executions.values()) == 1
