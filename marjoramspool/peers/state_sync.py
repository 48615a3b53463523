"""Transfer of state to routers that cannot read it from the store or do not watch the store."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from marjoramspool.answer_bodies import AnswerMemory, read_success
from marjoramspool.clock import now
from marjoramspool.events import Event, log
from marjoramspool.failures import MayHaveRunError
from marjoramspool.http import new_session
from marjoramspool.peers import relays
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.messages import CachesState, EnginesState, TableState, encode
from marjoramspool.peers.peer_paths import REQUESTS_PATH
from marjoramspool.status import Status

__all__ = ["State", "StateSync"]

State = TableState | EnginesState | CachesState

TABLE_PATH = "/table"
ENGINES_PATH = "/engines"
CACHES_PATH = "/caches"
STATUS_PATH = "/status"
STATE_TYPES: dict[str, type] = {
    TABLE_PATH: TableState,
    ENGINES_PATH: EnginesState,
    CACHES_PATH: CachesState,
}
CALL_TIMEOUT_S = 1.5
CHECK_PERIOD_S = 0.1
# Time for the relay of this failure domain to fetch newer state itself.
RELAY_FETCH_TIME_S = 0.4


class StateSync:
    """HTTP server of the local state, and client that fetches newer state from peers.

    `export_state` returns None while the local state is unknown. `fetch_delay_s` returns how long,
    in seconds, a newer state may still arrive from the store before it is fetched from a peer.
    Operators read the status on the same port, and routers without a path to engines send their
    requests there, which `serve_forwarded` answers.
    """

    __slots__ = (
        "behind_since",
        "directory",
        "export_state",
        "fetch_delay_s",
        "import_state",
        "is_behind",
        "memory",
        "port",
        "runner",
        "serve_forwarded",
        "session",
        "status",
    )

    def __init__(
        self,
        directory: Directory,
        port: int,
        export_state: Callable[[type], State | None],
        import_state: Callable[[State, str], None],
        is_behind: Callable[[type, Peer], bool],
        fetch_delay_s: Callable[[], float],
        status: Callable[[], Status],
        serve_forwarded: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ):
        self.status = status
        self.serve_forwarded = serve_forwarded
        self.directory = directory
        self.port = port
        self.export_state = export_state
        self.import_state = import_state
        self.is_behind = is_behind
        self.fetch_delay_s = fetch_delay_s
        self.behind_since: dict[str, float] = {}
        self.memory = AnswerMemory()
        self.session: aiohttp.ClientSession | None = None
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start the server."""
        self.session = new_session(CALL_TIMEOUT_S, keep_alive=False)
        server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.directory.local_address, self.port).start()

    async def close(self) -> None:
        """Stop the server and close the client session."""
        if self.runner:
            await self.runner.cleanup()
        if self.session:
            await self.session.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one kind of state, 503 if it is unknown, or the status."""
        if request.path == REQUESTS_PATH:
            return await self.serve_forwarded(request)
        if request.path == STATUS_PATH:
            return web.Response(body=msgspec.json.encode(self.status()))
        state_type = STATE_TYPES.get(request.path)
        if state_type is None:
            return web.Response(status=404)
        state = self.export_state(state_type)
        return web.Response(status=503) if state is None else web.Response(body=encode(state))

    async def run(self) -> None:
        """Follow the newest route table and the newest engine list of the other routers.

        Fault: a route table takes seconds over the full link of the peer that sends it. The engine
        list does not wait for it.
        """
        async with asyncio.TaskGroup() as group:
            for path in (TABLE_PATH, ENGINES_PATH):
                group.create_task(self.follow(path))

    async def follow(self, path: str) -> None:
        """Check periodically whether a peer has newer state of one kind."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S * random.uniform(0.7, 1.3))
            await self.fetch_if_behind(path)

    def behind_s(self) -> float:
        """Return for how long a peer has been known to have newer state, in seconds."""
        return now() - min(self.behind_since.values(), default=now())

    async def fetch_if_behind(self, path: str) -> None:
        """Fetch one kind of state if a peer has been ahead for the fetch delay.

        Load pattern: the few routers that watch the store are ahead, and hundreds lack what they
        have. Only the relays fetch from another failure domain at once; the others wait until a
        router of their own domain has it.
        """
        state_type = STATE_TYPES[path]
        # Rarely is any peer ahead, so that this is asked first.
        ahead = [
            peer
            for peer in self.directory.peers.values()
            if self.is_behind(state_type, peer) and self.directory.is_live(peer)
        ]
        if not ahead:
            self.behind_since.pop(path, None)
            return
        since = self.behind_since.setdefault(path, now())
        same_domain = [peer for peer in ahead if peer.domain == self.directory.domain]
        delay_s = self.fetch_delay_s()
        if not same_domain and not relays.may_fetch_afar(self.directory):
            delay_s += RELAY_FETCH_TIME_S
        if now() - since >= delay_s and await self.fetch(random.choice(same_domain or ahead), path):
            self.behind_since.pop(path, None)

    async def fetch(self, peer: Peer, path: str) -> bool:
        """Fetch and import one kind of state from a peer; return whether that succeeded."""
        url = f"http://{peer.address}:{self.port}{path}"
        asked_at = now()
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self.session.get(url, allow_redirects=False) as response,
            ):
                body = await read_success(response, self.memory)
            state = msgspec.msgpack.decode(body, type=STATE_TYPES[path])
        except (
            aiohttp.ClientError,
            MayHaveRunError,
            OSError,
            RecursionError,
            ValueError,
        ) as error:
            took_s = round(now() - asked_at, 3)
            log(
                Event.PEER_STATE_MISSED,
                address=peer.address,
                part=path,
                took_s=took_s,
                why=repr(error),
            )
            return False
        took_s = round(now() - asked_at, 3)
        log(
            Event.PEER_STATE_TAKEN,
            address=peer.address,
            part=path,
            bytes=len(body),
            took_s=took_s,
        )
        self.import_state(state, peer.address)
        return True
