"""Calls beside requests believe no answer that is broken, of another status, or from elsewhere.

Guards against reports, moves, cache lists, orders, states of peers, contents of the store and pages
for operators that are taken from bytes which are no answer.
"""

from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest

from bench.documents import model_document
from marjoramspool.attempts import MoveAnswer, RunState
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engines.client import EngineDispatcher
from marjoramspool.engines.orders import Order, OrderReconciler
from marjoramspool.failures import NotSentError
from marjoramspool.http import Sessions, new_session
from marjoramspool.operators.client import fetch_router_status
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.messages import EnginesState, encode
from marjoramspool.peers.state_sync import ENGINES_PATH, StateSync
from marjoramspool.platform.egress import EngineSessions
from marjoramspool.platform.store import PlatformError, Store, WriteUncertainError
from marjoramspool.store_versions import combine
from standins.raw_target import Ending, RawTarget

OK = b"HTTP/1.1 200 OK\r\n"


def sized(line, body, *fields):
    """Return an answer with a length."""
    return line + b"".join(fields) + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunked(body, end):
    """Return an answer in one chunk, with these bytes after its data."""
    head = OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
    return head + body + end


# How a body that is in order arrives in an answer that is not.
BROKEN = {
    "status 000": lambda body: sized(b"HTTP/1.1 000 OK\r\n", body),
    "status 600": lambda body: sized(b"HTTP/1.1 600 OK\r\n", body),
    "version 2": lambda body: sized(b"HTTP/2.0 200 OK\r\n", body),
    "101": lambda body: sized(b"HTTP/1.1 101 Switching\r\n", body, b"Upgrade: x\r\n"),
    "failure": lambda body: sized(b"HTTP/1.1 500 Failure\r\n", body),
    "blank before the colon": lambda body: sized(OK, body, b"Content-Type : x\r\n"),
    "control byte": lambda body: sized(OK, body, b"X-Other: \x01\r\n"),
    "first line begins with a blank": lambda body: sized(OK + b" X: y\r\n", body),
    "unknown coding": lambda body: OK + b"Transfer-Encoding: gzip\r\n\r\n" + body,
    "LF after a chunk": lambda body: chunked(body, b"\n0\r\n\r\n"),
    "no last chunk": lambda body: chunked(body, b"\r\n"),
    "cut": lambda body: sized(OK, body + b" ")[:-1],
}


def engine_at(address):
    """Return an engine at an address."""
    return Engine("i-1", "model", address, "zone", 4, False, 1000)


async def list_cache(address, sessions):
    return await sessions.list_cache(engine_at(address))


async def read_run_state(address, sessions):
    return await sessions.run_state(engine_at(address), "r1")


async def move_run(address, sessions):
    return await sessions.move_run(engine_at(address), engine_at("127.0.0.1:1"), "r1", 1.0)


async def identify(address, sessions):
    try:
        async with AsyncExitStack() as stack:
            await sessions.open_verified(engine_at(address), stack)
            return "identified"
    except NotSentError as error:
        return type(error)


async def probe(address, sessions):
    loads = []
    sessions.on_load.append(lambda engine, load: loads.append(load))
    await sessions.probe_speed(engine_at(address), "/health")
    return loads


ENGINE_CALLS = {
    "cache list": (list_cache, b'{"held":[["","aa",5,"m"]]}', None),
    "run state": (read_run_state, b'{"runs":[],"queued":0}', RunState.UNKNOWN),
    "move": (move_run, b'{"handle":"h","create_revision":3}', MoveAnswer()),
    "identity": (identify, b'{"born":1000}', NotSentError),
}


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
@pytest.mark.parametrize("call", ENGINE_CALLS.values(), ids=ENGINE_CALLS.keys())
async def test_a_broken_answer_of_an_engine_is_no_answer(call, broken):
    ask, body, nothing = call
    async with EngineSessions() as sessions:
        async with RawTarget(sized(OK, body)) as target:
            assert await ask(target.address, sessions) != nothing
        async with RawTarget(broken(body)) as target:
            assert await ask(target.address, sessions) == nothing


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_the_load_in_a_broken_answer_to_a_probe_is_not_believed(broken):
    load = b"X-Server-Load: 1,0,8\r\n"
    async with EngineSessions() as sessions:
        async with RawTarget(sized(OK, b"fine", load)) as target:
            assert len(await probe(target.address, sessions)) == 1
        first, _, rest = broken(b"fine").partition(b"\r\n")
        async with RawTarget(first + b"\r\n" + load + rest) as target:
            if rest.startswith(b" "):
                # The blank is the fault only directly after the status line.
                target.answer = first + b"\r\n" + rest.replace(b"\r\n", b"\r\n" + load, 1)
            assert await probe(target.address, sessions) == []


async def list_objects(store):
    return await store.list_objects("servers")


async def watch_objects(store):
    return await store.watch("servers", combine(0, 5), 0.1)


async def write_object(store):
    return await store.write("status", "a", {}, 0)


STORE_CALLS = {
    "list": (list_objects, b'{"items":[],"at":7}', PlatformError),
    "watch": (watch_objects, b'{"events":[],"at":7}', PlatformError),
    "write": (write_object, b'{"metadata":{"name":"a","revision":7}}', WriteUncertainError),
}


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
@pytest.mark.parametrize("call", STORE_CALLS.values(), ids=STORE_CALLS.keys())
async def test_a_broken_answer_of_the_store_is_no_answer(call, broken):
    ask, body, error = call
    async with RawTarget(sized(OK, body)) as target, Store(target.address, 1.0) as store:
        await ask(store)
    async with RawTarget(broken(body)) as target, Store(target.address, 1.0) as store:
        with pytest.raises(error):
            await ask(store)


async def test_a_broken_refusal_of_a_write_does_not_say_that_nothing_was_written():
    cut = sized(b"HTTP/1.1 503 Out\r\n", b"out ")[:-1]
    async with RawTarget(cut) as target, Store(target.address, 1.0) as store:
        with pytest.raises(WriteUncertainError):
            await write_object(store)


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_a_broken_state_of_a_peer_is_not_imported(broken):
    imported = []
    body = encode(EnginesState(1, ()))
    directory = Directory("127.0.0.1", "near", 100, lambda: 0.0)
    for answer, count in ((sized(OK, body), 1), (broken(body), 0)):
        async with RawTarget(answer) as target:
            host, _, port = target.address.rpartition(":")
            sync = StateSync(
                directory,
                int(port),
                lambda _: None,
                lambda state, _: imported.append(state),
                lambda *_: False,
                lambda: 0.0,
                None,
                None,
            )
            peer = directory.record_heartbeat(host, "near")
            async with AsyncExitStack() as stack:
                sync.session = await stack.enter_async_context(new_session(1.0))
                assert await sync.fetch(peer, ENGINES_PATH) == bool(count)
        assert len(imported) == count
        imported.clear()


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_a_broken_load_report_is_no_report(broken):
    body = b'{"incarnation":7}'
    async with Sessions(1.0) as sessions:
        dispatcher = EngineDispatcher(sessions)
        async with RawTarget(sized(OK, body)) as target:
            assert (await dispatcher.fetch_load_report(target.address)).incarnation == 7
        async with RawTarget(broken(body)) as target:
            assert await dispatcher.fetch_load_report(target.address) is None


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_a_broken_answer_accepts_no_order(broken):
    recorded = []
    audit = SimpleNamespace(record=lambda what, **_: recorded.append(what))
    async with Sessions(1.0) as sessions:
        orders = OrderReconciler("r", None, None, None, EngineDispatcher(sessions), audit)
        body = b'{"model":"m"}'
        for answer in (sized(OK, body), broken(body)):
            async with RawTarget(answer) as raw:
                target = SimpleNamespace(name="t", address=raw.address)
                recorded.append(await orders.read_loaded_model(target))
                await orders.send(Order("m", 1), target)
    assert recorded == ["m", "order sent", None, "order failed"]


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
async def test_a_broken_status_is_none_for_operators(broken):
    async with RawTarget(broken(b"{}")) as target:
        assert await fetch_router_status(target.address) is None


async def test_a_redirected_call_is_not_sent_elsewhere():
    body = b'{"held":[["","aa",5,"m"]],"incarnation":7,"items":[],"at":7,"born":1000}'
    async with RawTarget(sized(OK, body)) as elsewhere:
        location = b"Location: http://%s/x\r\n" % elsewhere.address.encode()
        redirect = sized(b"HTTP/1.1 307 Moved\r\n", b"", location)
        async with RawTarget(redirect) as target, EngineSessions() as sessions:
            assert await list_cache(target.address, sessions) is None
            assert await identify(target.address, sessions) is NotSentError
        async with RawTarget(redirect) as target, Sessions(1.0) as sessions:
            assert await EngineDispatcher(sessions).fetch_load_report(target.address) is None
        async with RawTarget(redirect) as target, Store(target.address, 1.0) as store:
            with pytest.raises(PlatformError):
                await list_objects(store)
        assert elsewhere.requests == []


async def test_a_chat_is_not_sent_on_to_where_an_engine_points(fleet):
    async with RawTarget(sized(OK, b"{}")) as elsewhere:
        location = b"Location: http://%s/x\r\n" % elsewhere.address.encode()
        redirect = sized(b"HTTP/1.1 307 Moved\r\n", b"", b"X-Request-Id: %id\r\n", location)
        async with RawTarget(redirect, Ending.OPEN) as target:
            port = int(target.address.rpartition(":")[2])
            await fleet.add_routers(1)
            await fleet.apply(model_document("grip-model", [port], deadline="2s"))
            await fleet.chat("question")
        assert elsewhere.requests == []
