"""HTTP client sessions without automatic retries."""

import asyncio
import functools
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["Sessions", "new_session"]


class BoundedResponseHandler(ResponseHandler):
    """Connection whose reset fails a body.

    Fault: a body without length or chunks is reset, which the parser takes for its end.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that a reset has cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"the connection broke: {exc!r}"))
        super().connection_lost(exc)


def new_session(
    connect_timeout_s: float,
    keep_alive: bool = True,
    socket_factory: Callable | None = None,
    idle_timeout_s: float = 15.0,
) -> aiohttp.ClientSession:
    """Open a client session; without `keep_alive`, each connection serves one request only.

    A connection that was idle for `idle_timeout_s` seconds is not reused.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not keep_alive,
        socket_factory=socket_factory,
        **({"keepalive_timeout": idle_timeout_s} if keep_alive else {}),
    )
    # aiohttp has no public option for the class of its connections.
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(BoundedResponseHandler, loop=loop)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    )
    # aiohttp retries PUT, DELETE and other idempotent methods when a reused connection breaks,
    # which could execute a request twice. It has no public option to disable this.
    session._retry_connection = False
    return session


class Sessions:
    """A session that pools connections and one that opens a new connection for each request."""

    __slots__ = ("connect_timeout_s", "pooled", "unpooled")

    def __init__(self, connect_timeout_s: float):
        self.connect_timeout_s = connect_timeout_s
        self.pooled: aiohttp.ClientSession | None = None
        self.unpooled: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        self.pooled = new_session(self.connect_timeout_s)
        self.unpooled = new_session(self.connect_timeout_s, keep_alive=False)
        return self

    async def __aexit__(self, *details):
        await self.pooled.close()
        await self.unpooled.close()

    def select(self, reuse: bool) -> aiohttp.ClientSession:
        """Return the pooled session if the connection may be reused, else the unpooled one."""
        return self.pooled if reuse else self.unpooled
