"""Leases in the platform's object store; the version of a lease is its fencing number."""

import time
import uuid
from contextlib import suppress

import msgspec

from marjoramspool.clock import now
from marjoramspool.storage import Platform, PlatformError, StoredText, Written
from marjoramspool.store_versions import combine, epoch_of
from marjoramspool.untrusted_json import decode_json

__all__ = ["KIND", "Lease"]

KIND = "leases"


class LeaseRecord(msgspec.Struct, frozen=True):
    """Stored form of a lease; `until` is the Unix time of its expiry in seconds."""

    holder: str
    token: str
    until: float


class Lease:
    """Lease that one router at a time holds for a bounded duration.

    The holder counts the duration from before it sent the renewal, on a clock that includes time
    in which its host was suspended. Other
    routers wait for the whole duration after they last observed a change of the object.

    Fault: the store is restored from a copy that forgot who took the lease last. A lease of an
    earlier epoch is not held until its holder has renewed it, and whoever does not hold it waits
    for the whole duration, whatever the copy says.
    """

    __slots__ = (
        "clock",
        "duration_s",
        "epoch",
        "expires_at",
        "holder",
        "last_observed",
        "name",
        "platform",
        "token",
        "version",
    )

    def __init__(self, name: str, holder: str, duration_s: float, platform: Platform, clock=now):
        self.name = name
        self.holder = holder
        self.duration_s = duration_s
        self.platform = platform
        self.clock = clock
        self.token = uuid.uuid4().hex
        self.version = 0
        # Epoch of the store in which it was last known who holds the lease.
        self.epoch = 0
        self.expires_at = 0.0
        self.last_observed: tuple[int, float] = (0, 0.0)

    def is_held(self, margin_s: float = 0.0) -> bool:
        """Return whether the lease is held now and for at least `margin_s` longer."""
        is_current = epoch_of(self.version) == self.platform.epoch
        return is_current and self.clock() + margin_s < self.expires_at

    async def acquire_or_renew(self) -> bool:
        """Acquire or renew the lease, ignoring platform failures; return whether it is held."""
        with suppress(PlatformError):
            await self.acquire_or_raise()
        return self.is_held()

    async def acquire_or_raise(self) -> None:
        """Acquire or renew the lease; raise PlatformError if the platform does not answer."""
        started_at = self.clock()
        stored = await self.platform.read(KIND, self.name)
        if not self.may_write(stored):
            self.expires_at = 0.0
            return
        self.epoch = self.platform.epoch
        value = LeaseRecord(self.holder, self.token, time.time() + self.duration_s)
        text = msgspec.json.encode(value).decode()
        written = await self.platform.write(KIND, self.name, text, stored.version)
        if isinstance(written, Written):
            self.version = written.version
            self.expires_at = started_at + self.duration_s
        else:
            self.expires_at = 0.0

    def may_write(self, stored: StoredText) -> bool:
        """Return whether this router may acquire or renew the lease that is stored."""
        was_restored = self.epoch not in (0, self.platform.epoch)
        if was_restored:
            is_unexpired = self.clock() < self.expires_at
            version = stored.version or combine(self.platform.epoch, 0)
            return is_unexpired or self.is_expired(version)
        if stored.value is None:
            return True
        record = decode_json(stored.value, LeaseRecord)
        return record.token == self.token or self.is_expired(stored.version)

    def is_expired(self, version: int) -> bool:
        """Return whether another router's lease has not changed for more than the duration."""
        now_s = self.clock()
        if self.last_observed[0] != version:
            self.last_observed = (version, now_s)
            return False
        return now_s - self.last_observed[1] > self.duration_s

    async def release(self) -> None:
        """Delete the lease if it is held, so that another router can acquire it without waiting."""
        if not self.is_held():
            return
        self.expires_at = 0.0
        try:
            await self.platform.write(KIND, self.name, None, self.version)
        except PlatformError:
            return
