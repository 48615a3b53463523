"""Tests that draining targets get no new requests and that a shutdown completes all requests."""

import asyncio

import pytest

from bench.chats import Chat, take_turn
from bench.documents import model_document
from bench.local import wait_until
from bench.raw_http import read_answer, request_bytes
from standins.engine import EngineProfile

SLOW_PROFILE = EngineProfile(decode_s=0.01)


async def start_fleet(fleet, engines=3, routers=3, profile=None):
    await fleet.add_engines(engines, profile)
    await fleet.add_routers(routers)
    await fleet.apply_model()
    await fleet.wait_for_peers()


def executions_of(fleet, index):
    return sum(fleet.engines[index].executions.values())


async def send_requests(fleet, count=24):
    for number in range(count):
        index = number % len(fleet.routers)
        status, _, _ = await fleet.chat(f"question {number}", index, max_tokens=1)
        assert status == 200


def all_see_draining(fleet, index):
    address = f"127.0.0.1:{fleet.engine_ports[index]}"
    return lambda: all(router.targets.is_draining(address) for router in fleet.routers)


async def start_draining(fleet, source):
    """Mark engine 0 as draining by one source, its load report or the document."""
    match source:
        case "report":
            fleet.engines[0].is_draining = True
        case "document":
            text = model_document("grip-model", fleet.engine_ports)
            drained = text.replace("[engine engine-0]", "[engine engine-0]\ndrain = yes")
            await fleet.apply(drained)
            return
    await wait_until(all_see_draining(fleet, 0), "every router sees engine 0 draining", 3.0)


@pytest.mark.parametrize("source", ["report", "document"])
async def test_drain_report_of_one_source_is_enough(fleet, source):
    await start_fleet(fleet)
    await send_requests(fleet)
    assert executions_of(fleet, 0) > 0
    await start_draining(fleet, source)
    before = executions_of(fleet, 0)
    await send_requests(fleet)
    assert executions_of(fleet, 0) == before


async def test_chat_moves_off_a_draining_holder(fleet):
    await start_fleet(fleet)
    chat = Chat("chat")
    await take_turn(fleet.session, fleet.url(), chat, "grip-model")
    holder = next(i for i in range(3) if executions_of(fleet, i))
    fleet.engines[holder].is_draining = True
    await wait_until(all_see_draining(fleet, holder), "every router sees the holder draining")
    turn = await take_turn(fleet.session, fleet.url(), chat, "grip-model")
    assert turn.is_complete
    assert executions_of(fleet, holder) == 1


async def test_requests_in_flight_on_a_draining_engine_complete(fleet):
    await start_fleet(fleet, engines=1, profile=SLOW_PROFILE)
    begun = asyncio.Event()
    chat = Chat("chat")
    task = asyncio.create_task(
        take_turn(fleet.session, fleet.url(), chat, "grip-model", 100, on_first=begun.set)
    )
    await begun.wait()
    fleet.engines[0].is_draining = True
    await wait_until(all_see_draining(fleet, 0), "every router sees the engine draining")
    assert (await task).is_complete
    status, headers, _ = await fleet.chat("late")
    assert (status, headers["Marjoramspool-Outcome"]) == (503, "not-run")


async def test_engine_gets_requests_again_after_draining_ends(fleet):
    await start_fleet(fleet, engines=1)
    fleet.engines[0].is_draining = True
    await wait_until(all_see_draining(fleet, 0), "every router sees the engine draining")
    fleet.engines[0].is_draining = False
    address = f"127.0.0.1:{fleet.engine_ports[0]}"
    await wait_until(
        lambda: not any(router.targets.is_draining(address) for router in fleet.routers),
        "no router sees the engine draining",
    )
    assert (await fleet.chat("hello"))[0] == 200


async def test_shutdown_during_a_document_change_and_a_peer_death_completes_all_requests(fleet):
    await start_fleet(fleet, routers=4, profile=SLOW_PROFILE)
    count = 6
    begun = [asyncio.Event() for _ in range(count)]
    tasks = [
        asyncio.create_task(
            take_turn(
                fleet.session, fleet.url(0), Chat(f"c{n}"), "grip-model", 120, on_first=begun[n].set
            )
        )
        for n in range(count)
    ]
    await asyncio.gather(*[event.wait() for event in begun])
    stopping = asyncio.create_task(fleet.routers[0].shut_down())
    await wait_until(lambda: fleet.routers[0].callers.is_draining, "the router drains")
    await fleet.remove_router(3)
    await fleet.apply_model(load_bound=2.0)
    late = await fleet.chat("late", index=0, max_tokens=1)
    assert late[0] == 200, "requests that arrive before the balancer removes the router are served"
    assert await stopping
    assert all(turn.is_complete for turn in await asyncio.gather(*tasks))


async def test_outcomes_of_claims_are_recorded_before_a_router_stops(fleet):
    await fleet.add_services(1, work_s=0.2)
    await fleet.add_routers(2)
    await fleet.apply_plain()
    await fleet.wait_for_peers()
    task = asyncio.create_task(fleet.post_closure("order", 0, "one-key"))
    await wait_until(lambda: fleet.services[0].in_flight, "the service runs the order")
    assert await fleet.routers[0].shut_down()
    assert (await task)[0] == 200
    await fleet.remove_router(0)
    status, headers, _ = await fleet.post_closure("order", 0, "one-key")
    assert (status, headers["Marjoramspool-Replayed"]) == (200, "true")


async def test_an_order_that_would_outlast_the_shutdown_is_refused_as_not_run(fleet):
    """Guards against an order that is passed on late and cut at the end of the drain period."""
    executions = await fleet.add_services(1, work_s=0.5)
    await fleet.add_routers(1)
    await fleet.apply_plain()
    callers = fleet.routers[0].callers
    assert (await fleet.post_closure("known"))[0] == 200
    callers.begin_drain(2.0, 0.0)
    assert (await fleet.post_closure("early"))[0] == 200
    callers.begin_drain(0.6, 0.0)
    status, headers, _ = await fleet.post_closure("late")
    assert (status, headers["Marjoramspool-Outcome"]) == (503, "not-run")
    assert "Retry-After" in headers
    assert sum(executions.values()) == 2


async def test_a_request_that_is_never_complete_is_refused_before_the_drain_period_ends(fleet):
    executions = await fleet.add_services(1)
    await fleet.add_routers(1)
    await fleet.apply_plain()
    callers = fleet.routers[0].callers
    fields = {"Host": "router", "Authorization": "Bearer crews-key"}
    whole = request_bytes("POST", "/services/field-desk/closures", "r1", fields, b"u" * 200)
    host, _, port = fleet.url().removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(whole[:-1])
    await wait_until(lambda: callers.in_flight == 1, "the head is received")
    callers.begin_drain(1.0, 0.0)
    drained = asyncio.create_task(callers.drain(1.0))
    answer = await read_answer(reader)
    assert (answer.status, answer.is_complete) == (503, True)
    assert b"Retry-After" in answer.head
    assert await drained
    assert not executions
    writer.close()
