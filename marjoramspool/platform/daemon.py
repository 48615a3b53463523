"""The daemon as the platform starts it: settings, signals and the log."""

import asyncio
import os
import signal
import sys

from marjoramspool.fleet_router import FleetRouter, MetricsAddress
from marjoramspool.json_logs import JsonLines
from marjoramspool.platform.settings import HostSettings, SettingsError, read_settings
from marjoramspool.reloading import Reload

__all__ = ["main"]

SETTINGS_VARIABLE = "MARJORAMSPOOL_BOOT"
EXIT_INVALID = 2
STANDARD_OUTPUT = 1


def metrics_address(words: list[str]) -> MetricsAddress | None:
    """Return where the arguments ask for metrics; raise SettingsError if they are malformed."""
    match words:
        case []:
            return None
        case ["--metrics", place]:
            port, slash, path = place.partition("/")
            if port.isdigit() and slash:
                return MetricsAddress(int(port), f"/{path}")
    raise SettingsError(f"arguments {words}: write nothing or --metrics PORT/PATH")


async def run(path: str, settings: HostSettings, metrics_at: MetricsAddress | None) -> None:
    """Run a router until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with FleetRouter(settings, metrics_at) as router:
        reload = Reload(path, read_settings, router.apply_settings, SettingsError)
        loop.add_signal_handler(signal.SIGHUP, reload.read)
        router.tasks.start(reload.follow)
        await stopping.wait()
        await router.shut_down()


def main() -> None:
    """Check the settings and run the router."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    lines = JsonLines(STANDARD_OUTPUT)
    with lines.applicationbound():
        try:
            metrics_at = metrics_address(sys.argv[1:])
            settings = read_settings(path)
        except SettingsError as error:
            print(error, file=sys.stderr)
            raise SystemExit(EXIT_INVALID) from error
        asyncio.run(run(path, settings, metrics_at))
        lines.finish()
