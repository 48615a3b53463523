"""Handing a router's state to another that cannot read it from the store."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.http import new_session
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.messages import RouterState, encode

__all__ = ["StateCalls"]

PATH = "/state"
CALL_S = 1.0
# The store usually brings a change to all routers within this time.
PATIENCE_S = 0.25
CHECK_PERIOD_S = 0.1


class StateCalls:
    """Serve this router's state to others, and fetch theirs when they know more."""

    __slots__ = ("behind_since", "directory", "give", "is_behind", "runner", "session", "take")

    def __init__(
        self,
        directory: Directory,
        give: Callable[[], RouterState | None],
        take: Callable[[RouterState, str], None],
        is_behind: Callable[[Peer], bool],
    ):
        self.directory = directory
        self.give = give
        self.take = take
        self.is_behind = is_behind
        self.behind_since: float | None = None
        self.session: aiohttp.ClientSession | None = None
        self.runner: web.ServerRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for other routers."""
        self.session = new_session(CALL_S, reuse=False)
        self.runner = web.ServerRunner(web.Server(self.handle, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    async def close(self) -> None:
        """Stop listening."""
        await self.runner.cleanup()
        await self.session.close()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Hand out this router's state."""
        state = self.give() if request.path == PATH else None
        if state is None:
            return web.Response(status=404 if request.path != PATH else 503)
        return web.Response(body=encode(state))

    async def catch_up_for_ever(self, port: int) -> None:
        """Fetch the state of a router that knows more, once the store had time to bring it."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            ahead = [peer for peer in self.directory.heard() if self.is_behind(peer)]
            if not ahead:
                self.behind_since = None
                continue
            if self.behind_since is None:
                self.behind_since = now()
            if now() - self.behind_since >= PATIENCE_S:
                peer = max(ahead, key=lambda p: (p.table_revision, p.engines_revision))
                await self.fetch(peer, port)
                self.behind_since = None

    async def fetch(self, peer: Peer, port: int) -> bool:
        """Fetch a router's state and take it in; tell whether that worked."""
        try:
            async with asyncio.timeout(CALL_S):
                async with self.session.get(f"http://{peer.address}:{port}{PATH}") as response:
                    response.raise_for_status()
                    body = await response.read()
            state = msgspec.msgpack.decode(body, type=RouterState)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            log(Event.PEER_STATE_MISSED, router=peer.name, why=repr(error))
            return False
        self.take(state, peer.name)
        return True
