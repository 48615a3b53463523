"""Tests that answers are complete and belong to their request.

Each kind of fault is injected at the start, the middle and the end of a stream. A broken stream is
resumed over a new connection; an answer that stays incomplete must not look complete to the caller.
"""

import asyncio
from itertools import product

import msgspec
import pytest
from aiohttp import web

from bench.chats import Chat, take_turn
from bench.local import wait_until
from standins.engine import answer_tag, chunk

TOKENS = 6
LAST_CHUNK_POSITION = TOKENS
TERMINAL_POSITION = TOKENS + 1
FAULT_POSITIONS = [0, 1, 3, LAST_CHUNK_POSITION, TERMINAL_POSITION]
FAULTS = ["cut", "truncate", "silent", "duplicate", "skip", "cross", "wrong-id", "delay"]
OUTCOME = "Marjoramspool-Outcome"


async def start_fleet(fleet, engines=2, routers=2):
    await fleet.add_engines(engines)
    await fleet.add_routers(routers)
    await fleet.apply_model(idle_timeout="200ms", deadline="5s")
    await fleet.wait_for_peers()


def expected_text(chat: Chat) -> str:
    question = next(m for m in reversed(chat.messages) if m["role"] == "user")
    word = answer_tag({"messages": [question]})
    return "".join(f"{word}-{number} " for number in range(TOKENS))


@pytest.mark.parametrize(("fault", "position"), list(product(FAULTS, FAULT_POSITIONS)))
async def test_stream_recovers_from_one_fault_at_any_position(fleet, fault, position):
    await start_fleet(fleet)
    for engine in fleet.engines:
        fleet.arm(engine, fault, after=position, seconds=0.3)
    chat = Chat("chat")
    turn = await take_turn(fleet.session, fleet.url(), chat, "grip-model", max_tokens=TOKENS)
    assert turn.is_complete, "after one fault the stream is resumed over a new connection"
    assert turn.text == expected_text(chat)


@pytest.mark.parametrize("fault", ["cut", "truncate", "cross", "wrong-id"])
async def test_persistent_fault_ends_with_broken_outcome(fleet, fault):
    await start_fleet(fleet)
    for engine in fleet.engines:
        fleet.arm(engine, fault, after=3, times=-1)
    chat = Chat("chat")
    turn = await take_turn(fleet.session, fleet.url(), chat, "grip-model", max_tokens=TOKENS)
    assert not turn.is_complete
    assert turn.outcome == "broken", "a truncated answer must not look complete"


def error_events(body):
    return lambda _: web.Response(body=body, content_type="text/event-stream")


RESUMPTION_ANSWERS = {
    "500": lambda _: web.Response(status=500, text="the error"),
    "404": lambda _: web.Response(status=404, text="the error", content_type="text/html"),
    "503": lambda _: web.Response(status=503, text="the error"),
    "200 text": lambda _: web.Response(text="the error"),
    "200 json": lambda _: web.json_response({"error": "the error"}),
    "error event": error_events(b'event: error\ndata: {"error":"the error"}\n\n'),
    "numbered error event": error_events(b'id: 4\ndata: {"error":"the error"}\n\n'),
    "terminal marker": error_events(b"data: [DONE]\n\n"),
    "early terminal marker": error_events(b"id: 900\ndata: [DONE]\n\n"),
    "own chunk without a number": lambda attempt: web.Response(
        body=b"data: " + chunk(attempt, "the error") + b"\n\ndata: [DONE]\n\n",
        content_type="text/event-stream",
    ),
    "deeply nested": error_events(b"id: 4\ndata: " + b"[" * 50_000 + b"\n\n"),
    "huge number": error_events(b"id: " + b"9" * 5000 + b"\ndata: x\n\n"),
    "nothing": error_events(b""),
}


@pytest.mark.parametrize("answer", RESUMPTION_ANSWERS.values(), ids=RESUMPTION_ANSWERS.keys())
async def test_an_error_is_no_part_of_a_stream_that_breaks(fleet, answer):
    """Guards against an error in the middle of a stream, or a stream that ends as if complete."""
    await start_fleet(fleet)
    for engine in fleet.engines:
        fleet.arm(engine, "cut", after=3)
        engine.resumption_answer = answer
    chat = Chat("chat")
    turn = await take_turn(fleet.session, fleet.url(), chat, "grip-model", max_tokens=TOKENS)
    assert not turn.is_complete
    assert turn.outcome == "broken"
    word, _, _ = turn.text.partition("-")
    assert f"{word}-0 {word}-1 {word}-2 {word}-3 ".startswith(turn.text)


async def test_engine_stop_during_stream_ends_with_broken_outcome(fleet):
    await start_fleet(fleet, engines=1)
    started = asyncio.Event()
    chat = Chat("chat")
    task = asyncio.create_task(
        take_turn(
            fleet.session, fleet.url(), chat, "grip-model", max_tokens=2000, on_first=started.set
        )
    )
    await started.wait()
    await fleet.stop_engine(0)
    assert (await task).outcome == "broken"


async def test_a_stream_does_not_go_on_at_an_engine_that_has_restarted(fleet):
    """Other software starts at the address and takes over what the engine had begun."""
    await start_fleet(fleet, engines=1, routers=1)
    (engine,) = fleet.engines
    address = f"127.0.0.1:{fleet.engine_ports[0]}"
    targets = fleet.routers[0].targets
    await wait_until(lambda: targets.incarnation(address), "a load report was read")
    fleet.arm(engine, "cut", after=3)
    fleet.arm(engine, "delay", after=2, seconds=0.2)
    chat = Chat("chat")
    task = asyncio.create_task(
        take_turn(fleet.session, fleet.url(), chat, "grip-model", max_tokens=TOKENS)
    )
    await asyncio.sleep(0.1)
    engine.incarnation += 1
    assert (await task).outcome == "broken"


@pytest.mark.parametrize("fault", ["cut", "wrong-id", "cut-before-run", "cut-after-run", "refuse"])
async def test_non_streamed_fault_ends_in_retry_or_correct_outcome(fleet, fault):
    await start_fleet(fleet)
    fleet.arm(fleet.engines[0], fault)
    fleet.arm(fleet.engines[1], fault)
    for _ in range(2):
        status, headers, body = await fleet.chat("question", max_tokens=TOKENS)
        if status == 200:
            answer = msgspec.json.decode(body)["choices"][0]["message"]["content"]
            assert answer.startswith(answer_tag({"messages": [{"content": "question"}]}))
        else:
            expected_outcome = "not-run" if fault == "refuse" else "unknown"
            assert headers[OUTCOME] == expected_outcome
    assert status == 200


@pytest.mark.parametrize("fault", ["refuse-again", "refuse-again-unnamed"])
@pytest.mark.parametrize("is_stream", [False, True])
async def test_a_refusal_that_is_written_again_is_not_taken_for_one(fleet, fault, is_stream):
    """Guards against callers who are told that a chat was not run, although an engine ran it."""
    await start_fleet(fleet, engines=1, routers=1)
    (engine,) = fleet.engines
    fleet.arm(engine, "refuse")
    assert (await fleet.chat("first", max_tokens=TOKENS))[1][OUTCOME] == "not-run"
    fleet.arm(engine, fault)
    status, headers, _ = await fleet.chat("second", max_tokens=TOKENS, stream=is_stream)
    assert not engine.faults.armed, "it was written"
    assert sum(engine.executions.values()) == 1
    assert (status, headers[OUTCOME]) == (502, "unknown")


async def test_a_refusal_without_an_id_on_a_new_connection_is_one(fleet, monkeypatch):
    await start_fleet(fleet, engines=1, routers=1)
    (engine,) = fleet.engines
    monkeypatch.setattr(engine, "name_request", None)
    key = {"Idempotency-Key": "one"}
    fleet.arm(engine, "refuse", times=-1)
    _, headers, _ = await fleet.chat("first", max_tokens=TOKENS, headers=key)
    assert headers[OUTCOME] == "not-run"
    assert not engine.executions


async def test_requests_with_equal_request_ids_get_their_own_answers(fleet):
    await start_fleet(fleet)
    for engine in fleet.engines:
        for position in range(5):
            fleet.arm(engine, "cross", after=position)

    async def send_question(number: int) -> bool:
        text = f"question {number}"
        headers = {"X-Request-Id": "same"}
        status, _, body = await fleet.chat(text, number % 2, max_tokens=TOKENS, headers=headers)
        answer = msgspec.json.decode(body)["choices"][0]["message"]["content"]
        return status == 200 and answer.startswith(answer_tag({"messages": [{"content": text}]}))

    assert all(await asyncio.gather(*[send_question(number) for number in range(30)]))


async def test_concurrent_streams_recover_from_faults(fleet):
    await start_fleet(fleet, engines=3)
    for engine in fleet.engines:
        for fault, position in product(["cut", "cross", "duplicate", "silent"], [1, 4]):
            fleet.arm(engine, fault, after=position)
    chats = [Chat(f"chat-{number}") for number in range(20)]
    turns = await asyncio.gather(
        *[
            take_turn(fleet.session, fleet.url(n % 2), chat, "grip-model", max_tokens=TOKENS)
            for n, chat in enumerate(chats)
        ]
    )
    assert all(turn.is_complete for turn in turns)
    assert all(turn.text == expected_text(chat) for turn, chat in zip(turns, chats, strict=True))


async def test_disconnected_caller_releases_engine_and_admission(fleet):
    await start_fleet(fleet, engines=1)
    started = asyncio.Event()
    task = asyncio.create_task(
        take_turn(
            fleet.session,
            fleet.url(),
            Chat("chat"),
            "grip-model",
            max_tokens=100_000,
            on_first=started.set,
        )
    )
    await started.wait()
    task.cancel()
    await wait_until(lambda: not fleet.engines[0].running, "the engine has stopped", 5.0)
    owner = next(r for r in fleet.routers if r.admission_controller.owned_cells())
    loads = owner.admission_controller.cell("grip-model/0").loads
    # The grant is released once the engine's answer to the cancellation has arrived.
    await wait_until(lambda: not sum(loads.values()), "the grant is released", 1.0)


async def test_caller_gets_content_of_another_attempt_without_check(fleet, monkeypatch):
    async def pass_unchecked_events(events, attempt, after):
        async for event in events:
            yield event

    monkeypatch.setattr("marjoramspool.engines.client.check_events", pass_unchecked_events)
    await start_fleet(fleet, engines=1)
    fleet.arm(fleet.engines[0], "cross", after=2)
    chat = Chat("chat")
    turn = await take_turn(fleet.session, fleet.url(), chat, "grip-model", max_tokens=TOKENS)
    assert turn.text != expected_text(chat), "the tests above detect a missing check"
