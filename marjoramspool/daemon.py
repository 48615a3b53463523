"""Router daemon: marjoramspoold --settings FILE."""

import asyncio
import signal
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
from logbook import StreamHandler

from marjoramspool.inifile import InvalidFileError
from marjoramspool.router import Router
from marjoramspool.settings import Settings, load_settings

__all__ = ["Daemon", "main"]

EXIT_INVALID_SETTINGS = 2
EXIT_UNFINISHED = 1
LOG_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.message}"


@cappa.command(name="marjoramspoold", help="Run one router.")
@dataclass
class Daemon:
    """Command-line arguments of the daemon."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file (INI).")]
    check: Annotated[bool, cappa.Arg(long=True, help="Validate the settings and exit.")] = False


async def run(settings: Settings) -> int:
    """Run a router until SIGTERM or SIGINT; return the exit code.

    The code is `EXIT_UNFINISHED` if requests were still in flight when the drain period ended.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with Router(settings) as router:
        await stop_requested.wait()
        is_finished = await router.shut_down()
    return 0 if is_finished else EXIT_UNFINISHED


def main() -> None:
    """Parse the arguments, load the settings and run the router."""
    arguments = cappa.parse(Daemon)
    try:
        settings = load_settings(arguments.settings)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    if arguments.check:
        return
    with StreamHandler(sys.stderr, format_string=LOG_FORMAT).applicationbound():
        raise SystemExit(asyncio.run(run(settings)))


if __name__ == "__main__":
    main()
