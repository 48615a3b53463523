"""Messages between a router that reaches no target and the one that serves its requests."""

import msgspec

from marjoramspool.peers.forwarded_messages import AnswerBody, AnswerEnd, Refusal, RefusalKind

__all__ = [
    "CONNECT_METHOD",
    "CONNECTED",
    "NOT_CONNECTED",
    "SERVE_METHOD",
    "SERVICE",
    "Accepted",
    "Alive",
    "AnswerBody",
    "AnswerEnd",
    "AnswerStart",
    "BodyPart",
    "ConnectRequest",
    "Declined",
    "PathRequest",
    "Refusal",
    "RefusalKind",
    "Reply",
    "body_parts",
    "decode_body_part",
    "decode_connect_request",
    "decode_reply",
    "decode_request",
    "encode",
    "split",
]

SERVICE = "marjoramspool.routers.Paths"
SERVE_METHOD = "Serve"
CONNECT_METHOD = "Connect"
# Reply to a request to connect.
CONNECTED = b"\x01"
NOT_CONNECTED = b"\x00"
# gRPC bounds the size of a message.
PART_BYTES = 256 << 10


class PathRequest(msgspec.Struct, array_like=True, frozen=True):
    """Validated request of a caller, whose body follows once it is accepted.

    The account is that of the caller's key, which is not passed on. The sender holds the claim of
    `idempotency_key`. `reaches_some` says that the sender still reaches some targets.
    """

    id: str
    service: str
    version: int
    account: str
    urgency: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int
    remaining_ms: int
    parts: tuple[int, ...]
    chat: int | None
    holders: tuple[tuple[str, int], ...]
    idempotency_key: str | None
    is_non_idempotent: bool
    is_stream: bool
    is_first_turn: bool
    reaches_some: bool


class BodyPart(msgspec.Struct, array_like=True, frozen=True):
    """Part of a request's body; nothing is run before the last one has arrived."""

    data: bytes
    is_last: bool


class ConnectRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request to try a connection to a target on behalf of the sender."""

    service: str
    target: str


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """The router has a path and room; `in_flight` counts the requests that it has."""

    in_flight: int


class Declined(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """The router has not taken a request, since it has no path either, or no room for it."""

    is_without_path: bool


class AnswerStart(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Begin of a target's answer; `holders` are the engines that hold the chat's prefix."""

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    holders: tuple[tuple[str, int], ...]


class Alive(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Sign that the router is still at work, sent while it has nothing else to send."""


Reply = Accepted | Declined | AnswerStart | AnswerBody | AnswerEnd | Alive | Refusal
encoder = msgspec.msgpack.Encoder()
reply_decoder = msgspec.msgpack.Decoder(Reply)
request_decoder = msgspec.msgpack.Decoder(PathRequest)
connect_request_decoder = msgspec.msgpack.Decoder(ConnectRequest)
body_part_decoder = msgspec.msgpack.Decoder(BodyPart)


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message."""
    return encoder.encode(message)


def decode_request(data: bytes) -> PathRequest:
    """Decode a request; raise msgspec.MsgspecError if it is invalid."""
    return request_decoder.decode(data)


def decode_body_part(data: bytes) -> BodyPart:
    """Decode a part of a body; raise msgspec.MsgspecError if it is invalid."""
    return body_part_decoder.decode(data)


def decode_connect_request(data: bytes) -> ConnectRequest:
    """Decode a request to connect; raise msgspec.MsgspecError if it is invalid."""
    return connect_request_decoder.decode(data)


def decode_reply(data: bytes) -> Reply:
    """Decode a reply; raise msgspec.MsgspecError if it is invalid."""
    return reply_decoder.decode(data)


def split(data: bytes) -> list[bytes]:
    """Return the pieces of some bytes that fit a message each, at least one."""
    return [data[start : start + PART_BYTES] for start in range(0, max(1, len(data)), PART_BYTES)]


def body_parts(body: bytes) -> list[BodyPart]:
    """Return the messages of a request's body."""
    pieces = split(body)
    return [BodyPart(piece, n == len(pieces) - 1) for n, piece in enumerate(pieces)]
