"""Only a refused connection shows that a process has ended.

Guards against taking a sound engine for ended, and its prompts for harmful, since this host has run
out of descriptors or cannot reach it.
"""

import asyncio
import errno

import pytest

from marjoramspool.http import is_refusing_connections


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
