"""Cut of one router of a test fleet from all engines; callers, store and peers still reach it."""

import asyncio
import enum
import errno

import aiohttp

from marjoramspool.platform.egress import EngineSessions

__all__ = [
    "CutMode",
    "cut_from_engines",
    "hang",
    "kept_transports",
    "refuse",
    "restore_path",
]


class CutMode(enum.Enum):
    """What happens to connections from the router to engines."""

    # Kept connections and new ones hang.
    HANG = "hang"
    # Kept connections are reset, new ones refused.
    REFUSE = "refuse"
    # Kept connections work, new ones are refused.
    REFUSE_NEW = "refuse new"


class CutSessions(EngineSessions):
    """Sessions without a path to engines."""

    __slots__ = ()
    modes: dict[int, CutMode] = {}

    async def has_ended(self, engine) -> bool:
        """Return whether a connection is refused."""
        return self.modes[id(self)] is not CutMode.HANG

    async def can_connect(self, engine, timeout_s: float) -> bool:
        """Return False, after the time that a connection takes to fail."""
        if self.modes[id(self)] is CutMode.HANG:
            await asyncio.sleep(timeout_s)
        return False


def cut_from_engines(router, mode: CutMode) -> None:
    """Cut a router off from all engines."""
    sessions = router.sessions
    CutSessions.modes[id(sessions)] = mode
    sessions.__class__ = CutSessions
    for session in (sessions.pooled, sessions.fresh):
        connector = session.connector
        connector._wrap_create_connection = refuse if mode is not CutMode.HANG else hang
        for transport in kept_transports(connector):
            match mode:
                case CutMode.HANG:
                    transport.pause_reading()
                    transport.write = lambda data: None
                case CutMode.REFUSE:
                    transport.abort()


def restore_path(router) -> None:
    """End the cut; connections that hang are lost."""
    router.sessions.__class__ = EngineSessions
    for session in (router.sessions.pooled, router.sessions.fresh):
        connector = session.connector
        del connector._wrap_create_connection
        for transport in kept_transports(connector):
            if "write" in vars(transport):
                transport.abort()


def kept_transports(connector: aiohttp.BaseConnector) -> list[asyncio.Transport]:
    """Return the open connections of a connector, in use or not."""
    idle = [protocol for entries in connector._conns.values() for protocol, _ in entries]
    return [p.transport for p in [*idle, *connector._acquired] if p.transport is not None]


async def hang(*_, timeout, **__):
    """Open no connection until the timeout."""
    await asyncio.sleep(timeout.sock_connect)
    raise TimeoutError


async def refuse(*_, req, **__):
    """Refuse a connection at once."""
    error = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
    raise aiohttp.ClientConnectorError(req.connection_key, error)
