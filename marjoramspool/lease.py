"""Leases in the object API; a lease's version is its fencing number."""

import time
import uuid
from contextlib import suppress

import msgspec

from marjoramspool.storage import Platform, PlatformError, Written

__all__ = ["KIND", "Lease"]

KIND = "leases"


class Holding(msgspec.Struct, frozen=True):
    """Hold the stored form of a lease; `until` is a Unix time in seconds."""

    holder: str
    token: str
    until: float


class Lease:
    """Hold one lease for a bounded time.

    The holder counts its life from before the renewal was sent, on a clock that does not jump;
    others wait for the whole life after they last saw the object change.
    """

    __slots__ = (
        "clock",
        "holder",
        "life_s",
        "name",
        "platform",
        "seen",
        "token",
        "until",
        "version",
    )

    def __init__(
        self, name: str, holder: str, life_s: float, platform: Platform, clock=time.monotonic
    ):
        self.name = name
        self.holder = holder
        self.life_s = life_s
        self.platform = platform
        self.clock = clock
        self.token = uuid.uuid4().hex
        self.version = 0
        self.until = 0.0
        self.seen: tuple[int, float] = (0, 0.0)

    def is_held(self, margin_s: float = 0.0) -> bool:
        """Tell whether the lease is held now, and for a margin longer."""
        return self.clock() + margin_s < self.until

    async def keep(self) -> bool:
        """Take or renew the lease; return whether it is held."""
        with suppress(PlatformError):
            await self.try_keep()
        return self.is_held()

    async def try_keep(self) -> None:
        """Take or renew the lease; raise PlatformError if the platform does not answer."""
        started = self.clock()
        stored = await self.platform.read(KIND, self.name)
        holding = None
        if stored.value is not None:
            holding = msgspec.json.decode(stored.value, type=Holding)
        is_mine = holding is not None and holding.token == self.token
        if not is_mine:
            self.until = 0.0
            if holding is not None and not self.is_expired(stored.version):
                return
        value = Holding(self.holder, self.token, time.time() + self.life_s)
        text = msgspec.json.encode(value).decode()
        written = await self.platform.write(KIND, self.name, text, stored.version)
        if isinstance(written, Written):
            self.version = written.version
            self.until = started + self.life_s
        else:
            self.until = 0.0

    def is_expired(self, version: int) -> bool:
        """Tell whether another's lease stood unchanged for a whole life."""
        now = self.clock()
        if self.seen[0] != version:
            self.seen = (version, now)
            return False
        return now - self.seen[1] > self.life_s

    async def give_up(self) -> None:
        """Delete the lease so that another router can take it at once."""
        if not self.is_held():
            return
        self.until = 0.0
        try:
            await self.platform.write(KIND, self.name, None, self.version)
        except PlatformError:
            return
