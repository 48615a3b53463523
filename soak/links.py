"""Loopback proxies that delay, stall, reset and refuse connections."""

import asyncio
import enum
from collections.abc import Callable

from standins.faults import reset_connection

__all__ = ["Link", "Mode"]

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What a link does to its connections."""

    OPEN = "open"
    # Both directions are held; held data is delivered when the link opens again.
    SILENT = "silent"
    # Requests are held, answers pass.
    HOLDS_REQUESTS = "holds requests"
    # Requests pass, answers are held.
    HOLDS_ANSWERS = "holds answers"
    # Open and new connections are reset.
    REFUSING = "refusing"


REQUEST_HOLDING_MODES = (Mode.SILENT, Mode.HOLDS_REQUESTS)
ANSWER_HOLDING_MODES = (Mode.SILENT, Mode.HOLDS_ANSWERS)


class Link:
    """TCP proxy to the address that `target` returns for each new connection."""

    def __init__(self, target: Callable[[], str]):
        self.target = target
        self.mode = Mode.OPEN
        self.delay_s = 0.0
        self.mode_changed = asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()
        # Addresses whose connections are reset.
        self.refused: set[str] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *details):
        self.server.close()
        self.reset()

    async def set_mode(self, mode: Mode) -> None:
        """Set the mode, which also applies to open connections."""
        async with self.mode_changed:
            self.mode = mode
            self.mode_changed.notify_all()
        if mode is Mode.REFUSING:
            self.reset()

    def reset(self, source: str | None = None) -> None:
        """Reset all open connections, or those from one address."""
        for writer in list(self.writers):
            if source in (None, writer.get_extra_info("peername", ("",))[0]):
                reset_connection(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Proxy one connection in both directions."""
        source = writer.get_extra_info("peername")[0]
        if self.mode is Mode.REFUSING or source in self.refused:
            reset_connection(writer)
            return
        host, _, port = self.target().rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset_connection(writer)
            return
        writers = {writer, target_writer}
        self.writers |= writers
        requests = self.forward(reader, target_writer, REQUEST_HOLDING_MODES)
        answers = self.forward(target_reader, writer, ANSWER_HOLDING_MODES)
        try:
            await asyncio.gather(requests, answers)
        except asyncio.CancelledError:
            # The soak may end while connections are open.
            self.reset()
        self.writers -= writers

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding_modes: tuple[Mode, ...],
    ) -> None:
        """Forward one direction until end of file, pausing in `holding_modes`."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                async with self.mode_changed:
                    await self.mode_changed.wait_for(lambda: self.mode not in holding_modes)
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            reset_connection(writer)
