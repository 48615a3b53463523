"""Simulated callers that send requests continuously over persistent connections."""

import asyncio
import itertools
import random
import time

import aiohttp

from bench.platform_fleet import HOST
from marjoramspool.http import new_session
from soak.fleet import Fleet
from soak.history import Sent

__all__ = ["run_caller", "send_poison"]

CONNECT_TIMEOUT_S = 1.0
PAUSE_RANGE_S = (0.02, 0.25)
DEADLINE_S = 4.0
REQUEST_KINDS = ("lookup", "order", "report", "digest", "probe")
KIND_WEIGHTS = (4, 5, 3, 2, 1)
METHODS = {"lookup": "GET", "probe": "GET"}
PROMPTS = ("a1:300,b{subject}:900,c{own}:40", "a2:120,d{subject}:200,e{own}:20")
SUBJECTS = 12
# Range of times after which a caller disconnects without waiting for the answer.
DISCONNECT_RANGE_S = (0.0, 0.15)
DISCONNECT_SHARE = 0.03
POISON_PERIOD_S = 0.2

request_numbers = itertools.count(1)


async def run_caller(fleet: Fleet, seed: int) -> None:
    """Send requests until cancelled; change the router after a failed one or 5 to 60 requests."""
    rng = random.Random(seed)
    while True:
        router = rng.choice(fleet.routers_in_rotation())
        async with new_session(CONNECT_TIMEOUT_S) as session:
            for _ in range(rng.randint(5, 60)):
                sent = new_request(fleet, rng, router)
                await send_request(fleet, session, sent, rng)
                if sent.kind == "report" and is_broken(sent):
                    await resume_stream(fleet, sent, rng)
                await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))
                if sent.status is None or sent.status in (502, 503):
                    break


def new_request(fleet: Fleet, rng: random.Random, router: int) -> Sent:
    """Return a request of a random kind, not sent yet."""
    (kind,) = rng.choices(REQUEST_KINDS, KIND_WEIGHTS)
    name = f"r{next(request_numbers)}"
    path = f"/{kind}/{name}"
    if kind == "probe":
        path = rng.choice(fleet.history.changes[-3:]).probe_prefix + name
    key = rng.choice(fleet.caller_keys)
    start = fleet.routers[router].starts
    return Sent(name, kind, path, key, router, start, time.monotonic())


def is_broken(sent: Sent) -> bool:
    """Return whether a stream broke off after some events."""
    return sent.body is None and sent.last_event > 0 and not sent.has_left


async def resume_stream(fleet: Fleet, broken: Sent, rng: random.Random) -> None:
    """Resume a stream that broke off once, at another router."""
    routers = [r for r in fleet.routers_in_rotation() if r != broken.router] or [broken.router]
    router = routers[broken.last_event % len(routers)]
    start = fleet.routers[router].starts
    name = f"r{next(request_numbers)}"
    sent = Sent(name, "report", broken.path, broken.key, router, start, time.monotonic())
    sent.prompt = broken.prompt
    sent.first_request = broken.id
    sent.after = broken.last_event
    async with new_session(CONNECT_TIMEOUT_S) as session:
        await send_request(fleet, session, sent, rng)


async def send_poison(fleet: Fleet, content: bytes, until: float) -> None:
    """Send the same content again and again, at any router, until a time."""
    rng = random.Random(content)
    key = fleet.keys[0]
    async with new_session(CONNECT_TIMEOUT_S) as session, asyncio.TaskGroup() as group:
        while time.monotonic() < until:
            router = rng.choice(fleet.routers_in_rotation())
            start = fleet.routers[router].starts
            name = f"p{next(request_numbers)}"
            sent = Sent(name, "poison", "/lookup/poison", key, router, start, time.monotonic())
            sent.content = content
            group.create_task(send_request(fleet, session, sent, rng))
            await asyncio.sleep(POISON_PERIOD_S)


async def read_answer(sent: Sent, response: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer; record the last event as events arrive."""
    body = b""
    async for chunk in response.content.iter_any():
        if sent.first_event_at is None:
            sent.first_event_at = time.monotonic()
        body += chunk
        complete, _, _ = body.rpartition(b"\n\n")
        numbers = [int(line[4:]) for line in complete.split(b"\n") if line.startswith(b"id: ")]
        sent.last_event = max(numbers, default=0)
    return body


async def send_request(
    fleet: Fleet, session: aiohttp.ClientSession, sent: Sent, rng: random.Random
) -> None:
    """Send a request and record its result in `sent`."""
    fleet.history.requests.append(sent)
    headers = {
        "X-Request-Id": sent.id,
        "Host": HOST,
        "Api-Key": sent.key,
        "X-Request-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    if sent.kind in ("report", "digest"):
        if not sent.prompt:
            template = rng.choice(PROMPTS)
            sent.prompt = template.format(subject=rng.randrange(SUBJECTS), own=sent.id[1:])
        headers |= {"X-Model": "m", "X-Token-Count": "1240,40", "X-Prompt-Prefix": sent.prompt}
    if sent.first_request is not None:
        headers |= {"Resumes": sent.first_request, "Last-Event-Id": str(sent.after)}
    timeout_s = (
        rng.uniform(*DISCONNECT_RANGE_S) if rng.random() < DISCONNECT_SHARE else DEADLINE_S + 1.0
    )
    url = f"http://{fleet.routers[sent.router].process.settings.client_endpoint}{sent.path}"
    method = METHODS.get(sent.kind, "POST")
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.request(method, url, headers=headers, data=sent.content or None) as response,
        ):
            sent.status = response.status
            sent.is_signed = "X-Response-Signature" in response.headers
            sent.body = await read_answer(sent, response)
    except TimeoutError:
        sent.has_left = True
    except (aiohttp.ClientError, OSError):
        # `body` stays None: the caller only saw the connection end.
        pass
    sent.ended = time.monotonic()
