"""Tests of each kind of connection that goes silent for good while new connections work."""

import asyncio

import msgspec

from bench.chats import Chat, take_turn
from bench.documents import model_document, plain_document
from bench.local import wait_until
from bench.tcp_proxy import TcpProxy
from standins.engine import EngineProfile


async def test_silent_engine_connection_mid_stream(fleet):
    await fleet.add_engines(1, EngineProfile(decode_s=0.01))
    await fleet.add_routers(1)
    async with TcpProxy(fleet.engine_ports[0]) as wire:
        await fleet.apply(model_document("grip-model", [wire.port], idle_timeout="200ms"))
        begun = asyncio.Event()
        chat = Chat("chat")
        task = asyncio.create_task(
            take_turn(fleet.session, fleet.url(), chat, "grip-model", 60, on_first=begun.set)
        )
        await begun.wait()
        wire.silence()
        turn = await task
        assert turn.is_complete
        assert len(turn.text.split()) == 60
        assert (await fleet.chat("later"))[0] == 200


async def test_silent_pooled_engine_connections(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(1)
    async with TcpProxy(fleet.engine_ports[0]) as wire:
        text = model_document("grip-model", [wire.port], idle_timeout="200ms", deadline="3s")
        await fleet.apply(text)
        for number in range(4):
            wire.silence()
            turn = await take_turn(fleet.session, fleet.url(), Chat(f"c{number}"), "grip-model")
            assert turn.is_complete, "a silent pooled connection costs a retry, not an answer"


async def test_silent_service_connections(fleet):
    await fleet.add_services(1)
    await fleet.add_routers(1)
    async with TcpProxy(fleet.service_ports[0]) as wire:
        await fleet.apply(plain_document("field-desk", [wire.port], deadline="1s"))
        for number in range(3):
            status, headers, _ = await fleet.post_closure(f"order-{number}")
            assert status == 200, "requests that may not be retried use a new connection each"
            wire.silence()


async def test_silent_pooled_service_connections(fleet):
    executions = await fleet.add_services(1)
    await fleet.add_routers(1)
    async with TcpProxy(fleet.service_ports[0]) as wire:
        await fleet.apply(
            plain_document("field-desk", [wire.port], deadline="4s", idle_timeout="300ms")
        )
        for number in range(3):
            status, _, _ = await fleet.post("/services/field-desk/look", f"l{number}".encode())
            assert status == 200
            wire.silence()
    assert set(executions.values()) == {1}


async def test_silent_platform_connections_and_watches(fleet):
    await fleet.add_engines(1)
    async with TcpProxy(fleet.platform_port) as wire:
        real, fleet.platform_port = fleet.platform_port, wire.port
        await fleet.add_routers(2)
        fleet.platform_port = real
        await fleet.apply_model()
        for seconds in (10, 11, 12):
            wire.silence()
            await fleet.apply_model(deadline=f"{seconds}s")
    assert {r.configuration.document("grip-model").deadline_s for r in fleet.routers} == {12.0}


async def test_silent_connection_between_routers(fleet):
    await fleet.add_engines(2)
    await fleet.add_routers(3)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    owner = next(r for r in fleet.routers if r.admission_controller.owned_cells())
    index = next(i for i, r in enumerate(fleet.routers) if r is not owner)
    async with TcpProxy(owner.settings.peers_port) as wire:
        requester = fleet.routers[index]
        real = requester.links.address_of
        address = f"127.0.0.1:{wire.port}"
        requester.links.address_of = lambda n: address if n == owner.settings.name else real(n)
        assert (await fleet.chat("one", index))[0] == 200
        assert wire.connections == 1
        wire.silence()
        assert (await fleet.chat("two", index))[0] == 200
        name = owner.settings.name
        await wait_until(
            lambda: name in requester.membership.responsive_names(),
            "the owner counts as responsive again",
        )
        assert (await fleet.chat("three", index))[0] == 200
        assert wire.connections >= 2, "the owner is asked over a new connection"


async def test_caller_that_stops_reading_is_disconnected(fleet, monkeypatch):
    monkeypatch.setattr("marjoramspool.callers.server.WRITE_TIMEOUT_S", 0.3)
    await fleet.add_engines(1, EngineProfile(decode_s=0.0))
    await fleet.add_routers(1)
    await fleet.apply_model()
    body = msgspec.json.encode(
        {
            "model": "grip-model",
            "messages": [{"role": "user", "content": "x"}],
            "stream": True,
            "max_tokens": 200_000,
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer crews-key\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    port = fleet.routers[0].settings.callers_port
    _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.write(head.encode() + body)
    await wait_until(lambda: fleet.engines[0].running == 1, "the answer begins")
    await wait_until(lambda: fleet.engines[0].running == 0, "the engine has stopped the request")
    await wait_until(lambda: fleet.routers[0].callers.in_flight == 0, "the caller is disconnected")
    writer.close()


async def test_caller_that_stops_sending_is_disconnected(fleet, monkeypatch):
    monkeypatch.setattr("marjoramspool.callers.server.BODY_TIMEOUT_S", 0.2)
    await fleet.add_engines(1)
    await fleet.add_routers(1)
    await fleet.apply_model()
    port = fleet.routers[0].settings.callers_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    fields = b"Host: r\r\nAuthorization: Bearer crews-key\r\nContent-Length: 99\r\n"
    writer.write(b"POST /v1/chat/completions HTTP/1.1\r\n" + fields + b"\r\nhalf")
    answer = await reader.readline()
    assert b"408" in answer
    writer.close()
