"""Messages between routers."""

import msgspec

__all__ = ["Placed", "RouterState", "Told", "ToldEngine", "ToldLoad", "decode_told", "encode"]


class ToldLoad(msgspec.Struct, array_like=True, frozen=True):
    """Tell what a router has under way at one engine."""

    engine: str
    requests: int
    unread_tokens: int


class Placed(msgspec.Struct, array_like=True, frozen=True):
    """Tell that an engine reads a chain of parts, or holds parts that it was asked for.

    Each part is an id and its tokens.
    """

    engine: str
    parts: tuple[tuple[int, int], ...]
    is_listed: bool = False


class Told(msgspec.Struct, array_like=True, frozen=True):
    """Tell the other routers who sends this, what it knows and what it has under way.

    `number` rises with each message of one start of the router, and starts at its start.
    """

    router: str
    address: str
    number: int
    table_revision: int
    engines_revision: int
    engines_digest: int
    loads: tuple[ToldLoad, ...] = ()
    placed: tuple[Placed, ...] = ()
    is_leaving: bool = False


class ToldEngine(msgspec.Struct, array_like=True, frozen=True):
    """Tell of one registered engine."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    started_ms: int


class RouterState(msgspec.Struct, array_like=True, frozen=True):
    """Hold all that a router can hand to another: its routes, its engines, their caches."""

    table_revision: int
    table: bytes
    engines_revision: int
    engines: tuple[ToldEngine, ...]
    caches: tuple[Placed, ...]


encoder = msgspec.msgpack.Encoder()
told_decoder = msgspec.msgpack.Decoder(Told)


def encode(message: Told | RouterState) -> bytes:
    """Return a message as bytes."""
    return encoder.encode(message)


def decode_told(data: bytes) -> Told:
    """Return a told message; raise msgspec.MsgspecError."""
    return told_decoder.decode(data)
