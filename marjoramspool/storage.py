"""Client of the platform for the project's own objects, with a budget of calls."""

import asyncio
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from marjoramspool.admission.token_bucket import TokenBucket
from marjoramspool.events import Event, log
from marjoramspool.peers.discovery import KIND as ROUTERS
from marjoramspool.peers.discovery import RouterSpec, read_spec
from marjoramspool.platform.store import (
    Conflict,
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
    Store,
    WriteUncertainError,
)
from marjoramspool.platform.store import Written as ObjectWritten
from marjoramspool.store_replicas.stored_objects import StoredObject
from marjoramspool.untrusted_json import decode_json

__all__ = [
    "Listing",
    "Platform",
    "PlatformError",
    "PlatformUnavailableError",
    "StoredText",
    "VersionConflict",
    "WriteUncertainError",
    "Written",
]

BUDGET_BURST_S = 2.0


@dataclass(slots=True, frozen=True)
class StoredText:
    """Text object at a version; `value` is None if the object does not exist."""

    name: str
    version: int
    value: str | None


@dataclass(slots=True, frozen=True)
class Listing:
    """Text objects at a version of the store: all of a kind, or only those that have changed.

    `names` are those of all objects, also of those that are no text; None if only changes are told.
    """

    version: int
    objects: list[StoredText]
    names: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class Written:
    """Result of a conditional write that took effect."""

    version: int


@dataclass(slots=True, frozen=True)
class VersionConflict:
    """Result of a write to an object with an unexpected version; 0 if it does not exist."""

    version: int


class Platform:
    """Client of text objects in the store, within a budget of calls per second."""

    __slots__ = ("budget", "store")

    def __init__(self, address: str, timeout_s: float, calls_per_s: float):
        self.store = Store(address, timeout_s)
        self.budget = TokenBucket(calls_per_s, calls_per_s * BUDGET_BURST_S)

    async def __aenter__(self):
        await self.store.__aenter__()
        return self

    async def __aexit__(self, *details):
        await self.store.__aexit__(*details)

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self.store.calls

    @property
    def epoch(self) -> int:
        """Return the highest epoch of the store that is known, 0 if none is."""
        return self.store.epoch

    @property
    def bytes(self) -> int:
        """Return the bytes sent and received in all calls."""
        return self.store.bytes

    async def read(self, kind: str, name: str) -> StoredText:
        """Return an object; raise PlatformError."""
        await self.wait_for_budget()
        stored = await self.store.read(kind, name)
        return decode_text(stored) if stored else StoredText(name, 0, None)

    async def write(
        self, kind: str, name: str, value: str | None, expected_version: int
    ) -> Written | VersionConflict:
        """Write an object if it has the expected version; 0 creates it, the value None deletes it.

        Raise PlatformUnavailableError if nothing was written, WriteUncertainError if that is
        unknown.
        """
        await self.wait_for_budget()
        if value is None:
            result = await self.store.delete(kind, name, expected_version)
        else:
            result = await self.store.write(kind, name, value, expected_version)
        match result:
            case ObjectWritten(stored):
                return Written(stored.revision)
            case Conflict(stored):
                return VersionConflict(stored.revision if stored else 0)

    async def list_objects(self, kind: str) -> Listing:
        """Return all text objects of a kind; raise PlatformError.

        Objects that are no text are logged and left out.
        """
        await self.wait_for_budget()
        listing = await self.store.list_objects(kind)
        names = frozenset(stored.name for stored in listing.objects)
        return Listing(listing.revision, list(decode_texts(listing.objects)), names)

    async def watch(self, kind: str, after_version: int, wait_s: float) -> Listing:
        """Wait at most `wait_s` for objects that change after a version; raise PlatformError.

        Return a full listing if the store no longer keeps the changes since that version. Only the
        last change of an object counts: a removal does not say at which version it was.
        """
        await self.wait_for_budget()
        try:
            changes, version = await self.store.watch(kind, after_version, wait_s)
        except HistoryGoneError:
            return await self.list_objects(kind)
        last_changes = {change.object.name: change for change in changes}.values()
        removed = [StoredText(c.object.name, version, None) for c in last_changes if c.is_removed]
        written = decode_texts(c.object for c in last_changes if not c.is_removed)
        return Listing(version, [*removed, *written])

    async def register(self, name: str, spec: RouterSpec) -> None:
        """Create or update the registration of a router; raise PlatformError."""
        await self.wait_for_budget()
        stored = await self.store.read(ROUTERS, name)
        if stored is None or read_spec(stored) != spec:
            await self.wait_for_budget()
            await self.store.write(ROUTERS, name, spec, stored.revision if stored else 0)

    async def unregister(self, name: str) -> None:
        """Remove the registration of a router; raise PlatformError."""
        await self.wait_for_budget()
        stored = await self.store.read(ROUTERS, name)
        if stored is not None:
            await self.wait_for_budget()
            await self.store.delete(ROUTERS, name, stored.revision)

    async def routers(self) -> dict[str, RouterSpec]:
        """Return the valid registrations of routers by name; raise PlatformError."""
        await self.wait_for_budget()
        listing = await self.store.list_objects(ROUTERS)
        specs = {stored.name: read_spec(stored) for stored in listing.objects}
        return {name: spec for name, spec in specs.items() if spec}

    async def wait_for_budget(self) -> None:
        """Wait until the budget allows a call.

        Raise PlatformUnavailableError if that would take longer than the timeout of a call.
        """
        wait_s = self.budget.wait_s()
        if wait_s > self.store.timeout_s:
            log(Event.PLATFORM_BUDGET, wait_s=round(wait_s, 3))
            raise PlatformUnavailableError("this router's budget of platform calls is exhausted")
        while not self.budget.try_consume():
            await asyncio.sleep(max(0.001, self.budget.wait_s()))

    def outage_s(self) -> float:
        """Return the duration of the present outage in seconds, 0 if there is none."""
        started = self.store.outage_started
        return time.monotonic() - started if started is not None else 0.0


def decode_text(stored: StoredObject) -> StoredText:
    """Return the text object that is stored; raise PlatformError if its spec is not a string."""
    try:
        value = decode_json(stored.spec, str)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"the spec of object {stored.name} is not a string: {error}") from error
    return StoredText(stored.name, stored.revision, value)


def decode_texts(objects: Iterable[StoredObject]) -> Iterator[StoredText]:
    """Yield the objects that are texts; log the others."""
    for stored in objects:
        try:
            yield decode_text(stored)
        except PlatformError as error:
            log(Event.DOCUMENT_UNREADABLE, name=stored.name, fault=str(error))
