"""Leases in the platform's object store; the version of a lease is its fencing number."""

import time
import uuid
from contextlib import suppress

import msgspec

from marjoramspool.storage import Platform, PlatformError, Written

__all__ = ["KIND", "Lease"]

KIND = "leases"


class LeaseRecord(msgspec.Struct, frozen=True):
    """Stored form of a lease; `until` is the Unix time of its expiry in seconds."""

    holder: str
    token: str
    until: float


class Lease:
    """Lease that one router at a time holds for a bounded duration.

    The holder counts the duration on a monotonic clock, from before it sent the renewal. Other
    routers wait for the whole duration after they last observed a change of the object.
    """

    __slots__ = (
        "clock",
        "duration_s",
        "expires_at",
        "holder",
        "last_observed",
        "name",
        "platform",
        "token",
        "version",
    )

    def __init__(
        self, name: str, holder: str, duration_s: float, platform: Platform, clock=time.monotonic
    ):
        self.name = name
        self.holder = holder
        self.duration_s = duration_s
        self.platform = platform
        self.clock = clock
        self.token = uuid.uuid4().hex
        self.version = 0
        self.expires_at = 0.0
        self.last_observed: tuple[int, float] = (0, 0.0)

    def is_held(self, margin_s: float = 0.0) -> bool:
        """Return whether the lease is held now and for at least `margin_s` longer."""
        return self.clock() + margin_s < self.expires_at

    async def acquire_or_renew(self) -> bool:
        """Acquire or renew the lease, ignoring platform failures; return whether it is held."""
        with suppress(PlatformError):
            await self.acquire_or_raise()
        return self.is_held()

    async def acquire_or_raise(self) -> None:
        """Acquire or renew the lease; raise PlatformError if the platform does not answer."""
        started_at = self.clock()
        stored = await self.platform.read(KIND, self.name)
        record = None
        if stored.value is not None:
            record = msgspec.json.decode(stored.value, type=LeaseRecord)
        is_own = record is not None and record.token == self.token
        if not is_own:
            self.expires_at = 0.0
            if record is not None and not self.is_expired(stored.version):
                return
        value = LeaseRecord(self.holder, self.token, time.time() + self.duration_s)
        text = msgspec.json.encode(value).decode()
        written = await self.platform.write(KIND, self.name, text, stored.version)
        if isinstance(written, Written):
            self.version = written.version
            self.expires_at = started_at + self.duration_s
        else:
            self.expires_at = 0.0

    def is_expired(self, version: int) -> bool:
        """Return whether another router's lease has not changed for more than the duration."""
        now = self.clock()
        if self.last_observed[0] != version:
            self.last_observed = (version, now)
            return False
        return now - self.last_observed[1] > self.duration_s

    async def release(self) -> None:
        """Delete the lease if it is held, so that another router can acquire it without waiting."""
        if not self.is_held():
            return
        self.expires_at = 0.0
        try:
            await self.platform.write(KIND, self.name, None, self.version)
        except PlatformError:
            return
