"""Only a refused connection shows that a process has ended.

Guards against taking a sound engine for ended, and its prompts for harmful, since this host has run
out of descriptors or cannot reach it.
"""

import asyncio
import errno

import pytest

from marjoramspool.http import is_refusing_connections, new_session
from marjoramspool.target_connection import TargetConnection


@pytest.mark.parametrize(
    "error",
    [
        OSError(errno.EMFILE, "too many open files"),
        OSError(errno.EADDRNOTAVAIL, "no free local port"),
        OSError(errno.EHOSTUNREACH, "no route"),
        ConnectionResetError(errno.ECONNRESET, "reset"),
        TimeoutError(),
    ],
)
async def test_other_errors_of_a_connection_show_no_end(monkeypatch, error):
    async def fail(*_, **__):
        raise error

    monkeypatch.setattr(asyncio, "open_connection", fail)
    assert not await is_refusing_connections("127.0.0.1:1")


async def test_a_port_at_which_nothing_listens_shows_the_end_of_a_process():
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    assert not await is_refusing_connections(address)
    server.close()
    await server.wait_closed()
    assert await is_refusing_connections(address)


async def test_a_connection_that_is_reset_at_once_is_made_and_lost():
    """Guards against a request that fails with an error of the program; its peer has no name."""
    closed = []
    loop = asyncio.get_running_loop()
    handler = TargetConnection(loop, closed.append)
    transport = asyncio.Transport({"peername": None})
    handler.connection_made(transport)
    handler.connection_lost(ConnectionResetError())
    assert closed == [""]


async def test_only_a_kept_connection_that_its_peer_closes_is_told():
    """Guards against a check of each engine whose answers end with their connection."""
    closed = []
    server = await asyncio.start_server(answer_and_close, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    session = new_session(1.0, on_idle_closed=closed.append)
    async with session:
        for path, expected in (("/last", []), ("/kept", [address])):
            async with session.get(f"http://{address}{path}") as response:
                await response.read()
            await asyncio.sleep(0.1)
            assert closed == expected
    server.close()
    assert closed == [address]


async def answer_and_close(reader, writer):
    """Answer one request, and close the connection; only /last is told so."""
    head = await reader.readuntil(b"\r\n\r\n")
    notice = b"Connection: close\r\n" if b"/last" in head else b""
    writer.write(b"HTTP/1.1 200 OK\r\n" + notice + b"Content-Length: 0\r\n\r\n")
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.close()
