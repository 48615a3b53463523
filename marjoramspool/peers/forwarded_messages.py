"""Messages between a router without a path to engines and the one that serves its requests."""

from collections.abc import AsyncIterator, Iterable

import aiohttp
import msgspec

__all__ = [
    "AnswerBody",
    "AnswerEnd",
    "AnswerEvent",
    "AnswerHead",
    "ForwardedPrompt",
    "ForwardedRequest",
    "Frame",
    "Refusal",
    "RefusalKind",
    "decode_request",
    "encode_frame",
    "plain_headers",
    "read_frames",
]

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 64 << 20


class ForwardedPrompt(msgspec.Struct, array_like=True, frozen=True):
    """Prompt of a request; each part is a pair of its id and its length in tokens."""

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[tuple[int, int], ...]


class ForwardedRequest(msgspec.Struct, array_like=True, frozen=True):
    """Validated request of a caller; the account is that of its key, which is not passed on.

    `earlier_runs` counts the attempts that may have run before.
    """

    id: str
    host: str
    account: str | None
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_ms: int
    prompt: ForwardedPrompt | None
    after_event: int | None
    first_request: str | None
    earlier_runs: int


class AnswerHead(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Begin of an engine's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    is_stream: bool


class AnswerBody(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Whole body of an answer that is not a stream."""

    data: bytes


class AnswerEvent(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One event of a stream."""

    event_id: int | None
    raw: bytes


class AnswerEnd(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """End of a complete answer; without it the answer broke off."""


class RefusalKind:
    """Why a router gives no answer."""

    # No engine has run the request, and none will.
    NOT_RUN = "not-run"
    # An engine may have run it.
    UNKNOWN = "unknown"
    # Nothing was tried: this router has no path or no room either.
    NO_PATH = "no-path"


class Refusal(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Problem in place of an answer; `kind` is one of `RefusalKind`."""

    kind: str
    status: int
    title: str
    remedy: str
    retry_after_s: float | None = None


Frame = AnswerHead | AnswerBody | AnswerEvent | AnswerEnd | Refusal
encoder = msgspec.msgpack.Encoder()
frame_decoder = msgspec.msgpack.Decoder(Frame)
request_decoder = msgspec.msgpack.Decoder(ForwardedRequest)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length before it."""
    data = encoder.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def plain_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return headers with names of type str itself, since subclasses cannot be encoded."""
    return tuple((str(name), str(value)) for name, value in headers)


def decode_request(data: bytes) -> ForwardedRequest:
    """Decode a request; raise msgspec.MsgspecError if it is invalid."""
    return request_decoder.decode(data)


async def read_frames(content: aiohttp.StreamReader) -> AsyncIterator[Frame]:
    """Yield the frames of an answer.

    Raise aiohttp.ClientError or asyncio.IncompleteReadError if it breaks off, and ValueError for a
    frame that cannot be decoded.
    """
    while True:
        length = int.from_bytes(await content.readexactly(LENGTH_BYTES), "big")
        if length > MAX_FRAME_BYTES:
            raise ValueError(f"a frame of {length} bytes is too long")
        yield frame_decoder.decode(await content.readexactly(length))
