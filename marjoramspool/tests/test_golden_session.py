"""Snapshot test of a session of requests with faults at engines, services and the platform."""

import re

import msgspec

from bench.chats import Chat
from bench.local import wait_until
from standins.engine import EngineProfile

AFFINITY = "Marjoramspool-Affinity"
RECORDED_HEADERS = (
    "Content-Type",
    "Marjoramspool-Outcome",
    "Marjoramspool-Replayed",
    "Retry-After",
    "X-Request-Id",
)
VARIABLE_PATTERNS = [
    (re.compile(rb"\.[0-9a-f]{12}\.(\d)"), rb".ATTEMPT.\1"),
    (re.compile(rb"(engine|target)-\d"), rb"\1-N"),
    (re.compile(rb"127\.0\.0\.1:\d+"), rb"ADDRESS"),
]


class Session:
    """Client session that sends requests and records the requests and answers as lines."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lines = []
        self.hint = None

    def add_comment(self, text):
        self.lines.append(f"# {text}")

    async def send(self, index, path, body, **headers):
        request_id = f"request-{len(self.lines)}"
        request_headers = {"X-Request-Id": request_id, **headers}
        status, answer_headers, answer = await self.fleet.post(path, body, index, **request_headers)
        for pattern, text in VARIABLE_PATTERNS:
            answer = pattern.sub(text, answer)
        shown_headers = {k: "HINT" if k == AFFINITY else v for k, v in headers.items()}
        self.lines.append(f"> router-{index} POST {path} {shown_headers} {body[:60].decode()}")
        recorded = {key: answer_headers[key] for key in RECORDED_HEADERS if key in answer_headers}
        self.lines.append(f"< {status} {recorded}")
        self.lines += [f"< {line}" for line in answer.decode().splitlines() if line]
        self.hint = answer_headers.get(AFFINITY, self.hint)

    async def chat(self, index, chat, stream=True, **headers):
        chat.add_question()
        body = {
            "model": "grip-model",
            "messages": chat.messages,
            "stream": stream,
            "max_tokens": 2,
            "prompt_cache_key": chat.name,
        }
        if self.hint:
            headers[AFFINITY] = self.hint
        await self.send(index, "/v1/chat/completions", msgspec.json.encode(body), **headers)
        chat.messages.append({"role": "assistant", "content": "noted"})


async def test_whole_session(fleet, snapshot):
    await fleet.add_engines(2, EngineProfile(decode_s=0.0))
    await fleet.add_services(2)
    await fleet.add_routers(3)
    await fleet.apply_model(accounts={"crews": 1}, idle_timeout="300ms")
    await fleet.apply_plain(accounts={"crews": 1, "patrols": 1}, deadline="1s")
    await fleet.wait_for_peers()
    session = Session(fleet)
    desk = "/services/field-desk"
    chat = Chat("chat-1")
    session.add_comment("a chat, and its return through another router")
    await session.chat(0, chat)
    await session.chat(1, chat)
    session.add_comment("an answer that is not a stream, urgent")
    await session.chat(2, chat, stream=False, Priority="u=0")
    session.add_comment("a stream that is cut goes on over a new connection")
    for engine in fleet.engines:
        fleet.arm(engine, "cut", after=1)
    await session.chat(0, chat)
    for engine in fleet.engines:
        fleet.arm(engine, "clear")
    session.add_comment("the engine that holds the chat refuses, the other answers")
    holder = next(engine for engine in fleet.engines if engine.executions)
    fleet.arm(holder, "refuse")
    await session.chat(1, chat, stream=False)
    session.add_comment("both engines refuse")
    for engine in fleet.engines:
        fleet.arm(engine, "refuse")
    session.hint = None
    await session.chat(1, Chat("chat-2"), stream=False)
    for engine in fleet.engines:
        fleet.arm(engine, "clear")
    session.add_comment("a closure order, its repeat through another router, its key reused")
    await session.send(0, f"{desk}/closures", b"close road 7", **{"Idempotency-Key": "k1"})
    await session.send(1, f"{desk}/closures", b"close road 7", **{"Idempotency-Key": "k1"})
    await session.send(2, f"{desk}/closures", b"close road 8", **{"Idempotency-Key": "k1"})
    session.add_comment(
        "a closure order whose target breaks off: it may have run, and never runs again"
    )
    for service in fleet.services:
        fleet.arm(service, "cut-after-run")
    await session.send(0, f"{desk}/closures", b"close road 9", **{"Idempotency-Key": "k2"})
    for service in fleet.services:
        fleet.arm(service, "clear")
    await session.send(1, f"{desk}/closures", b"close road 9", **{"Idempotency-Key": "k2"})
    session.add_comment("no key, a foreign service, no such service, a malformed body")
    await session.send(0, f"{desk}/look", b"", Authorization="")
    await session.send(0, "/v1/chat/completions", b"{", Authorization="Bearer patrols-key")
    await session.send(0, "/services/nowhere/look", b"")
    await session.chat(0, Chat("chat-3"), Authorization="Bearer patrols-key")
    session.add_comment("the platform is out: chats go on, a new key is refused as not run")
    fleet.arm(fleet.platform, "outage", times=-1)
    await wait_until(
        lambda: all(r.platform.outage_s() > 1.0 for r in fleet.routers),
        "every router sees the outage",
    )
    await session.send(2, f"{desk}/closures", b"close road 10", **{"Idempotency-Key": "k3"})
    await session.send(2, f"{desk}/look", b"road 10")
    fleet.arm(fleet.platform, "clear")
    session.add_comment("both engines leave")
    for engine in fleet.engines:
        engine.is_draining = True
    addresses = [f"127.0.0.1:{port}" for port in fleet.engine_ports]
    await wait_until(
        lambda: all(r.targets.is_draining(a) for r in fleet.routers for a in addresses),
        "every router sees both engines draining",
    )
    await session.chat(0, Chat("chat-4"))
    runs = dict(sorted(fleet.services[0].executions.items()))
    session.add_comment(f"runs at the targets: {runs}")
    assert "\n".join(session.lines) == snapshot
