"""HTTP client sessions without automatic retries, whose connections check what they receive."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterable, Sequence

import aiohttp
from yarl import URL

from marjoramspool.answer_bodies import AnswerMemory
from marjoramspool.attempts import SUCCESS_STATUSES
from marjoramspool.engine_state.request_limits import EngineKey, parse_limit
from marjoramspool.events import Event, log
from marjoramspool.failures import MayHaveRunError, NotSentError
from marjoramspool.target_connection import READ_BYTES, TargetConnection, TargetRequest

__all__ = [
    "LimitCallback",
    "Sessions",
    "can_connect",
    "is_refusing_connections",
    "new_session",
    "report_limit",
]

# Header in which a target names the requests per second that it takes from all routers together.
LIMIT_HEADER = "X-Requests-Per-Second"
# Takes a target's key, its limit or None for none, and when the request was sent.
LimitCallback = Callable[[EngineKey, float | None, float], None]

# Short, since a retry may wait for the result.
REFUSAL_TIMEOUT_S = 0.1
# A connection that takes longer may be a sign of a cut.
LATE_CONNECTION_S = 0.1


def report_limit(
    response: aiohttp.ClientResponse,
    key: EngineKey,
    sent_at: float,
    calls: Iterable[LimitCallback],
    header: str = LIMIT_HEADER,
) -> None:
    """Pass on the rate limit that an answer names; a success without one says there is none."""
    text = response.headers.get(header)
    if text is None and response.status not in SUCCESS_STATUSES:
        return
    try:
        limit_per_s = parse_limit(text)
    except ValueError as error:
        log(Event.ATTEMPT_FAILED, target=key[0], why=f"malformed {header}: {error}")
        return
    for call in calls:
        call(key, limit_per_s, sent_at)


async def can_connect(address: str, timeout_s: float, local_address: str | None = None) -> bool:
    """Return whether something at `HOST:PORT` accepts a connection within some seconds."""
    local = (local_address, 0) if local_address else None
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port), local_addr=local)
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return True


async def is_refusing_connections(address: str) -> bool:
    """Return whether nothing listens at `HOST:PORT`, as after the end of a process.

    Other errors show nothing: the host may be out of reach, or this one out of descriptors.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False


def new_session(
    connect_timeout_s: float,
    keep_alive: bool = True,
    socket_factory: Callable | None = None,
    idle_timeout_s: float = 15.0,
    max_connections: int = 0,
    local_address: str | None = None,
    trace_configs: Sequence[aiohttp.TraceConfig] = (),
    on_idle_closed: Callable[[str], None] = lambda _: None,
) -> aiohttp.ClientSession:
    """Open a client session; without `keep_alive`, each connection serves one request only.

    A connection that was idle for `idle_timeout_s` seconds is not reused. `max_connections` at a
    time are open, any number if it is 0. They come from `local_address` if one is given. When a
    peer closes one that could be used again, `on_idle_closed` is called with its `HOST:PORT`.
    """
    connector = aiohttp.TCPConnector(
        limit=max_connections,
        force_close=not keep_alive,
        socket_factory=socket_factory,
        local_addr=(local_address, 0) if local_address else None,
        **({"keepalive_timeout": idle_timeout_s} if keep_alive else {}),
    )
    # aiohttp has no public option for the class of its connections.
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(TargetConnection, loop, on_idle_closed)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        request_class=TargetRequest,
        auto_decompress=False,
        read_bufsize=READ_BYTES,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        trace_configs=list(trace_configs),
    )
    # aiohttp retries PUT, DELETE and other idempotent methods when a reused connection breaks,
    # which could execute a request twice. It has no public option to disable this.
    session._retry_connection = False
    return session


class ConnectionProgress:
    """Whether a request has a connection, without which no byte of it was sent."""

    __slots__ = ("is_connected",)

    def __init__(self):
        self.is_connected = False


def connection_tracing() -> aiohttp.TraceConfig:
    """Return the tracing that sets the `ConnectionProgress` of a request."""

    async def record_connected(_, context, __) -> None:
        progress = context.trace_request_ctx
        if progress is not None:
            progress.is_connected = True

    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(record_connected)
    tracing.on_connection_reuseconn.append(record_connected)
    return tracing


async def never_lost(_: str) -> bool:
    """Return that no service is out of reach, where nothing finds out."""
    return False


class Sessions:
    """A session that pools connections and one that opens a new connection for each request.

    `has_lost_path` finds out whether no target of a service accepts connections from here.
    """

    __slots__ = ("connect_timeout_s", "has_lost_path", "memory", "pooled", "unpooled")

    def __init__(self, connect_timeout_s: float, memory: AnswerMemory | None = None):
        self.memory = memory or AnswerMemory()
        self.connect_timeout_s = connect_timeout_s
        self.has_lost_path: Callable[[str], Awaitable[bool]] = never_lost
        self.pooled: aiohttp.ClientSession | None = None
        self.unpooled: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        tracing = [connection_tracing()]
        self.pooled = new_session(self.connect_timeout_s, trace_configs=tracing)
        self.unpooled = new_session(
            self.connect_timeout_s, keep_alive=False, trace_configs=[connection_tracing()]
        )
        return self

    async def __aexit__(self, *details):
        await self.pooled.close()
        await self.unpooled.close()

    def select(self, reuse: bool) -> aiohttp.ClientSession:
        """Return the pooled session if the connection may be reused, else the unpooled one."""
        return self.pooled if reuse else self.unpooled

    async def request(
        self, service: str, reuse: bool, method: str, url: str | URL, **options
    ) -> aiohttp.ClientResponse:
        """Send a request to a target of a service; return the response once its head is received.

        Raise NotSentError if no connection opens and no target of the service accepts one, without
        waiting for the connect timeout, in addition to the errors of a session.
        """
        loop = asyncio.get_running_loop()
        progress = ConnectionProgress()
        scope = asyncio.timeout(None)
        watches: list[asyncio.Task] = []
        timer = loop.call_later(
            LATE_CONNECTION_S,
            lambda: watches.append(
                asyncio.create_task(self.watch_connection(service, progress, scope))
            ),
        )
        try:
            async with scope:
                session = self.select(reuse)
                return await session.request(method, url, trace_request_ctx=progress, **options)
        except TimeoutError as error:
            if not scope.expired():
                raise
            if progress.is_connected:
                raise MayHaveRunError(f"the path of service {service} was lost") from error
            raise NotSentError(f"no target of service {service} accepts connections") from error
        finally:
            timer.cancel()
            for watch in watches:
                watch.cancel()

    async def watch_connection(
        self, service: str, progress: ConnectionProgress, scope: asyncio.Timeout
    ) -> None:
        """End a request that has no connection while no target accepts one."""
        while not progress.is_connected:
            if await self.has_lost_path(service) and not progress.is_connected:
                scope.reschedule(asyncio.get_running_loop().time())
                return
            await asyncio.sleep(LATE_CONNECTION_S)
