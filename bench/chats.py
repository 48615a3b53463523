"""Callers' side of chats with several turns, which return their affinity hint."""

from dataclasses import dataclass, field

import aiohttp
import msgspec

__all__ = ["Chat", "Turn", "take_turn"]

AFFINITY_HEADER = "Marjoramspool-Affinity"
OUTCOME_HEADER = "Marjoramspool-Outcome"
SYSTEM_PROMPT_WORDS = 60
QUESTION_WORDS = 40


@dataclass(slots=True)
class Chat:
    """State of a chat between its turns."""

    name: str
    account: str = "crews"
    messages: list[dict] = field(default_factory=list)
    hint: str | None = None

    def add_question(self) -> None:
        """Append the next question."""
        if not self.messages:
            self.messages.append(
                {"role": "system", "content": f"{self.name} " + "rules " * SYSTEM_PROMPT_WORDS}
            )
        number = len(self.messages)
        text = f"{self.name} question {number} " + "word " * QUESTION_WORDS
        self.messages.append({"role": "user", "content": text})


@dataclass(slots=True)
class Turn:
    """Outcome of one turn; tokens are as counted by the engine."""

    status: int
    outcome: str
    is_complete: bool
    text: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    engine_hint: str | None = None
    retry_after: str | None = None


async def take_turn(
    session: aiohttp.ClientSession,
    url: str,
    chat: Chat,
    service: str,
    max_tokens: int = 16,
    urgency: int | None = None,
    on_first=None,
) -> Turn:
    """Ask the next question of a chat and read the streamed answer."""
    chat.add_question()
    body = {
        "model": service,
        "messages": chat.messages,
        "stream": True,
        "max_tokens": max_tokens,
        "prompt_cache_key": chat.name,
    }
    headers = {"Authorization": f"Bearer {chat.account}-key"}
    if chat.hint:
        headers[AFFINITY_HEADER] = chat.hint
    if urgency is not None:
        headers["Priority"] = f"u={urgency}"
    data = msgspec.json.encode(body)
    try:
        async with session.post(
            f"{url}/v1/chat/completions", data=data, headers=headers
        ) as response:
            turn = Turn(
                response.status,
                response.headers.get(OUTCOME_HEADER, ""),
                False,
                retry_after=response.headers.get("Retry-After"),
            )
            if response.status == 200:
                await read_answer(response, turn, on_first)
                chat.hint = response.headers.get(AFFINITY_HEADER, chat.hint)
            else:
                await response.read()
    except aiohttp.ClientError as error:
        turn = Turn(0, "broken", False, text=repr(error))
    if turn.is_complete:
        chat.messages.append({"role": "assistant", "content": turn.text})
    else:
        chat.messages.pop()
    return turn


async def read_answer(response: aiohttp.ClientResponse, turn: Turn, on_first) -> None:
    """Read a stream of events to its end."""
    texts = []
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if on_first:
            on_first()
            on_first = None
        data = line[6:].strip()
        if data == b"[DONE]":
            turn.is_complete = True
            continue
        event = msgspec.json.decode(data)
        for choice in event.get("choices", []):
            texts.append(choice["delta"].get("content", ""))
        usage = event.get("usage")
        if usage:
            turn.prompt_tokens = usage["prompt_tokens"]
            turn.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
    turn.text = "".join(texts)
