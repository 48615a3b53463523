"""The software version at which each recent stream began, and which routers keep it.

Fault: a stream breaks off, and its caller resumes it a fraction of a second later at a router that
knows nothing of it; the router that began it may have ended, be cut off or stand still. What
engines of two versions write does not fit together, and they do not check it.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.requests import RoutedRequest

__all__ = [
    "AMBIGUOUS",
    "KEEPERS",
    "OriginSource",
    "StreamOrigins",
    "select_keepers",
    "stream_id",
    "streams_of",
]

# Longer than callers come back after a stream began; it is renewed when a stream breaks off.
RETENTION_S = 120.0
MAX_STREAMS = 50_000
# Routers that keep an origin, besides the one that began the stream.
KEEPERS = 3
# Two streams of different versions began under one id.
AMBIGUOUS = ""


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Version at which a stream began, and when that was recorded last."""

    version: str
    recorded_at: float


class OriginSource(Protocol):
    """What the routers of a fleet know of the versions at which streams began."""

    def announce(self, streams: Iterator[int], version: str) -> None:
        """Record the version at which streams began, here and at their keepers."""

    async def find(self, stream: int) -> str | None:
        """Return the version at which a stream began; None or `AMBIGUOUS` if it is not known."""


class StreamOrigins:
    """Origins of recent streams that this router knows of, the oldest first."""

    __slots__ = ("clock", "origins")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.origins: OrderedDict[int, StreamOrigin] = OrderedDict()

    def record(self, stream: int, version: str) -> None:
        """Record the version at which a stream began; a second one makes it ambiguous."""
        known = self.origins.pop(stream, None)
        if known is not None and known.version != version:
            version = AMBIGUOUS
        self.origins[stream] = StreamOrigin(version, self.clock())
        self.expire()

    def find(self, stream: int) -> str | None:
        """Return the version at which a stream began, `AMBIGUOUS` or None."""
        origin = self.origins.get(stream)
        if origin is None or self.clock() - origin.recorded_at > RETENTION_S:
            return None
        return origin.version

    def expire(self) -> None:
        """Forget the origins that are too old or too many."""
        oldest_kept = self.clock() - RETENTION_S
        while self.origins:
            stream, origin = next(iter(self.origins.items()))
            if origin.recorded_at >= oldest_kept and len(self.origins) <= MAX_STREAMS:
                return
            del self.origins[stream]


def stream_id(request: RoutedRequest, first_request: str) -> int:
    """Return the id of a stream whose first event the request `first_request` brought.

    Streams of other accounts or services have other ids, whatever a caller names.
    """
    account = request.account.name if request.account else ""
    return hashing.digest(f"{account}\0{request.service}\0{first_request}")


def streams_of(request: RoutedRequest) -> Iterator[int]:
    """Yield the ids under which a caller may resume what a request brings."""
    yield stream_id(request, request.id)
    if request.first_request is not None:
        yield stream_id(request, request.first_request)


def select_keepers(stream: int, domains: dict[str, str], count: int) -> list[str]:
    """Return the routers that keep a stream's origin, of `domains` by address.

    They are ranked by the stream; those of another failure domain than the ones before go first, so
    that the loss of a domain leaves one.
    """
    ranked = hashing.rank(stream, domains)
    seen: set[str] = set()
    spread = []
    for address in ranked:
        if domains[address] not in seen:
            seen.add(domains[address])
            spread.append(address)
    rest = [address for address in ranked if address not in spread]
    return [*spread, *rest][:count]
