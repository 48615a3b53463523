"""Headers of requests and answers on the platform."""

from collections.abc import Iterable, Iterator

from marjoramspool.engine_state.reported_speed import LoadFigures
from marjoramspool.prompts import Part, Prompt

__all__ = [
    "filter_answer_headers",
    "filter_request_headers",
    "parse_first_request",
    "parse_last_event",
    "parse_load",
    "parse_prompt",
]

# Headers that apply to a single connection.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
# Headers that only the router sets; values sent by clients are dropped.
RESERVED_REQUEST_HEADERS = frozenset(
    (
        "api-key",
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-request-deadline-ms",
        "x-request-priority",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
    )
)
MAX_REQUEST_ID_LENGTH = 256
MAX_FIGURE_DIGITS = 7
MAX_QUOTED_LENGTH = 80
# Headers of an answer that are meant for the router.
INTERNAL_ANSWER_HEADERS = frozenset(
    ("x-server-load", "x-instance-id", "x-not-executed", "x-cold-ms")
)


def filter_request_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a request that are forwarded to the engine."""
    headers = list(headers)
    dropped = HOP_BY_HOP | RESERVED_REQUEST_HEADERS | set(connection_options(headers))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def filter_answer_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of an answer that are forwarded to the client."""
    headers = list(headers)
    dropped = HOP_BY_HOP | INTERNAL_ANSWER_HEADERS | set(connection_options(headers))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def connection_options(headers: Iterable[tuple[str, str]]) -> Iterator[str]:
    """Yield the names of the hop-by-hop headers that Connection headers list."""
    for name, value in headers:
        if name.lower() == "connection":
            yield from (token.strip().lower() for token in value.split(","))


def parse_prompt(model: str | None, tokens: str | None, prefix: str | None) -> Prompt | None:
    """Return the prompt that a request describes, None if it is missing or malformed."""
    if tokens is None or prefix is None:
        return None
    try:
        input_tokens, output_tokens = (int(text) for text in tokens.split(","))
        parts = tuple(parse_part(entry) for entry in prefix.split(",") if entry.strip())
    except ValueError:
        return None
    return Prompt(model or "", input_tokens, output_tokens, parts)


def parse_last_event(text: str | None) -> int | None:
    """Return the number of the last event that a caller has, None if it names none.

    Raise ValueError if it is malformed.
    """
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"Last-Event-Id is {text!r}, not the number of an event")
    return int(text)


def parse_load(text: str) -> LoadFigures:
    """Return the figures of an X-Server-Load header; raise ValueError if it is malformed."""
    entries = [entry.strip() for entry in text.split(",")]
    if len(entries) not in (3, 4) or not all(e.isascii() and e.isdigit() for e in entries):
        raise ValueError(f"X-Server-Load is {text[:MAX_QUOTED_LENGTH]!r}, not 3 or 4 figures")
    if any(len(entry) > MAX_FIGURE_DIGITS for entry in entries):
        raise ValueError("X-Server-Load has a figure that is too large")
    running, waiting, slots, *percent = map(int, entries)
    if slots == 0 or percent == [0]:
        raise ValueError(f"X-Server-Load is {text!r}, with no slots or no processing time")
    return LoadFigures(running, waiting, slots, *percent)


def parse_first_request(values: list[str]) -> str | None:
    """Return the request that brought a stream's first event, None if none is named.

    Raise ValueError if several are named, or one that cannot be the id of a request.
    """
    named = set(values)
    if not named:
        return None
    name = named.pop()
    if named or not 0 < len(name) <= MAX_REQUEST_ID_LENGTH:
        raise ValueError("Resumes does not name one request")
    return name


def parse_part(entry: str) -> Part:
    """Return the prompt part of an `ID:TOKENS` entry; raise ValueError if it is malformed."""
    name, _, tokens = entry.strip().partition(":")
    return Part(int(name, 16), int(tokens))
