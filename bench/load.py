"""Open-loop load: arrival times are fixed beforehand, so latencies include router stalls."""

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.chats import Chat, Turn, take_turn

__all__ = ["Load", "Result"]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def histogram() -> HdrHistogram:
    """Return a histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Result:
    """Results of a load; latencies count from the planned arrival, in microseconds."""

    turns: int = 0
    whole: int = 0
    returning: int = 0
    cache_hits: int = 0
    returning_tokens: int = 0
    cached_tokens: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    first_token: HdrHistogram = field(default_factory=histogram)
    total: HdrHistogram = field(default_factory=histogram)

    def count(self, turn: Turn, is_returning: bool) -> None:
        """Count one turn."""
        self.turns += 1
        self.whole += turn.is_complete
        name = f"{turn.status} {turn.outcome}"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if is_returning and turn.is_complete:
            self.returning += 1
            self.cache_hits += turn.cached_tokens > 0
            self.returning_tokens += turn.prompt_tokens
            self.cached_tokens += turn.cached_tokens

    @property
    def reuse(self) -> float:
        """Return the share of returning chats whose prefix was at least partly cached."""
        return self.cache_hits / max(1, self.returning)


class Load:
    """Chats that return through all routers, with a fixed mean rate of turns."""

    def __init__(self, urls: list[str], rate_per_s: float, seed: int, chats: int = 300, **options):
        self.urls = urls
        self.rate_per_s = rate_per_s
        self.random = random.Random(seed)
        self.options = options
        self.service = options.pop("service", "grip-model")
        self.turns_a_chat = options.pop("turns_a_chat", 10)
        self.numbers = 0
        self.idle = [self.new_chat() for _ in range(chats)]
        self.result = Result()

    def new_chat(self) -> Chat:
        """Start a chat."""
        self.numbers += 1
        return Chat(f"chat-{self.numbers}")

    def arrivals(self, seconds: float) -> list[float]:
        """Return the arrival times of a Poisson process."""
        times, now = [], 0.0
        while now < seconds:
            now += self.random.expovariate(self.rate_per_s)
            times.append(now)
        return times

    async def run(self, seconds: float) -> Result:
        """Send the load for some seconds and wait for all answers."""
        tasks = []
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=60)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            start = time.monotonic()
            for at in self.arrivals(seconds):
                await asyncio.sleep(max(0.0, start + at - time.monotonic()))
                tasks.append(asyncio.create_task(self.send(session, start + at)))
            await asyncio.gather(*tasks)
        return self.result

    async def send(self, session: aiohttp.ClientSession, planned_at: float) -> None:
        """Take one turn of an idle chat; latency counts from the planned arrival."""
        index = self.random.randrange(len(self.idle)) if self.idle else -1
        chat = self.idle.pop(index) if self.idle else self.new_chat()
        is_returning = bool(chat.messages)
        result = self.result

        def on_first() -> None:
            result.first_token.record_value(int((time.monotonic() - planned_at) * 1e6))

        url = self.random.choice(self.urls)
        turn = await take_turn(session, url, chat, self.service, on_first=on_first, **self.options)
        if turn.is_complete:
            result.total.record_value(int((time.monotonic() - planned_at) * 1e6))
        result.count(turn, is_returning)
        is_ended = len(chat.messages) >= 2 * self.turns_a_chat
        self.idle.append(self.new_chat() if is_ended else chat)
