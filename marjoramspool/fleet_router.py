"""One router of the fleet: everything it owns, started and stopped in order."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from aiohttp import web

from marjoramspool.engine_list import EngineList
from marjoramspool.engine_selector import EngineSelector
from marjoramspool.events import Event, log
from marjoramspool.first_state import FirstState
from marjoramspool.following import Duty
from marjoramspool.forwarding import Forwarding
from marjoramspool.lifecycle import Lifecycle
from marjoramspool.metrics import Metrics
from marjoramspool.metrics_page import render_page
from marjoramspool.peers import exchange, relays
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.discovery import Discovery
from marjoramspool.peers.joining import Joining
from marjoramspool.peers.messages import CachesState, EnginesState, TableState
from marjoramspool.peers.state import State, StateCalls
from marjoramspool.peers.telling import Knowledge, Telling
from marjoramspool.platform.egress import EngineSessions
from marjoramspool.platform.follow import follow_engines, follow_table
from marjoramspool.platform.ingress import Ingress
from marjoramspool.platform.settings import LEAVE_ROTATION_S, READY_PATH, HostSettings
from marjoramspool.platform.store import Store
from marjoramspool.status import MemberStatus, Status

__all__ = ["FleetRouter", "MetricsAddress"]

STORE_TIMEOUT_S = 1.0
STOP_MARGIN_S = 0.4
RESTART_PAUSE_S = 0.2
JOIN_CHECK_S = 0.02
# The store usually brings a change to all that watch within this time.
WATCH_LAG_S = 0.3


@dataclass(slots=True, frozen=True)
class MetricsAddress:
    """Say on which port and path the metrics page is served."""

    port: int
    path: str


class FleetRouter(Lifecycle):
    """Own every part of one router; use as an async context manager."""

    __slots__ = (
        "selector",
        "directory",
        "discovery",
        "engine_follower",
        "engines",
        "first_state",
        "forwarding",
        "ingress",
        "metrics",
        "metrics_at",
        "joining",
        "sessions",
        "settings",
        "state_calls",
        "store",
        "tables",
        "telling",
    )

    def __init__(self, settings: HostSettings, metrics_at: MetricsAddress | None = None):
        super().__init__(settings.name, RESTART_PAUSE_S)
        self.settings = settings
        self.metrics_at = metrics_at
        self.metrics = Metrics(None)
        self.store = Store(settings.store, STORE_TIMEOUT_S)
        self.engines = EngineList()
        self.tables = follow_table(self.store, self.duty)
        self.engine_follower = follow_engines(self.store, self.engines, self.duty)
        self.selector = EngineSelector(
            settings.failure_domain, self.engines, lambda: self.tables.table
        )
        self.sessions = EngineSessions()
        self.directory = Directory(settings.address, settings.failure_domain, settings.link_mbps)
        self.forwarding = Forwarding(
            self.selector, self.sessions, settings.bounds, self.directory.size, self.metrics
        )
        self.telling = Telling(settings.peers_port, self.directory, self.selector, self.knowledge)
        self.state_calls = StateCalls(
            self.directory,
            settings.peers_port,
            self.give_state,
            self.take_state,
            self.is_behind,
            self.lag_s,
            self.status,
        )
        self.joining = Joining(
            self.directory, self.selector, self.state_calls, self.sessions, self.telling.note_listed
        )
        operators = f"{settings.address}:{settings.peers_port}"
        self.discovery = Discovery(self.store, settings.name, self.directory, operators)
        self.first_state = FirstState(lambda: self.is_informed)
        self.ingress = Ingress(self.forwarding, self.tables, self.first_state)

    @property
    def is_informed(self) -> bool:
        """Tell whether the routes and the engines are known."""
        return self.tables.table is not None and self.engine_follower.revision is not None

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be served here."""
        return self.is_informed and not self.ingress.is_stopping

    @property
    def has_store(self) -> bool:
        """Tell whether the store answers this router, as far as is known."""
        return not (self.tables.has_failed or self.engine_follower.has_failed)

    def duty(self) -> Duty:
        """Return for whom this router watches the store."""
        if relays.is_direct(self.directory):
            return Duty.WATCH_FOR_ITSELF
        if self.directory.me in relays.watchers(self.directory, self.has_store):
            return Duty.WATCH_FOR_OTHERS
        return Duty.LEAVE_TO_OTHERS

    def lag_s(self) -> float:
        """Return how long the store may take before another router is asked, in seconds."""
        return 0.0 if self.duty() is Duty.LEAVE_TO_OTHERS else WATCH_LAG_S

    def knowledge(self) -> Knowledge:
        """Return how new the routes and the engines are that this router knows."""
        return Knowledge(
            self.tables.seen,
            self.engine_follower.revision or 0,
            self.engines.digest(),
            self.has_store,
        )

    def is_behind(self, kind: type, peer: Peer) -> bool:
        """Tell whether another router knows newer routes or engines."""
        if kind is TableState:
            return peer.table_revision > self.tables.seen
        is_newer = peer.engines_revision > (self.engine_follower.revision or 0)
        return is_newer and peer.engines_digest != self.engines.digest()

    def status(self) -> Status:
        """Return what operators see of this router."""
        heard = {peer.address for peer in self.directory.heard()}
        return Status(
            router=self.settings.name,
            domain=self.settings.failure_domain,
            is_ready=self.is_ready,
            is_draining=self.ingress.is_stopping,
            in_flight=len(self.ingress.busy),
            versions={"routes": self.tables.table.version if self.tables.table else 0},
            faults={} if self.has_store else {"store": "it does not answer"},
            members=[
                MemberStatus(
                    peer.address,
                    peer.address,
                    "",
                    peer.domain,
                    "alive" if peer.address in heard else "silent",
                )
                for peer in self.directory.peers.values()
            ],
            owned={},
            leaving=[e.id for e in self.engines.engines.values() if e.is_leaving],
            control=None,
            counts=self.metrics.counts,
            leases={},
        )

    def give_state(self, kind: type) -> State | None:
        """Return a part of the state that another router can take over; None if there is none."""
        if not self.is_informed:
            return None
        if kind is TableState:
            return TableState(self.tables.seen, zlib.compress(self.tables.spec))
        if kind is EnginesState:
            told = exchange.engines_told(self.engines)
            return EnginesState(self.engine_follower.revision, told)
        return CachesState(exchange.caches_told(self.selector))

    def take_state(self, state: State, address: str) -> None:
        """Take over what another router knows better."""
        match state:
            case TableState(revision, table):
                self.tables.offer(revision, zlib.decompress(table), address)
            case EnginesState(revision, engines):
                if revision > (self.engine_follower.revision or 0):
                    exchange.take_engines(self.engines, engines, revision)
                    self.engine_follower.revision = revision
            case CachesState(caches):
                exchange.take_caches(self.selector, caches)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open every part; the stack closes them in reverse order."""
        await stack.enter_async_context(self.store)
        await stack.enter_async_context(self.sessions)
        stack.push_async_callback(self.tasks.stop)
        self.tasks.start(self.tables.follow)
        self.tasks.start(self.engine_follower.follow)
        stack.callback(self.telling.close)
        await self.telling.start()
        stack.push_async_callback(self.state_calls.close)
        await self.state_calls.start()
        self.tasks.start(self.telling.tell_for_ever)
        self.tasks.start(self.state_calls.catch_up_for_ever)
        self.tasks.start(self.discovery.follow)
        self.tasks.start(self.join)
        stack.push_async_callback(self.ingress.close)
        await self.ingress.start(*endpoint(self.settings.callers))
        await self.serve_page(stack, self.readiness, endpoint(self.settings.readiness))
        if self.metrics_at:
            self.add_gauges()
            address = (self.settings.address, self.metrics_at.port)
            await self.serve_page(stack, self.serve_metrics, address)
        log(
            Event.ROUTER_STARTED,
            router=self.settings.name,
            domain=self.settings.failure_domain,
        )

    async def join(self) -> None:
        """Learn the caches once the engines are known, then rest."""
        while not self.is_informed:
            await asyncio.sleep(JOIN_CHECK_S)
        await self.joining.learn()
        await asyncio.Event().wait()

    async def serve_page(
        self, stack: AsyncExitStack, handler: Callable, address: tuple[str, int]
    ) -> None:
        """Serve one page on an address of its own."""
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *address).start()

    def add_gauges(self) -> None:
        """Name the levels that the metrics page shows."""
        self.metrics.gauges = {
            "requests_in_flight": lambda: len(self.ingress.busy),
            "routers_heard": lambda: len(self.directory.heard()),
            "engines_listed": lambda: len(self.engines.engines),
            "table_revision": lambda: self.tables.seen,
            "store_calls": lambda: self.store.calls,
            "store_answers": lambda: float(self.has_store),
        }

    async def serve_metrics(self, request: web.BaseRequest) -> web.Response:
        """Serve the metrics page."""
        if request.path != self.metrics_at.path:
            return web.Response(status=404)
        return web.Response(body=render_page(self.metrics), content_type="text/plain")

    async def readiness(self, request: web.BaseRequest) -> web.Response:
        """Tell the balancer whether to send clients here."""
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready else 503)

    def adopt(self, settings: HostSettings) -> None:
        """Take over what may change while the router runs: the store's address and the bounds."""
        self.store.address = settings.store
        self.forwarding.bounds = settings.bounds

    async def shut_down(self) -> None:
        """Leave gracefully: fail readiness, serve what still comes, finish all, then stop."""
        log(Event.ROUTER_DRAINING, in_flight=len(self.ingress.busy))
        self.ingress.is_stopping = True
        try:
            async with asyncio.timeout(self.settings.bounds.stop_s - STOP_MARGIN_S):
                await asyncio.sleep(LEAVE_ROTATION_S)
                self.ingress.refuse_connections()
                await self.ingress.finish_all()
        except TimeoutError:
            log(Event.ROUTER_DRAINING, in_flight=len(self.ingress.busy))


def endpoint(text: str) -> tuple[str, int]:
    """Return the host and port of an endpoint."""
    host, _, port = text.rpartition(":")
    return host, int(port)
