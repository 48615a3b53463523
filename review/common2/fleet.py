"""Small deployment for a case: router processes, the store, engines, and a platform that restarts.

The routers are started with the command of the deploy file. The store and the engines are the
stand-ins of the project; they run in the process of the case.
"""

import asyncio
import contextlib
import json
import os
import random
import socket
import time
import tomllib
from pathlib import Path

from aiohttp import web

from standins.platform import Entry, PlatformStandin
from standins.platform_engine import PlatformEngine

__all__ = ["HOST", "KEY", "Fleet", "Record", "is_disturbed", "route"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-one"
ROLE = "router"
# Figures of the small deployments.
GRACE_S = 8
MEMORY_MB = 300
MAX_FDS = 4100
KV_TOKENS = 564_648
SLOTS = 64
FAILURE_DOMAINS = 3
START_TIMEOUT_S = 20.0
SETTLE_S = 3.0
FIRST_PORT, LAST_PORT = 12_000, 30_000
MIB = 1 << 20


def is_disturbed() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the desired state."""
    fields = {
        "name": f"r{prefix}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 15000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
    }
    return fields | changes


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def show(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Fleet:
    """Routers on loopback addresses of their own; use as an async context manager."""

    def __init__(self, scratch: Path, record: Record, routers: int = 3):
        self.scratch = scratch
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = self.deploy["roles"][ROLE]["run"].split()
        self.metrics_port = int(self.deploy["roles"][ROLE]["metrics"].partition("/")[0])
        self.store = PlatformStandin()
        self.store_port = 0
        self.engines: list[PlatformEngine] = []
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.version = 0
        self.stack = contextlib.AsyncExitStack()
        self.addresses, self.first_port = self.find_addresses(routers)

    def find_addresses(self, count: int) -> tuple[list[str], int]:
        """Return loopback addresses, and the first of four ports that are free on all of them."""
        while True:
            network = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
            addresses = [f"{network}.{number + 1}" for number in range(count)]
            first = random.randrange(FIRST_PORT, LAST_PORT)
            ports = [*range(first, first + 4), self.metrics_port]
            if all(is_free(address, port) for address in addresses for port in ports):
                return addresses, first

    async def __aenter__(self):
        runner = web.AppRunner(self.store.app(), access_log=None, handler_cancellation=True)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        listening = socket.create_server(("127.0.0.1", 0))
        self.store_port = listening.getsockname()[1]
        await web.SockSite(runner, listening).start()
        return self

    async def __aexit__(self, *details):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        for engine in self.engines:
            await engine.stop()
        await self.stack.aclose()

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as an operator or an engine does."""
        entry = self.store.objects.get(kind, {}).get(name)
        entry = entry or Entry(name, 0, self.store.revision + 1)
        entry.spec = spec
        await self.store.record_change(kind, entry)

    async def add_engine(self, service: str, kind: type = PlatformEngine, **options):
        """Start an engine and register it."""
        engine = kind(f"i-{len(self.engines)}", service, **options)
        await engine.start()
        self.engines.append(engine)
        await self.register(engine)
        return engine

    async def register(self, engine: PlatformEngine) -> None:
        """Write the registration of an engine."""
        domain = f"zone-{self.engines.index(engine) % FAILURE_DOMAINS}"
        await self.put("servers", engine.id, engine.registration(zone=domain))

    async def configure(self, *routes: dict) -> None:
        """Write a desired state."""
        self.version += 3
        engine = {"slots": SLOTS, "kv_capacity_tokens": KV_TOKENS}
        spec = {
            "version": self.version,
            "routes": list(routes),
            "services": [{"name": "model", "engine": engine}, {"name": "desk"}],
            "tenants": [{"name": "crews", "api_keys": [KEY]}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        await self.put("config", "main", spec)

    def settings(self, number: int) -> dict:
        """Return the settings of a router."""
        address = self.addresses[number]
        front, readiness, peers, last_peers = range(self.first_port, self.first_port + 4)
        return {
            "node_name": f"front-{number}",
            "role": ROLE,
            "machine_class": "front",
            "serves": ["front"],
            "ip": address,
            "zone": f"zone-{number % FAILURE_DOMAINS}",
            "region": "region",
            "listen": {"front": f"{address}:{front}", "readiness": f"{address}:{readiness}"},
            "internal_ports": [peers, last_peers],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": MAX_FDS,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "bounds": {
                "grace_s": GRACE_S,
                "drain_ms": 2000,
                "stable_window_ms": 3000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 54,
                "cap_x": 2,
            },
            "platform": {"address": f"127.0.0.1:{self.store_port}", "form": "objects"},
        }

    async def start_router(self, number: int) -> None:
        """Start a router as the platform does."""
        path = self.scratch / f"front-{number}.json"
        path.write_text(json.dumps(self.settings(number)))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= self.deploy["roles"][ROLE].get("env", {})
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MARJORAMSPOOL_BOOT": str(path),
        }
        with (self.scratch / f"front-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def start(self) -> None:
        """Start all routers and wait until they are ready and know each other."""
        for number in range(len(self.addresses)):
            await self.start_router(number)
        async with asyncio.timeout(START_TIMEOUT_S):
            for number in range(len(self.addresses)):
                while not await self.is_ready(number):
                    await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def is_ready(self, number: int) -> bool:
        """Return whether a router answers the readiness probe with 200."""
        path = "/marjoramspool/readyz"
        try:
            answer = await exchange(
                (self.addresses[number], self.first_port + 1), "GET", path, {"Host": "x"}, b"", 1.0
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer[0] == 200

    def memory_mb(self, number: int) -> float:
        """Return the resident memory of a router in MiB, 0 if it does not run."""
        process = self.processes[number]
        if process.returncode is not None:
            return 0.0
        try:
            text = Path(f"/proc/{process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / MIB

    async def send(
        self,
        number: int,
        path: str,
        request: str,
        headers: dict[str, str] | None = None,
        method: str = "POST",
        body: bytes = b"",
        deadline_ms: int = 15000,
        timeout_s: float | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request on a new connection; return status, headers and body.

        Raise OSError or EOFError if the answer is missing or breaks off, TimeoutError if none
        comes in time.
        """
        fields = {
            "Host": HOST,
            "X-Request-Id": request,
            "Api-Key": KEY,
            "X-Request-Deadline-Ms": str(deadline_ms),
        } | (headers or {})
        wait_s = deadline_ms / 1000.0 if timeout_s is None else timeout_s
        endpoint = (self.addresses[number], self.first_port)
        return await exchange(endpoint, method, path, fields, body, wait_s)


async def exchange(
    endpoint: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request and read the whole answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*endpoint)
        try:
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            # Bytes that are no text are passed in as surrogates.
            head = "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape")
            writer.write(head + body)
            return await read_answer(reader)
        finally:
            writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one answer to its end."""
    block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = block.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return status, headers, await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise EOFError("the answer broke off")
        size = int(line.strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return status, headers, body
        body += data[:size]


def is_free(address: str, port: int) -> bool:
    """Return whether nothing listens on a port of an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True
