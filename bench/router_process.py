"""Router daemon in its own process, started as the platform starts it."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import IO

import msgspec

from marjoramspool.platform.settings import HostSettings

__all__ = ["RouterProcess"]


class RouterProcess:
    """One router process; signals go to this process only."""

    def __init__(self, settings: HostSettings, path: Path, log: IO | int):
        self.settings = settings
        self.path = path
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, **changes) -> None:
        """Write the settings file."""
        fields = {
            "node_name": self.settings.name,
            "ip": self.settings.address,
            "zone": self.settings.failure_domain,
            "listen": {
                "front": self.settings.client_endpoint,
                "readiness": self.settings.readiness_endpoint,
            },
            "internal_ports": [self.settings.peers_port, self.settings.peers_port],
            "platform": {"address": self.settings.store_endpoint},
            "bounds": {"grace_s": self.settings.bounds.shutdown_grace_s},
            "unknown": {"ignored": True},
        }
        self.path.write_bytes(msgspec.json.encode(fields | changes))

    async def launch(self, *arguments: str) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "marjoramspool.platform",
            *arguments,
            env={"MARJORAMSPOOL_BOOT": str(self.path), "PATH": "/usr/bin"},
            stdout=self.log,
            stderr=self.log,
        )

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs, even if it is suspended, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()
