"""Reloading of settings files that change while the process runs."""

import asyncio
import os
from collections.abc import Callable
from typing import Generic, TypeVar

from marjoramspool.events import Event, log

__all__ = ["SettingsReloader"]

POLL_INTERVAL_S = 1.0

Settings = TypeVar("Settings")


class SettingsReloader(Generic[Settings]):
    """Reloads a settings file on a signal or when it changes; keeps the last valid settings.

    `load` reads the file and raises `error_type` if it is invalid; `apply` puts the loaded settings
    into effect.
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
        """Return the modification time of the file in nanoseconds, 0 if it cannot be read."""
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            return 0

    def reload_settings(self) -> None:
        """Read and apply the file; keep the current settings if it is invalid."""
        self.last_modified_ns = self.modified_ns()
        try:
            settings = self.load(self.path)
        except self.error_type as error:
            log(Event.SETTINGS_INVALID, path=self.path, fault=str(error))
            return
        log(Event.SETTINGS_READ, path=self.path)
        self.apply(settings)

    async def watch(self) -> None:
        """Poll the modification time of the file and reload it when it changes."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.modified_ns() != self.last_modified_ns:
                self.reload_settings()
