"""The product's own objects in the platform's store: texts, within a budget of calls."""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from marjoramspool.events import Event, log
from marjoramspool.peers.discovery import KIND as ROUTERS
from marjoramspool.peers.discovery import RouterSpec, read_spec
from marjoramspool.platform.store import (
    Conflict,
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
    Store,
    StoredObject,
    WriteUncertainError,
)
from marjoramspool.platform.store import Written as ObjectWritten
from marjoramspool.token_bucket import TokenBucket

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
    """Hold one object; `value` is None if there is none."""

    name: str
    version: int
    value: str | None


@dataclass(slots=True, frozen=True)
class Listing:
    """Hold objects, and the version of the store; a whole listing names all that there are."""

    version: int
    objects: list[StoredText]
    is_full: bool


@dataclass(slots=True, frozen=True)
class Written:
    """State that a conditional write took effect."""

    version: int


@dataclass(slots=True, frozen=True)
class VersionConflict:
    """State that the object has another version than the writer expected, 0 if there is none."""

    version: int


class Platform:
    """Keep texts in the store within a budget of calls a second."""

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
        """Return how many calls were made."""
        return self.store.calls

    @property
    def bytes(self) -> int:
        """Return how many bytes the calls took, both ways."""
        return self.store.bytes

    async def read(self, kind: str, name: str) -> StoredText:
        """Read one object; raise PlatformError."""
        await self.wait_for_budget()
        stored = await self.store.read(kind, name)
        return decode_text(stored) if stored else StoredText(name, 0, None)

    async def write(
        self, kind: str, name: str, value: str | None, expected_version: int
    ) -> Written | VersionConflict:
        """Write an object if it still has a version (0: there is none); None deletes it.

        Raise PlatformOutError if nothing was written, WriteUncertainError if that is not known.
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
        """Read all objects of a kind; raise PlatformError."""
        await self.wait_for_budget()
        listing = await self.store.list_objects(kind)
        return Listing(listing.revision, [decode_text(o) for o in listing.objects], is_full=True)

    async def watch(self, kind: str, after_version: int, wait_s: float) -> Listing:
        """Wait a bounded time for objects that changed after a version; list all if need be.

        Raise PlatformError.
        """
        await self.wait_for_budget()
        try:
            changes, version = await self.store.watch(kind, after_version, wait_s)
        except HistoryGoneError:
            return await self.list_objects(kind)
        objects = [
            StoredText(change.object.name, version, None)
            if change.is_removed
            else decode_text(change.object)
            for change in changes
        ]
        return Listing(version, objects, is_full=False)

    async def register(self, name: str, spec: RouterSpec) -> None:
        """Enter a router, or change its entry; raise PlatformError."""
        await self.wait_for_budget()
        stored = await self.store.read(ROUTERS, name)
        if stored is None or read_spec(stored) != spec:
            await self.wait_for_budget()
            await self.store.write(ROUTERS, name, spec, stored.revision if stored else 0)

    async def unregister(self, name: str) -> None:
        """Remove a router's entry; raise PlatformError."""
        await self.wait_for_budget()
        stored = await self.store.read(ROUTERS, name)
        if stored is not None:
            await self.wait_for_budget()
            await self.store.delete(ROUTERS, name, stored.revision)

    async def routers(self) -> dict[str, RouterSpec]:
        """Return the entries of all routers; raise PlatformError."""
        await self.wait_for_budget()
        listing = await self.store.list_objects(ROUTERS)
        specs = {stored.name: read_spec(stored) for stored in listing.objects}
        return {name: spec for name, spec in specs.items() if spec}

    async def wait_for_budget(self) -> None:
        """Wait for the budget; raise PlatformOutError if that takes longer than a call may."""
        wait_s = self.budget.wait_s()
        if wait_s > self.store.timeout_s:
            log(Event.PLATFORM_BUDGET, wait_s=round(wait_s, 3))
            raise PlatformUnavailableError("the router's budget of platform calls is spent")
        while not self.budget.try_consume():
            await asyncio.sleep(max(0.001, self.budget.wait_s()))

    def outage_s(self) -> float:
        """Return for how many seconds the platform has not answered."""
        started = self.store.outage_started
        return time.monotonic() - started if started is not None else 0.0


def decode_text(stored: StoredObject) -> StoredText:
    """Return an object whose spec is a text; raise PlatformError if it is none."""
    try:
        value = msgspec.json.decode(stored.spec, type=str)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"object {stored.name} holds no text: {error}") from error
    return StoredText(stored.name, stored.revision, value)
