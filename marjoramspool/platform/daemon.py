"""Daemon as the platform starts it: settings, signals and log."""

import asyncio
import os
import signal
import sys
from contextlib import ExitStack

from marjoramspool.fleet_router import FleetRouter, MetricsAddress
from marjoramspool.json_logs import JsonLinesHandler
from marjoramspool.platform.settings import HostSettings, SettingsError, read_settings
from marjoramspool.settings_reloader import SettingsReloader

__all__ = ["main"]

SETTINGS_VARIABLE = "MARJORAMSPOOL_BOOT"
EXIT_INVALID_SETTINGS = 2
STDOUT_DESCRIPTOR = 1


def parse_metrics_address(arguments: list[str]) -> MetricsAddress | None:
    """Return the metrics address of the command line, if any; raise SettingsError if malformed."""
    match arguments:
        case []:
            return None
        case ["--metrics", value]:
            port, slash, path = value.partition("/")
            if port.isdigit() and slash:
                return MetricsAddress(int(port), f"/{path}")
    raise SettingsError(f"arguments {arguments}: are malformed; use none or --metrics PORT/PATH")


async def run(path: str, settings: HostSettings, metrics_address: MetricsAddress | None) -> None:
    """Run a router until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with FleetRouter(settings, metrics_address) as router:
        reload = SettingsReloader(path, read_settings, router.apply_settings, SettingsError)
        loop.add_signal_handler(signal.SIGHUP, reload.reload_settings)
        router.tasks.start(reload.watch)
        await stop_requested.wait()
        await router.shut_down()


def main() -> None:
    """Check the settings and run the router."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    log_handler = JsonLinesHandler(STDOUT_DESCRIPTOR)
    with ExitStack() as stack:
        stack.callback(log_handler.flush_all)
        stack.enter_context(log_handler.applicationbound())
        try:
            metrics_address = parse_metrics_address(sys.argv[1:])
            settings = read_settings(path)
        except SettingsError as error:
            print(error, file=sys.stderr)
            raise SystemExit(EXIT_INVALID_SETTINGS) from error
        asyncio.run(run(path, settings, metrics_address))
