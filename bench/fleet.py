"""Fleet of real processes on loopback: stand-ins and routers."""

import asyncio
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import aiohttp
import msgspec

from bench.documents import router_settings
from bench.ports import free_ports

__all__ = ["Fleet", "Process", "RouterProcess"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


class Process:
    """One started process, whose output goes to a file."""

    def __init__(self, name: str, arguments: list[str], directory: Path):
        self.name = name
        self.log = directory / f"{name}.log"
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=output, stderr=output
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> int:
        """Kill the process and return its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        return self.popen.wait(STOP_TIMEOUT_S)


class RouterProcess(Process):
    """One router process and its ports."""

    def __init__(self, name: str, domain: str, platform: int, directory: Path, **options):
        self.ports = free_ports(3)
        self.domain = domain
        settings = directory / f"{name}.ini"
        settings.write_text(router_settings(name, domain, self.ports, platform, **options))
        super().__init__(name, ["marjoramspool.daemon", "--settings", str(settings)], directory)

    @property
    def callers(self) -> str:
        """Return the base URL for callers."""
        return f"http://127.0.0.1:{self.ports[0]}"


class Fleet:
    """Processes that are killed on exit; use as an async context manager."""

    def __init__(self):
        self.stack = ExitStack()
        self.processes: dict[str, Process] = {}
        self.routers: list[RouterProcess] = []
        self.platform = 0
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        self.directory = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *details):
        await self.session.close()
        for process in self.processes.values():
            process.end()
        self.stack.close()

    def start(self, process: Process) -> Process:
        """Register a started process to be killed on exit."""
        self.processes[process.name] = process
        return process

    async def standin(self, kind: str, name: str, **options) -> int:
        """Start a stand-in and return its port."""
        (port,) = free_ports(1)
        arguments = ["standins.run", kind, "--port", str(port)]
        for key, value in options.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        self.start(Process(name, arguments, self.directory))
        await self.wait_for(f"http://127.0.0.1:{port}/_up")
        if kind == "platform":
            self.platform = port
        return port

    async def router(self, name: str, domain: str, **options) -> RouterProcess:
        """Start a router."""
        router = RouterProcess(name, domain, self.platform, self.directory, **options)
        self.start(router)
        self.routers.append(router)
        return router

    async def wait_for(self, url: str, status: int | None = None) -> None:
        """Wait until a URL answers, with a status if one is given."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                async with self.session.get(url) as response:
                    if status in (None, response.status):
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"{url} did not answer within {START_TIMEOUT_S:g} s\n{self.logs()[-4000:]}"
        )

    async def wait_ready(self) -> None:
        """Wait until every router is ready."""
        for router in self.routers:
            await self.wait_for(f"{router.callers}/readyz", 200)

    def logs(self) -> str:
        """Return the last log lines of every process."""
        parts = []
        for process in self.processes.values():
            lines = process.log.read_text(errors="replace").splitlines()[-15:]
            parts.append(f"--- {process.name}\n" + "\n".join(lines))
        return "\n".join(parts)

    async def arm_fault(self, port: int, kind: str, **details) -> None:
        """Arm a fault at a stand-in."""
        body = msgspec.json.encode({"kind": kind, **details})
        async with self.session.post(f"http://127.0.0.1:{port}/_fault", data=body) as response:
            response.raise_for_status()

    async def read_json(self, url: str):
        """Return the decoded JSON response of a URL."""
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read())
