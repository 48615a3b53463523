"""Settings files that change while a process runs."""

import asyncio
import os
from collections.abc import Callable
from typing import Generic, TypeVar

from marjoramspool.events import Event, log

__all__ = ["SettingsReloader"]

POLL_INTERVAL_S = 1.0

Settings = TypeVar("Settings")


class SettingsReloader(Generic[Settings]):
    """Take over settings that change, with or without a signal; keep the last good ones.

    `load` reads a file and raises `error_type` if it cannot be used; `apply` applies them.
    """

    __slots__ = ("apply", "error_type", "last_modified_ns", "load", "path")

    def __init__(
        self,
        path: str,
        load: Callable[[str], Settings],
        apply: Callable[[Settings], None],
        error_type: type[Exception],
    ):
        self.path = path
        self.load = load
        self.apply = apply
        self.error_type = error_type
        self.last_modified_ns = self.modified_ns()

    def modified_ns(self) -> int:
        """Return when the file changed last, in nanoseconds; 0 if it is not there."""
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            return 0

    def reload_settings(self) -> None:
        """Read the file; keep what is in force if it cannot be used."""
        self.last_modified_ns = self.modified_ns()
        try:
            settings = self.load(self.path)
        except self.error_type as error:
            log(Event.SETTINGS_INVALID, path=self.path, fault=str(error))
            return
        log(Event.SETTINGS_READ, path=self.path)
        self.apply(settings)

    async def watch(self) -> None:
        """Look now and then whether the file has changed, for ever."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.modified_ns() != self.last_modified_ns:
                self.reload_settings()
