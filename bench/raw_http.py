"""Client that reads the bytes of an answer and takes nothing for granted."""

import asyncio
import re
from dataclasses import dataclass

__all__ = ["RawAnswer", "ask", "read_answer", "request_bytes"]

HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)\r\n", re.IGNORECASE)
CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked\r\n", re.IGNORECASE)
STATUS = re.compile(rb"HTTP/1\.1 ([0-9]{3}) ")


@dataclass(slots=True)
class RawAnswer:
    """Bytes that a client received; `is_complete` says whether they look like a whole answer."""

    head: bytes = b""
    body: bytes = b""
    is_complete: bool = False

    @property
    def status(self) -> int:
        """Return the status, 0 if there is none."""
        match = STATUS.match(self.head)
        return int(match[1]) if match else 0


def request_bytes(
    method: str, path: str, request: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request with an id."""
    lines = [f"{method} {path} HTTP/1.1", f"X-Request-Id: {request}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(endpoint: str, request: bytes, timeout_s: float = 5.0) -> RawAnswer:
    """Send the bytes of a request to `HOST:PORT`; return what is received until it is whole."""
    host, _, port = endpoint.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(request)
            return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Read one answer; one that breaks off is not complete."""
    answer = RawAnswer()
    try:
        answer.head = await reader.readuntil(HEAD_END)
        if length := LENGTH.search(answer.head):
            answer.body = await reader.readexactly(int(length[1]))
        elif CHUNKED.search(answer.head):
            await read_chunks(reader, answer)
        else:
            answer.body = await reader.read()
        answer.is_complete = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
    except ConnectionError:
        pass
    return answer


async def read_chunks(reader: asyncio.StreamReader, answer: RawAnswer) -> None:
    """Read a body in chunks up to its end."""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
