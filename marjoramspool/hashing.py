"""Weighted rendezvous hashing over names."""

import math
from collections.abc import Iterable

import xxhash

__all__ = ["content_id", "digest", "draw", "fraction", "long_digest", "rank", "score"]

HASH_SPACE = 1 << 64


def digest(text: str | bytes) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(encode(text))


def fraction(text: str | bytes) -> float:
    """Return the hash of a text scaled to the range from 0 to 1."""
    return digest(text) / HASH_SPACE


def long_digest(text: str | bytes) -> str:
    """Return the 128-bit hash of a text in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(encode(text))


def content_id(
    account: str, method: str, path: str, prompt_parts: tuple[int, ...], body: bytes
) -> int:
    """Return the 64-bit hash of a request's content, the same for each of its repeats."""
    state = xxhash.xxh3_64(f"{account}\0{method} {path}\0{prompt_parts}\0".encode())
    state.update(body)
    return state.intdigest()


def encode(text: str | bytes) -> bytes:
    """Return a text as bytes, in UTF-8 if it is a string."""
    return text.encode() if isinstance(text, str) else text


def draw(key: int, name: str) -> int:
    """Return the 64-bit hash of a name for a key, which ranks names as `score` does."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)


def score(key: int, name: str, weight: float = 1.0) -> float:
    """Return the rendezvous score of a name for a key; the highest score wins."""
    uniform = (draw(key, name) + 1) / (HASH_SPACE + 2)
    return -weight / math.log(uniform)


def rank(key: int, names: Iterable[str]) -> list[str]:
    """Return the names by descending score for a key."""
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
