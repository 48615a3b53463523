"""TCP proxy between two processes that can stall connections without closing them."""

import asyncio

__all__ = ["TcpProxy"]

CHUNK_BYTES = 65536


class TcpProxy:
    """Proxy to one port; `silence` stalls the open connections, `block` also refuses new ones."""

    def __init__(self, target: int):
        self.target = target
        self.port = 0
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.blocked = False
        self.bytes = 0
        self.connections = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *details):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def silence(self) -> None:
        """Stall every open connection without closing it; new ones work."""
        self.forwarding.clear()
        self.forwarding = asyncio.Event()
        self.forwarding.set()

    def block(self, blocked: bool) -> None:
        """Stall every open connection, and refuse or accept new ones."""
        self.silence()
        self.blocked = blocked

    async def accept(self, reader, writer) -> None:
        """Forward one connection."""
        if self.blocked:
            writer.transport.abort()
            return
        self.connections += 1
        upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.target)
        forwarding = self.forwarding
        for pair in ((reader, upstream_writer), (upstream_reader, writer)):
            task = asyncio.create_task(self.forward(*pair, forwarding))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def forward(self, reader, writer, forwarding: asyncio.Event) -> None:
        """Forward one direction of a connection."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await forwarding.wait()
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if forwarding.is_set():
                writer.close()
