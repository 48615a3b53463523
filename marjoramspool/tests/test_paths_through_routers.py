"""Requests of a router without a path to targets, through routers that have one."""

import asyncio
import time

import aiohttp
import pytest

from bench.engine_cut import kept_transports, refuse
from bench.local import wait_until
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.routers.path_server import PathServer
from standins.engine import EngineProfile

PLAIN = "field-desk"
LOOKUPS = f"/services/{PLAIN}/lookups"
OUTCOME = "Marjoramspool-Outcome"
# Refusals are sent within this time, by the requirements.
REFUSAL_S = 0.5


async def hang(*_, timeout, **__):
    """Open no connection until the timeout, which load reports have for the whole call only."""
    await asyncio.sleep(timeout.sock_connect or 60.0)
    raise TimeoutError


CUTS = pytest.mark.parametrize("cut", [hang, refuse])


def cut_off(router, how, ports=None):
    """Cut a router off from the targets at some ports, or from all."""
    for session in (router.sessions.pooled, router.sessions.unpooled):
        connector = session.connector
        connect = type(connector)._wrap_create_connection.__get__(connector)

        async def cut(*args, req, connect=connect, **options):
            if ports is None or req.url.port in ports:
                return await how(*args, req=req, **options)
            return await connect(*args, req=req, **options)

        connector._wrap_create_connection = cut
        for transport in kept_transports(connector):
            transport.abort()


def restore(router):
    """End the cut of a router."""
    for session in (router.sessions.pooled, router.sessions.unpooled):
        del session.connector._wrap_create_connection


def forwarded(router):
    return router.metrics.counts.get("forwarded", 0)


def serving_index(fleet):
    """Return the index of the router that serves a request of another."""
    return next(n for n, router in enumerate(fleet.routers) if router.path_server.active)


async def settled_owner(fleet):
    """Return the index of the router that all take for the owner of the model's only cell."""

    def owners():
        orders = [r.admission_controller.owner_order("grip-model/0") for r in fleet.routers]
        return {order[0] for order in orders}

    await wait_until(lambda: len(owners()) == 1, "all agree on the owner")
    (name,) = owners()
    return next(n for n, router in enumerate(fleet.routers) if router.settings.name == name)


async def start_plain(fleet, routers=3, work_s=0.0, targets=3, **timings):
    executions = await fleet.add_services(targets, work_s)
    await fleet.add_routers(routers, **timings)
    await fleet.apply_plain(deadline="2s")
    await fleet.wait_for_peers()
    return executions


async def lookup(fleet, tag, index=0):
    status, headers, _ = await fleet.post(LOOKUPS, tag.encode(), index)
    return status, headers[OUTCOME]


@CUTS
async def test_first_requests_after_a_cut_do_not_wait_for_the_connect_timeout(fleet, cut):
    await start_plain(fleet, connect="5s")
    cut_off(fleet.routers[0], cut)
    results = await asyncio.gather(*[lookup(fleet, f"{n}") for n in range(20)])
    assert results == [(200, "completed")] * 20


@CUTS
async def test_the_events_of_a_stream_are_passed_on_as_they_come(fleet, cut):
    await fleet.add_engines(3, EngineProfile(decode_s=0.05))
    await fleet.add_routers(3)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    cut_off(fleet.routers[0], cut)
    url = fleet.url() + "/v1/chat/completions"
    body = {"model": "grip-model", "messages": [{"role": "user", "content": "a"}], "stream": True}
    headers = {"Authorization": "Bearer crews-key"}
    arrived = []
    async with fleet.session.post(url, json=body, headers=headers) as response:
        assert response.status == 200
        assert response.headers["Marjoramspool-Affinity"]
        async for line in response.content:
            if line.startswith(b"data:"):
                arrived.append((time.monotonic(), line))
    assert b"[DONE]" in arrived[-1][1]
    # 16 tokens of 0.05 s each.
    assert arrived[-1][0] - arrived[0][0] > 0.4
    assert forwarded(fleet.routers[0]) == 1


@CUTS
async def test_an_order_runs_once_and_its_key_is_answered_at_all_routers(fleet, cut):
    executions = await start_plain(fleet)
    cut_off(fleet.routers[0], cut)
    for index in (0, 1, 0, 2):
        status, _, _ = await fleet.post_closure("valve", index, key="k1")
        assert status == 200
    status, _, _ = await fleet.post_closure("valve", 0, key="k2")
    assert status == 200
    assert executions["valve"] == 2
    assert forwarded(fleet.routers[0]) == 2


@pytest.mark.parametrize("key", [None, "k1"])
async def test_an_order_is_unknown_and_not_sent_again_if_its_router_ends(fleet, key):
    executions = await start_plain(fleet, work_s=0.6)
    cut_off(fleet.routers[0], hang)
    await lookup(fleet, "first")
    order = asyncio.create_task(fleet.post_closure("valve", 0, key))
    await wait_until(lambda: executions["valve"], "the order runs")
    await fleet.remove_router(serving_index(fleet))
    status, headers, _ = await order
    assert (status, headers[OUTCOME]) == (502, "unknown")
    assert executions["valve"] == 1


async def test_a_request_that_may_run_again_survives_the_end_of_its_router(fleet):
    executions = await start_plain(fleet, work_s=0.3)
    cut_off(fleet.routers[0], refuse)
    await lookup(fleet, "first")
    request = asyncio.create_task(lookup(fleet, "valve"))
    await wait_until(lambda: executions["valve"], "the request runs")
    await fleet.remove_router(serving_index(fleet))
    assert await request == (200, "completed")


async def test_a_stream_whose_router_ends_is_told_unknown(fleet):
    await fleet.add_engines(3, EngineProfile(decode_s=0.05))
    await fleet.add_routers(3)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    cut_off(fleet.routers[0], refuse)
    stream = asyncio.create_task(fleet.chat("a", stream=True))
    await wait_until(lambda: any(r.path_server.active for r in fleet.routers), "it runs")
    await asyncio.sleep(0.3)
    await fleet.remove_router(serving_index(fleet))
    with pytest.raises(aiohttp.ClientPayloadError):
        await stream
    assert fleet.routers[0].metrics.counts["outcome.unknown"] == 1


async def test_routers_of_the_previous_revision_are_skipped(fleet, monkeypatch):
    await fleet.add_services(3)
    with monkeypatch.context() as patch:
        patch.setattr("marjoramspool.routers.path_server.SERVICE", "marjoramspool.routers.None")
        await fleet.add_routers(3)
    await fleet.apply_plain(deadline="2s")
    await fleet.wait_for_peers()
    cut_off(fleet.routers[0], refuse)
    assert await lookup(fleet, "a") == (503, "not-run")
    await fleet.add_routers(1)
    await fleet.wait_for_peers()
    results = [await lookup(fleet, f"{n}") for n in range(12)]
    assert results == [(200, "completed")] * 12


async def test_a_router_that_is_frozen_is_passed_over(fleet, monkeypatch):
    frozen = []
    serve = PathServer.serve

    async def serve_or_freeze(server, requests, context):
        if server in frozen:
            await asyncio.sleep(60.0)
        await serve(server, requests, context)

    monkeypatch.setattr(PathServer, "serve", serve_or_freeze)
    executions = await start_plain(fleet)
    frozen.append(fleet.routers[1].path_server)
    cut_off(fleet.routers[0], refuse)
    for number in range(12):
        status, _, _ = await fleet.post_closure(f"{number}")
        assert status == 200
    assert executions == {f"{number}": 1 for number in range(12)}


async def test_a_request_takes_one_hop_at_most(fleet):
    await start_plain(fleet, routers=3)
    cut_off(fleet.routers[0], refuse)
    assert await lookup(fleet, "first") == (200, "completed")
    # These learn of their cut by the requests of router 0 only.
    for router in fleet.routers[1:]:
        cut_off(router, refuse)
    assert await lookup(fleet, "second") == (503, "not-run")
    assert [forwarded(router) for router in fleet.routers[1:]] == [0, 0]


async def test_long_bodies_are_passed_on_in_parts(fleet):
    await start_plain(fleet)
    cut_off(fleet.routers[0], refuse)
    # Four parts, and less than the stand-in takes.
    text = "ab" * 450_000
    status, _, body = await fleet.post(LOOKUPS, text.encode())
    assert status == 200
    assert text.encode() in body


async def test_a_cut_while_requests_are_unanswered_ends_no_target(fleet, monkeypatch):
    await start_plain(fleet, work_s=0.4)
    ended = []
    monkeypatch.setattr(
        "marjoramspool.engine_state.poison_parts.PoisonDetector.record_end",
        lambda *details: ended.append(details),
    )

    async def is_refusing_connections(_):
        return True

    monkeypatch.setattr("marjoramspool.routing.is_refusing_connections", is_refusing_connections)
    requests = [asyncio.create_task(lookup(fleet, f"{n}")) for n in range(6)]
    await wait_until(lambda: sum(s.in_flight for s in fleet.services) == 6, "all run")
    cut_off(fleet.routers[0], refuse)
    await asyncio.gather(*requests)
    assert not ended


@CUTS
async def test_requests_are_refused_at_once_if_all_routers_are_cut_off(fleet, cut):
    executions = await start_plain(fleet, routers=4, connect="5s")
    for router in fleet.routers:
        cut_off(router, cut)
    await asyncio.gather(*[lookup(fleet, "first", n) for n in range(4)])
    for number in range(8):
        started = time.monotonic()
        status, headers, _ = await fleet.post_closure("valve", number % 4)
        assert (status, headers[OUTCOME]) == (503, "not-run")
        assert "Retry-After" in headers
        assert time.monotonic() - started < REFUSAL_S
    assert not executions


async def test_one_target_that_ended_is_no_cut(fleet):
    await start_plain(fleet)
    await fleet.service_runners[0].cleanup()
    results = [await lookup(fleet, f"{n}", n % 3) for n in range(24)]
    assert results == [(200, "completed")] * 24
    assert not any(forwarded(router) for router in fleet.routers)


@CUTS
async def test_requests_go_directly_again_after_the_cut(fleet, cut):
    await start_plain(fleet)
    router = fleet.routers[0]
    cut_off(router, cut)
    assert await lookup(fleet, "a") == (200, "completed")
    restore(router)
    await wait_until(lambda: router.reach.path(PLAIN) is Path.FULL, "the path is back", 3.0)
    before = forwarded(router)
    results = [await lookup(fleet, f"{n}") for n in range(12)]
    assert results == [(200, "completed")] * 12
    assert forwarded(router) == before


@CUTS
async def test_a_cut_router_ejects_no_engine_for_the_others(fleet, cut):
    await fleet.add_engines(4)
    await fleet.add_routers(3)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    decisions = []
    for router in fleet.routers:
        router.targets.decisions.subscribe(lambda decision: decisions.append(decision.what))
    index = await settled_owner(fleet)
    owner = fleet.routers[index]
    cut_off(owner, cut)
    for number in range(12):
        status, _, _ = await fleet.chat(f"{number}", (index + number) % 3)
        assert status == 200
    # More than three load reports, which take 1 s each to fail.
    await asyncio.sleep(4.0)
    assert "target ejected" not in decisions


@CUTS
async def test_targets_that_only_one_router_does_not_reach_serve_the_others(fleet, cut):
    await fleet.add_engines(4)
    await fleet.add_routers(3)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    decisions = []
    for router in fleet.routers:
        router.targets.decisions.subscribe(lambda decision: decisions.append(decision.what))
    index = await settled_owner(fleet)
    owner = fleet.routers[index]
    cut_off(owner, cut, fleet.engine_ports[:1])
    address = f"127.0.0.1:{fleet.engine_ports[0]}"
    await wait_until(lambda: owner.targets.state(address).unreachable_until > 0.0, "it is found")
    before = len(fleet.engines[0].executions)
    for number in range(24):
        status, _, _ = await fleet.chat(f"{number}", (index + number) % 3)
        assert status == 200
    assert len(fleet.engines[0].executions) > before
    assert "target ejected" not in decisions


async def test_an_engine_that_is_down_for_everyone_is_ejected(fleet):
    await fleet.add_engines(4)
    await fleet.add_routers(3)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    decisions = []
    for router in fleet.routers:
        router.targets.decisions.subscribe(lambda decision: decisions.append(decision.what))
    await fleet.stop_engine(0)
    await wait_until(lambda: "target ejected" in decisions, "it is ejected", 3.0)


async def test_a_run_is_cancelled_when_its_caller_leaves(fleet):
    await start_plain(fleet, work_s=1.5)
    cut_off(fleet.routers[0], refuse)
    request = asyncio.create_task(lookup(fleet, "valve"))
    await wait_until(lambda: any(s.in_flight for s in fleet.services), "the request runs")
    request.cancel()
    await wait_until(lambda: not any(r.path_server.active for r in fleet.routers), "it ended", 0.5)
    assert fleet.routers[0].callers.in_flight == 0
