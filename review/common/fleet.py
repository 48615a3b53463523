"""Routers as separate processes with the command of the deploy file, and clients for them."""

import asyncio
import json
import math
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

__all__ = ["HOST", "KEY", "Fleet", "Record", "Router", "is_troubled", "route"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
MAX_SCRIPT_S = 115.0
ZONES = ["hu-central-a", "hu-central-b", "hu-central-c", "hu-central-d"]
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "revoke_strict": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 54,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "cap_x": 2,
}


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, prefix: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the desired state."""
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 15000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
    }
    return fields | changes


class Record:
    """The record of a script, with times in seconds since its start."""

    def __init__(self, path: Path):
        self.started = time.monotonic()
        self.file = path.open("w")

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        at = (time.monotonic() if at is None else at) - self.started
        print(f"{at:8.3f} {text}", file=self.file, flush=True)

    def verdict(self, is_broken: bool, text: str) -> None:
        """Write whether the rule held."""
        self.write(("BROKEN " if is_broken else "HELD ") + text)
        print(("BROKEN " if is_broken else "HELD ") + text)


class Router:
    """One process of the router role."""

    def __init__(self, name: str, ip: str, zone: str, ports: list[int], folder: Path, store: str):
        self.name, self.ip, self.zone, self.ports = name, ip, zone, ports
        self.folder, self.store = folder, store
        self.process: asyncio.subprocess.Process | None = None
        # When the process was started last; it is in touch only some seconds later.
        self.started_at = math.inf

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.ports[0]}"

    @property
    def readiness(self) -> str:
        """Return the address of the readiness probe."""
        return f"{self.ip}:{self.ports[1]}"

    def write_settings(self) -> Path:
        """Write the settings file; return its path."""
        path = self.folder / f"{self.name}.json"
        settings = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "hu-central",
            "zones": dict.fromkeys(ZONES, "hu-central"),
            "listen": {"front": self.front, "readiness": self.readiness},
            "internal_ports": [self.ports[2], self.ports[2] + 15],
            "seeds": [],
            "bootstrap": True,
            "failure_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover", "engine", "stream"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        path.write_text(json.dumps(settings))
        return path

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        log = (self.folder / f"{self.name}.log").open("ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= role.get("env", {})
        env |= {
            "MARJORAMSPOOL_BOOT": str(self.write_settings()),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.started_at = time.monotonic()

    def is_in_touch(self, at: float) -> bool:
        """Return whether the process had run for `stable_window_ms` at a moment."""
        return at >= self.started_at + BOUNDS["stable_window_ms"] / 1000.0

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End what is still running."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Fleet:
    """Routers and clients of one script, on loopback addresses of their own."""

    def __init__(self, folder: Path, store_address: str, net: str):
        self.folder, self.store_address, self.net = folder, store_address, net
        self.routers: list[Router] = []
        self.ports = free_ports(f"{net}.1", 3)
        self.session: aiohttp.ClientSession | None = None

    async def add_router(self, wait: bool = True) -> Router:
        """Start one more router."""
        number = len(self.routers) + 1
        router = Router(
            f"front-{number}",
            f"{self.net}.{10 + number}",
            ZONES[(number - 1) % len(ZONES)],
            self.ports,
            self.folder,
            self.store_address,
        )
        self.routers.append(router)
        await router.start()
        if wait:
            await self.wait_ready(router)
        return router

    async def wait_ready(self, router: Router, timeout_s: float = 15.0) -> None:
        """Wait until a router says that it is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready(router):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{router.name} is not ready after {timeout_s} s")

    async def is_ready(self, router: Router) -> bool:
        """Return whether a router says that it is ready."""
        url = f"http://{router.readiness}/marjoramspool/readyz"
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def stop(self) -> None:
        """End what is still running."""
        for router in self.routers:
            await router.stop()


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free; the last begins a range for the routers' own use."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 50000)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        if all(abs(port - other) > 20 for other in ports):
            ports.append(port)
    return ports


@asynccontextmanager
async def running_fleet():
    """Yield a fleet without routers; stop all of its processes at the end."""
    net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    (store_port,) = free_ports(f"{net}.2", 1)
    fleet = Fleet(folder, f"{net}.2:{store_port}", net)
    try:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        ) as session:
            fleet.session = session
            yield fleet
    finally:
        await fleet.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)


def run_script(play) -> None:
    """Run a script's coroutine; exit with 1 if it returns True, 0 for False, 2 if it cannot run."""

    async def play_until_stopped() -> bool:
        task = asyncio.create_task(asyncio.wait_for(play(), MAX_SCRIPT_S))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        is_broken = asyncio.run(play_until_stopped())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(1 if is_broken else 0)
