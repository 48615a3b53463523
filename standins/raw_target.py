"""Stand-in for a target that answers every request with bytes that a test chooses."""

import asyncio
import enum
import re
from socket import SO_RCVBUF, SOL_SOCKET

from standins.endless import request_id
from standins.faults import reset_connection

__all__ = ["Ending", "RawTarget"]

# Between the end of what a target sends and the reset of its connection.
RESET_DELAY_S = 0.01
LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)


class Ending(enum.Enum):
    """What a target does with the connection after its answer."""

    CLOSE = "close"
    RESET = "reset"
    OPEN = "open"
    # Stop sending, and read nothing more.
    SHUT = "shut"
    READ_AND_CLOSE = "read the request and close"
    SHUT_AND_RESET = "shut and reset"


class RawTarget:
    """Target on a free port; in `answer`, `%id` stands for the id of the request.

    With `reads_body` unset it answers as soon as it has the head of a request, and reads no more.
    `requests` holds the ids of those that arrived.
    """

    def __init__(
        self,
        answer: bytes,
        ending: Ending = Ending.CLOSE,
        reads_body: bool = True,
        receive_buffer_bytes: int | None = None,
    ):
        self.answer = answer
        self.ending = ending
        self.reads_body = reads_body
        self.receive_buffer_bytes = receive_buffer_bytes
        self.requests: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None
        self.address = ""

    async def __aenter__(self):
        # A limit of the reader pauses the transport, so that the rest stays in the kernel.
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 10)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        if self.receive_buffer_bytes:
            listening = self.server.sockets[0]
            listening.setsockopt(SOL_SOCKET, SO_RCVBUF, self.receive_buffer_bytes)
        return self

    async def __aexit__(self, *details):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        self.writers.append(writer)
        try:
            while True:
                await self.answer_request(reader, writer)
                if self.ending is not Ending.OPEN:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            # The router closed.
            writer.close()

    async def answer_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one request, answer it, and do with the connection what `ending` says."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(request_id(head).decode())
        length = LENGTH.search(head)
        if self.reads_body and length:
            await reader.readexactly(int(length[1]))
        writer.write(self.answer.replace(b"%id", request_id(head)))
        await writer.drain()
        match self.ending:
            case Ending.CLOSE:
                writer.close()
            case Ending.RESET:
                reset_connection(writer)
            case Ending.SHUT:
                writer.write_eof()
            case Ending.READ_AND_CLOSE:
                await reader.readexactly(int(length[1]))
                writer.close()
            case Ending.SHUT_AND_RESET:
                writer.write_eof()
                await asyncio.sleep(RESET_DELAY_S)
                reset_connection(writer)
