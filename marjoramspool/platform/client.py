"""Client of the platform's object API, host list and weight store."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp
import msgspec

from marjoramspool.events import Event, log
from marjoramspool.http import new_session
from marjoramspool.tokens import TokenBucket

__all__ = [
    "Conflict",
    "Host",
    "Platform",
    "PlatformError",
    "PlatformOutError",
    "Stored",
    "WriteUncertainError",
    "Written",
]

BURST_S = 2.0
HTTP_CONFLICT = (409, 412)
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500


class PlatformError(Exception):
    """Report that the platform did not do what was asked."""


class PlatformOutError(PlatformError):
    """Report that a call certainly had no effect."""


class WriteUncertainError(PlatformError):
    """Report that a write may have taken effect; read the object back."""


class Stored(msgspec.Struct, frozen=True):
    """Hold one object; `value` is None if it was deleted or never existed."""

    name: str
    version: int
    value: str | None


class Listing(msgspec.Struct, frozen=True):
    """Hold objects that changed, and the version of the store."""

    version: int
    objects: list[Stored]


class Host(msgspec.Struct, frozen=True):
    """Hold one entry of the host list."""

    name: str
    role: str
    address: str
    domain: str = ""
    operators: str = ""
    leaving: bool = False


class HostList(msgspec.Struct, frozen=True):
    """Hold the host list."""

    hosts: list[Host]


class VersionBody(msgspec.Struct, frozen=True):
    """Hold the version that a write gave or met."""

    version: int


@dataclass(slots=True, frozen=True)
class Written:
    """State that a conditional write took effect."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """State that the object has another version than the writer expected."""

    version: int


class Platform:
    """Call the platform within a budget of calls a second."""

    __slots__ = ("address", "budget", "bytes", "calls", "out_since", "session", "timeout_s")

    def __init__(self, address: str, timeout_s: float, calls_per_s: float):
        self.address = address
        self.timeout_s = timeout_s
        self.budget = TokenBucket(calls_per_s, calls_per_s * BURST_S)
        self.calls = 0
        self.bytes = 0
        self.out_since: float | None = None
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        self.session = new_session(self.timeout_s)
        return self

    async def __aexit__(self, *details):
        await self.session.close()

    async def read(self, kind: str, name: str) -> Stored:
        """Read one object; raise PlatformOutError if the platform does not answer."""
        status, body = await self.call("GET", f"/v1/objects/{kind}/{name}")
        if status == HTTP_NOT_FOUND:
            return Stored(name, decode(VersionBody, body).version, None)
        return decode(Stored, body)

    async def write(
        self, kind: str, name: str, value: str | None, expect: int
    ) -> Written | Conflict:
        """Write an object if it still has a version (0: never existed); None deletes it.

        Raise PlatformOutError if nothing was written, WriteUncertainError if that is not known.
        """
        headers = {"If-Match": str(expect)}
        method = "PUT" if value is not None else "DELETE"
        data = value.encode() if value is not None else None
        try:
            status, body = await self.call(
                method, f"/v1/objects/{kind}/{name}", data=data, headers=headers
            )
        except PlatformOutError:
            raise
        except PlatformError as error:
            raise WriteUncertainError(str(error)) from error
        version = decode(VersionBody, body).version
        return Conflict(version) if status in HTTP_CONFLICT else Written(version)

    async def list_objects(self, kind: str) -> Listing:
        """Read all objects of a kind."""
        _, body = await self.call("GET", f"/v1/objects/{kind}")
        return decode(Listing, body)

    async def watch(self, kind: str, after: int, wait_s: float) -> Listing:
        """Wait for objects of a kind that are newer than a version, for a bounded time."""
        path = f"/v1/watch/{kind}?after={after}&wait={wait_s}"
        _, body = await self.call("GET", path, wait_s=wait_s)
        return decode(Listing, body)

    async def hosts(self) -> list[Host]:
        """Read the host list."""
        _, body = await self.call("GET", "/v1/hosts")
        return decode(HostList, body).hosts

    async def take_weights(self, amount: int) -> bool:
        """Ask the weight store for one load; return False if it refuses for now."""
        status, _ = await self.call("POST", "/v1/weights", data=str(amount).encode())
        return status < HTTP_CONFLICT[0]

    async def budgeted(self) -> None:
        """Wait for the budget; raise PlatformOutError if that takes longer than a call may."""
        wait_s = self.budget.wait_s()
        if wait_s > self.timeout_s:
            log(Event.PLATFORM_BUDGET, wait_s=round(wait_s, 3))
            raise PlatformOutError("the router's budget of platform calls is spent")
        while not self.budget.take():
            await asyncio.sleep(max(0.001, self.budget.wait_s()))

    async def call(
        self, method: str, path: str, data=None, headers=None, wait_s: float = 0.0
    ) -> tuple[int, bytes]:
        """Make one call; raise PlatformOutError if it certainly had no effect."""
        await self.budgeted()
        self.calls += 1
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_s + wait_s, sock_connect=min(1.0, self.timeout_s)
        )
        url = f"http://{self.address}{path}"
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                self.count_bytes(path, data, response, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self.note_out(True)
            raise PlatformOutError(f"the platform takes no connection: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            self.note_out(True)
            raise PlatformError(f"the platform did not answer: {error!r}") from error
        if response.status >= HTTP_SERVER_ERROR:
            self.note_out(True)
            raise PlatformOutError(f"the platform answered {response.status}")
        self.note_out(False)
        return response.status, body

    def count_bytes(self, path: str, data: bytes | None, response, body: bytes) -> None:
        """Count the bytes of one call, both ways."""
        sent = (
            len(path)
            + len(data or b"")
            + sum(len(key) + len(value) + 4 for key, value in response.request_info.headers.items())
        )
        received = len(body) + sum(len(key) + len(value) + 4 for key, value in response.raw_headers)
        self.bytes += sent + received

    def out_s(self) -> float:
        """Return for how many seconds the platform has not answered."""
        return time.monotonic() - self.out_since if self.out_since is not None else 0.0

    def note_out(self, is_out: bool) -> None:
        """Log when the platform goes out or comes back."""
        if is_out != (self.out_since is not None):
            self.out_since = time.monotonic() if is_out else None
            log(Event.PLATFORM_OUT if is_out else Event.PLATFORM_BACK, address=self.address)


def decode(kind: type, body: bytes):
    """Decode a body; raise PlatformError if it is malformed."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlatformError(f"the platform answered with a malformed body: {error}") from error
