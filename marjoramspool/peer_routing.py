"""Attempts through other routers, for a router that does not reach the targets of a service."""

from contextlib import AbstractAsyncContextManager, AsyncExitStack
from typing import Protocol

from marjoramspool.configuration import Configuration
from marjoramspool.dispatch import Answer, Request
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.events import Event, log
from marjoramspool.explain import Trace
from marjoramspool.failures import AttemptError
from marjoramspool.membership import Member
from marjoramspool.metrics import Metrics

__all__ = ["PathSource", "PeerRouting"]

# Routers that one request is sent through, one after the other.
MAX_PEERS = 3


class PathSource(Protocol):
    """Routers that serve requests for this one."""

    def select(self, service: str, exclude: set[str]) -> Member | None:
        """Return the router to send a request through, None if there is none."""

    def open(
        self, request: Request, peer: Member, version: int, reaches_some: bool
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request through another router and yield its answer."""


class PeerRouting:
    """Sender of requests through other routers."""

    __slots__ = ("configuration", "metrics", "paths")

    def __init__(self, paths: PathSource, configuration: Configuration, metrics: Metrics):
        self.paths = paths
        self.configuration = configuration
        self.metrics = metrics

    async def send(
        self,
        request: Request,
        path: Path,
        tried_peers: set[str],
        trace: Trace,
        stack: AsyncExitStack,
    ) -> Answer | AttemptError | None:
        """Make one attempt through the best router; None if there is none left.

        The stack owns its call. `tried_peers` are the routers that had the request, to which the
        one that gets it now is added.
        """
        if len(tried_peers) >= MAX_PEERS:
            return None
        service = request.document.name
        peer = self.paths.select(service, tried_peers)
        active = self.configuration.active.get(service)
        if peer is None or active is None:
            return None
        tried_peers.add(peer.name)
        self.metrics.count("forwarded")
        trace.add_step("forwarded", router=peer.name)
        log(Event.REQUEST_FORWARDED, request=request.id, router=peer.name)
        try:
            opening = self.paths.open(request, peer, active.version, path is Path.PARTIAL)
            return await stack.enter_async_context(opening)
        except AttemptError as error:
            trace.add_step("attempt failed", router=peer.name, why=str(error))
            why, detail = str(error), error.detail
            log(Event.ATTEMPT_FAILED, request=request.id, router=peer.name, why=why, detail=detail)
            return error
