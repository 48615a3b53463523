"""The software version at which each recent stream began, and which routers keep it.

Fault: a stream breaks off, and its caller resumes it a fraction of a second later at a router that
knows nothing of it; the router that began it may have ended, be cut off or stand still. What
engines of two versions write does not fit together, and they do not check it.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.requests import RoutedRequest

__all__ = [
    "AMBIGUOUS",
    "REPLICAS",
    "OriginSource",
    "StreamOrigins",
    "content_key",
    "request_key",
    "resumed_key",
    "select_replicas",
    "stream_keys",
]

# Longer than callers come back after a stream began; it is renewed when a stream breaks off.
RETENTION_S = 120.0
MAX_STREAMS = 50_000
# Routers that keep an origin, besides the one that began the stream.
REPLICAS = 3
# Streams of different versions began under one key.
AMBIGUOUS = ""


class OriginSource(Protocol):
    """What the routers of a fleet know of the versions at which streams began."""

    def announce(self, content: int, streams: Iterable[int], version: str) -> None:
        """Record the version at which a stream of some content began, under each of its keys."""

    async def find(self, content: int, stream: int) -> str | None:
        """Return the version at which a stream began; None or `AMBIGUOUS` if it is not known."""


class StreamOrigins:
    """Versions at which recent streams began, by the keys of these streams, the oldest first."""

    __slots__ = ("clock", "recorded")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        # When each version of a stream was recorded last.
        self.recorded: OrderedDict[int, dict[str, float]] = OrderedDict()

    def record(self, stream: int, version: str) -> None:
        """Record the version at which a stream began."""
        versions = self.recorded.pop(stream, {})
        versions[version] = self.clock()
        self.recorded[stream] = versions
        self.expire()

    def find(self, stream: int) -> str | None:
        """Return the version at which a stream began, None if there is none, or `AMBIGUOUS`."""
        versions = self.recorded.get(stream, {})
        oldest_kept = self.clock() - RETENTION_S
        kept = [version for version, at in versions.items() if at >= oldest_kept]
        if len(kept) > 1:
            return AMBIGUOUS
        return kept[0] if kept else None

    def expire(self) -> None:
        """Forget the streams that are too old or too many."""
        oldest_kept = self.clock() - RETENTION_S
        while self.recorded:
            stream, versions = next(iter(self.recorded.items()))
            if max(versions.values()) >= oldest_kept and len(self.recorded) <= MAX_STREAMS:
                return
            del self.recorded[stream]


def content_key(request: RoutedRequest) -> int:
    """Return the key of what all tries of a caller for one stream have in common."""
    return hashing.digest(f"{request.service}\0{request.content_id}")


def request_key(request: RoutedRequest, request_id: str) -> int:
    """Return the key of the stream whose first event some request brought.

    Streams of other accounts or services have other keys, whatever a caller names.
    """
    account = request.account.name if request.account else ""
    return hashing.digest(f"{account}\0{request.service}\0{request_id}")


def stream_keys(request: RoutedRequest) -> Iterator[int]:
    """Yield the keys by which a caller may resume what a request brings."""
    yield content_key(request)
    yield request_key(request, request.id)
    if request.first_request is not None:
        yield request_key(request, request.first_request)


def resumed_key(request: RoutedRequest) -> int:
    """Return the key of the stream that a caller resumes: its id, or else its content."""
    if request.first_request is None:
        return content_key(request)
    return request_key(request, request.first_request)


def select_replicas(content: int, domains: dict[str, str], count: int) -> list[str]:
    """Return the routers that keep the origins of streams of some content, of `domains` by address.

    They are ranked by the content; those of another failure domain than the ones before go first,
    so that the loss of a domain leaves one.
    """
    best: dict[str, tuple[int, str]] = {}
    drawn = [(hashing.draw(content, address), address) for address in domains]
    for entry in drawn:
        domain = domains[entry[1]]
        best[domain] = max(best.get(domain, entry), entry)
    spread = sorted(best.values(), reverse=True)[:count]
    if len(spread) < count:
        rest = set(drawn).difference(spread)
        spread += heapq.nlargest(count - len(spread), rest)
    return [address for _, address in spread]
