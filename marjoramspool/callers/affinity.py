"""Opaque affinity hint that a caller sends back with the next turn of a chat."""

import base64
import binascii

import msgspec

from marjoramspool.placement.bounded_placement import Holder

__all__ = ["decode_hint", "encode_hint"]

MAX_HINT_BYTES = 512
MAX_HOLDERS = 3
MAX_INCARNATION = (1 << 32) - 1


def encode_hint(holders: tuple[Holder, ...]) -> str:
    """Return the hint that names the engines whose caches hold a chat's prefix."""
    entries = [(holder.engine, holder.incarnation) for holder in holders]
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(entries)).decode().rstrip("=")


def decode_hint(text: str | None) -> tuple[Holder, ...]:
    """Return the engines that a hint names, none if the hint is malformed."""
    if not text or len(text) > MAX_HINT_BYTES:
        return ()
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        entries = msgspec.msgpack.decode(data, type=list[tuple[str, int]])
    except (ValueError, binascii.Error, msgspec.MsgspecError):
        return ()
    return tuple(
        Holder(engine, incarnation)
        for engine, incarnation in entries[:MAX_HOLDERS]
        if 0 <= incarnation <= MAX_INCARNATION
    )
