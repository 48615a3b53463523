"""Crowds of clients that misbehave, and meters of what they make a process hold."""

import asyncio
import resource
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Crowd", "Meter", "Usage", "limit_descriptors", "repeat", "retry"]

CONNECT_TIMEOUT_S = 5.0
SAMPLE_PERIOD_S = 0.05
RETRY_PERIOD_S = 0.2
HTTP_OK = 200
RECEIVE_QUEUE_COLUMN = 4
LOCAL_ADDRESS_COLUMN = 1
BYTES_PER_KIB = 1024


def repeat(part: bytes, count: int, pause_s: float = 0.0) -> Iterator[bytes | float]:
    """Yield a part some times, each followed by a pause in seconds if one is given."""
    for _ in range(count):
        yield part
        if pause_s:
            yield pause_s


async def retry(attempt: Callable[[], Awaitable[int | None]], wait_s: float) -> int | None:
    """Try until the status is 200, or for some seconds; return the last status."""
    deadline = asyncio.get_running_loop().time() + wait_s
    status = await attempt()
    while status != HTTP_OK and asyncio.get_running_loop().time() < deadline:
        await asyncio.sleep(RETRY_PERIOD_S)
        status = await attempt()
    return status


def limit_descriptors(pid: int, count: int) -> None:
    """Limit the descriptors that a process of this user may open."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


class Crowd:
    """Connections that send what they are told and then stay open; an async context manager."""

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []
        self.failures = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def send(
        self,
        count: int,
        script: Callable[[int], Iterable[bytes | float]],
        settle_s: float,
        reads: bool = False,
    ) -> None:
        """Have `count` clients send their parts, at most `settle_s` seconds long.

        `script` returns the parts of a client by its number: bytes to send, or pauses in seconds.
        They read their answers only with `reads`.
        """
        done = [asyncio.Event() for _ in range(count)]
        for number in range(count):
            client = self.run_client(script(number), done[number], reads)
            self.tasks.append(asyncio.create_task(client))
        with suppress(TimeoutError):
            async with asyncio.timeout(settle_s):
                for event in done:
                    await event.wait()

    async def run_client(
        self, parts: Iterable[bytes | float], done: asyncio.Event, reads: bool
    ) -> None:
        """Connect, send the parts, and hold the connection open."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # A small buffer: what the process does not read stays with the client.
                reader, writer = await asyncio.open_connection(self.host, self.port, limit=4096)
        except (OSError, TimeoutError):
            self.failures += 1
            done.set()
            return
        drain = asyncio.create_task(discard(reader)) if reads else None
        try:
            await send_parts(writer, parts)
            done.set()
            await asyncio.Event().wait()
        finally:
            done.set()
            if drain:
                drain.cancel()
            writer.transport.abort()


async def discard(reader: asyncio.StreamReader) -> None:
    """Read and drop what arrives."""
    with suppress(OSError):
        while await reader.read(65_536):
            pass


async def send_parts(writer: asyncio.StreamWriter, parts: Iterable[bytes | float]) -> None:
    """Send parts one after the other; a closed connection ends them."""
    with suppress(OSError):
        for part in parts:
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            writer.write(part)
            await writer.drain()


@dataclass(slots=True)
class Usage:
    """Largest usage seen: memory and unread bytes together, in bytes, and open descriptors."""

    bytes: int = 0
    descriptors: int = 0


class Meter:
    """Samples the usage of a process all the while; use as an async context manager.

    Memory is resident memory plus the bytes that the kernel has received on `ports` for the
    process and that it has not read.
    """

    def __init__(self, pid: int, ports: Iterable[int]):
        self.pid = pid
        self.ports = frozenset(ports)
        self.peak = Usage()
        self.task: asyncio.Task | None = None

    async def __aenter__(self):
        self.task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, *details):
        self.task.cancel()
        with suppress(asyncio.CancelledError, OSError):
            await self.task

    async def run(self) -> None:
        """Take samples until cancelled or the process has ended."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def sample(self) -> Usage:
        """Take one sample and return the largest usage so far."""
        self.peak.bytes = max(
            self.peak.bytes, self.resident("VmHWM"), self.resident("VmRSS") + self.unread()
        )
        self.peak.descriptors = max(self.peak.descriptors, self.descriptors())
        return self.peak

    def resident(self, field: str) -> int:
        """Return a field of the memory of the process, in bytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith(field):
                return int(line.split()[1]) * BYTES_PER_KIB
        return 0

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return sum(1 for _ in Path(f"/proc/{self.pid}/fd").iterdir())

    def unread(self) -> int:
        """Return the bytes that have been received on the ports and not been read."""
        rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
        return sum(
            int(row[RECEIVE_QUEUE_COLUMN].split(":")[1], 16)
            for row in rows
            if int(row[LOCAL_ADDRESS_COLUMN].split(":")[1], 16) in self.ports
        )
