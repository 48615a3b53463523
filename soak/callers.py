"""Callers that come back again and again, on connections that they keep until the router closes."""

import asyncio
import itertools
import random
import time

import aiohttp

from bench.platform_fleet import HOST
from marjoramspool.http import new_session
from soak.fleet import Fleet
from soak.observed import Sent

__all__ = ["call_for_ever"]

CONNECT_S = 1.0
PAUSE_S = (0.02, 0.25)
LIMIT_S = 4.0
KINDS = ("lookup", "order", "report", "digest", "probe")
WEIGHTS = (4, 5, 3, 2, 1)
METHODS = {"lookup": "GET", "probe": "GET"}
PROMPTS = ("a1:300,b{subject}:900,c{own}:40", "a2:120,d{subject}:200,e{own}:20")
SUBJECTS = 12
# Callers that leave before the answer do so within this time.
LEAVE_S = (0.0, 0.15)
LEAVING_SHARE = 0.03

numbers = itertools.count(1)


async def call_for_ever(fleet: Fleet, seed: int) -> None:
    """Send one request after the other, through one router as long as it takes them."""
    draw = random.Random(seed)
    while True:
        router = draw.choice(fleet.rotation())
        async with new_session(CONNECT_S) as session:
            for _ in range(draw.randint(5, 60)):
                sent = make(fleet, draw, router)
                await send(fleet, session, sent, draw)
                await asyncio.sleep(draw.uniform(*PAUSE_S))
                if sent.status is None or sent.status in (502, 503):
                    break


def make(fleet: Fleet, draw: random.Random, router: int) -> Sent:
    """Return a new request."""
    (kind,) = draw.choices(KINDS, WEIGHTS)
    name = f"r{next(numbers)}"
    path = f"/{kind}/{name}"
    if kind == "probe":
        path = draw.choice(fleet.observed.changes[-3:]).probe + name
    key = draw.choice(fleet.keys_in_use)
    start = fleet.routers[router].starts
    return Sent(name, kind, path, key, router, start, time.monotonic())


async def send(
    fleet: Fleet, session: aiohttp.ClientSession, sent: Sent, draw: random.Random
) -> None:
    """Send a request and record what becomes of it."""
    fleet.observed.requests.append(sent)
    headers = {
        "X-Request-Id": sent.id,
        "Host": HOST,
        "Api-Key": sent.key,
        "X-Request-Deadline-Ms": str(int(LIMIT_S * 1000)),
    }
    if sent.kind in ("report", "digest"):
        prompt = draw.choice(PROMPTS).format(subject=draw.randrange(SUBJECTS), own=sent.id[1:])
        headers |= {"X-Model": "m", "X-Token-Count": "1240,40", "X-Prompt-Prefix": prompt}
    limit_s = draw.uniform(*LEAVE_S) if draw.random() < LEAVING_SHARE else LIMIT_S + 1.0
    url = f"http://{fleet.routers[sent.router].process.settings.client_endpoint}{sent.path}"
    method = METHODS.get(sent.kind, "POST")
    try:
        async with (
            asyncio.timeout(limit_s),
            session.request(method, url, headers=headers) as response,
        ):
            sent.status = response.status
            sent.is_signed = "X-Response-Signature" in response.headers
            sent.body = await response.read()
    except TimeoutError:
        sent.has_left = True
    except (aiohttp.ClientError, OSError):
        # What the caller saw is that the connection ended; `body` stays None.
        pass
    sent.ended = time.monotonic()
