"""JSON of other writers, of which a part may be unreadable.

Fault: one value is nested too deeply, has a number that is out of range or a text that is no
Unicode, and the decoder rejects all that is around it.
"""

import re
from collections.abc import Iterator

import msgspec

__all__ = ["decode_json", "split_array", "split_object"]

# A string, or what separates and nests values; brackets that follow one another are one token.
TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+|[,:]', re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"


def decode_json(data: bytes | msgspec.Raw, type: object):
    """Decode a JSON value; raise msgspec.DecodeError, also if it is nested too deeply."""
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError as error:
        raise msgspec.DecodeError("it is nested too deeply") from error


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by their names, not decoded; of two with one name the last.

    Members without a readable name are left out. Raise msgspec.DecodeError if it is no object.
    """
    members = {}
    for member in split(data, b"{"):
        name, value = split_member(member)
        try:
            members[msgspec.json.decode(name, type=str)] = value
        except msgspec.DecodeError:
            continue
    return members


def split_array(data: bytes) -> list[bytes]:
    """Return the values of an array, not decoded; raise msgspec.DecodeError if it is no array."""
    return list(split(data, b"["))


def split_member(member: bytes) -> tuple[bytes, bytes]:
    """Return the name of a member and its value, not decoded."""
    name = TOKEN.match(member)
    end = name.end() if name else 0
    return member[:end], member[end:].lstrip().removeprefix(b":").strip()


def split(data: bytes, bracket: bytes) -> Iterator[bytes]:
    """Yield the members between the outer brackets; raise msgspec.DecodeError if there are none."""
    data = data.strip()
    if not data.startswith(bracket):
        raise msgspec.DecodeError(f"it does not begin with {bracket.decode()}")
    depth = 0
    start = 1
    for token in TOKEN.finditer(data):
        first = data[token.start()]
        if first in OPENING:
            depth += token.end() - token.start()
        elif first in CLOSING:
            depth -= token.end() - token.start()
            if depth <= 0:
                yield from strip_member(data[start : token.end() - 1 + depth])
                return
        elif depth == 1 and first == ord(","):
            yield from strip_member(data[start : token.start()])
            start = token.end()
    raise msgspec.DecodeError("it ends too early")


def strip_member(member: bytes) -> Iterator[bytes]:
    """Yield a member without the white space around it, unless it is empty."""
    stripped = member.strip()
    if stripped:
        yield stripped
