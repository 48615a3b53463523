"""Settings files that change while a process runs."""

import asyncio
import os
from collections.abc import Callable
from typing import Generic, TypeVar

from marjoramspool.events import Event, log

__all__ = ["Reload"]

CHECK_PERIOD_S = 1.0

Settings = TypeVar("Settings")


class Reload(Generic[Settings]):
    """Take over settings that change, with or without a signal; keep the last good ones.

    `load` reads a file and raises `invalid` if it cannot be used; `adopt` puts settings in force.
    """

    __slots__ = ("adopt", "changed_at", "invalid", "load", "path")

    def __init__(
        self,
        path: str,
        load: Callable[[str], Settings],
        adopt: Callable[[Settings], None],
        invalid: type[Exception],
    ):
        self.path = path
        self.load = load
        self.adopt = adopt
        self.invalid = invalid
        self.changed_at = self.file_time()

    def file_time(self) -> int:
        """Return when the file changed last, in nanoseconds; 0 if it is not there."""
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            return 0

    def read(self) -> None:
        """Read the file; keep what is in force if it cannot be used."""
        self.changed_at = self.file_time()
        try:
            settings = self.load(self.path)
        except self.invalid as error:
            log(Event.SETTINGS_INVALID, path=self.path, fault=str(error))
            return
        log(Event.SETTINGS_READ, path=self.path)
        self.adopt(settings)

    async def follow(self) -> None:
        """Look now and then whether the file has changed, for ever."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self.file_time() != self.changed_at:
                self.read()
