"""One router of the fleet: everything it owns, started and stopped in order."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from aiohttp import web

from marjoramspool.engine_choice import EngineChoice
from marjoramspool.engine_list import EngineList
from marjoramspool.events import Event, log
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
from marjoramspool.startup_wait import StartupWait
from marjoramspool.status import MemberStatus, Status
from marjoramspool.store_watchers import WatchRole

__all__ = ["FleetRouter", "MetricsAddress"]

STORE_TIMEOUT_S = 1.0
STOP_MARGIN_S = 0.4
RESTART_DELAY_S = 0.2
BOOTSTRAP_CHECK_PERIOD_S = 0.02
# The store usually brings a change to all that watch within this time.
WATCH_DELAY_S = 0.3


@dataclass(slots=True, frozen=True)
class MetricsAddress:
    """Say on which port and path the metrics page is served."""

    port: int
    path: str


class FleetRouter(Lifecycle):
    """Own every part of one router; use as an async context manager."""

    __slots__ = (
        "choice",
        "directory",
        "discovery",
        "engine_watcher",
        "engines",
        "startup_wait",
        "forwarding",
        "ingress",
        "metrics",
        "metrics_address",
        "joining",
        "sessions",
        "settings",
        "state_calls",
        "store",
        "table_watcher",
        "telling",
    )

    def __init__(self, settings: HostSettings, metrics_address: MetricsAddress | None = None):
        super().__init__(settings.name, RESTART_DELAY_S)
        self.settings = settings
        self.metrics_address = metrics_address
        self.metrics = Metrics(None)
        self.store = Store(settings.store, STORE_TIMEOUT_S)
        self.engines = EngineList()
        self.table_watcher = follow_table(self.store, self.watch_role)
        self.engine_watcher = follow_engines(self.store, self.engines, self.watch_role)
        self.choice = EngineChoice(
            settings.failure_domain, self.engines, lambda: self.table_watcher.table
        )
        self.sessions = EngineSessions()
        self.directory = Directory(settings.address, settings.failure_domain, settings.link_mbps)
        self.forwarding = Forwarding(
            self.choice, self.sessions, settings.bounds, self.directory.size, self.metrics
        )
        self.telling = Telling(
            settings.peers_port, self.directory, self.choice, self.state_versions
        )
        self.state_calls = StateCalls(
            self.directory,
            settings.peers_port,
            self.export_state,
            self.import_state,
            self.is_behind,
            self.peer_fetch_delay_s,
            self.status,
        )
        self.joining = Joining(
            self.directory, self.choice, self.state_calls, self.sessions, self.telling.note_listed
        )
        operators = f"{settings.address}:{settings.peers_port}"
        self.discovery = Discovery(self.store, settings.name, self.directory, operators)
        self.startup_wait = StartupWait(lambda: self.has_initial_state)
        self.ingress = Ingress(self.forwarding, self.table_watcher, self.startup_wait)

    @property
    def has_initial_state(self) -> bool:
        """Tell whether the routes and the engines are known."""
        return self.table_watcher.table is not None and self.engine_watcher.revision is not None

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be served here."""
        return self.has_initial_state and not self.ingress.is_stopping

    @property
    def is_store_available(self) -> bool:
        """Tell whether the store answers this router, as far as is known."""
        return not (self.table_watcher.has_failed or self.engine_watcher.has_failed)

    def watch_role(self) -> WatchRole:
        """Return for whom this router watches the store."""
        if relays.is_direct(self.directory):
            return WatchRole.INDEPENDENT
        if self.directory.me in relays.watchers(self.directory, self.is_store_available):
            return WatchRole.DESIGNATED
        return WatchRole.PASSIVE

    def peer_fetch_delay_s(self) -> float:
        """Return how long the store may take before another router is asked, in seconds."""
        return 0.0 if self.watch_role() is WatchRole.PASSIVE else WATCH_DELAY_S

    def state_versions(self) -> Knowledge:
        """Return how new the routes and the engines are that this router knows."""
        return Knowledge(
            self.table_watcher.table_revision,
            self.engine_watcher.revision or 0,
            self.engines.digest(),
            self.is_store_available,
        )

    def is_behind(self, kind: type, peer: Peer) -> bool:
        """Tell whether another router knows newer routes or engines."""
        if kind is TableState:
            return peer.table_revision > self.table_watcher.table_revision
        is_newer = peer.engines_revision > (self.engine_watcher.revision or 0)
        return is_newer and peer.engines_digest != self.engines.digest()

    def status(self) -> Status:
        """Return what operators see of this router."""
        live_addresses = {peer.address for peer in self.directory.heard()}
        return Status(
            router=self.settings.name,
            domain=self.settings.failure_domain,
            is_ready=self.is_ready,
            is_draining=self.ingress.is_stopping,
            in_flight=len(self.ingress.busy),
            versions={
                "routes": self.table_watcher.table.version if self.table_watcher.table else 0
            },
            faults={} if self.is_store_available else {"store": "it does not answer"},
            members=[
                MemberStatus(
                    peer.address,
                    peer.address,
                    "",
                    peer.domain,
                    "alive" if peer.address in live_addresses else "silent",
                )
                for peer in self.directory.peers.values()
            ],
            owned={},
            leaving=[e.id for e in self.engines.engines.values() if e.is_leaving],
            control=None,
            counts=self.metrics.counts,
            leases={},
        )

    def export_state(self, kind: type) -> State | None:
        """Return a part of the state that another router can take over; None if there is none."""
        if not self.has_initial_state:
            return None
        if kind is TableState:
            return TableState(
                self.table_watcher.table_revision, zlib.compress(self.table_watcher.spec)
            )
        if kind is EnginesState:
            entries = exchange.engines_told(self.engines)
            return EnginesState(self.engine_watcher.revision, entries)
        return CachesState(exchange.caches_told(self.choice))

    def import_state(self, state: State, address: str) -> None:
        """Take over what another router knows better."""
        match state:
            case TableState(revision, table):
                self.table_watcher.apply_if_newer(revision, zlib.decompress(table), address)
            case EnginesState(revision, engines):
                if revision > (self.engine_watcher.revision or 0):
                    exchange.take_engines(self.engines, engines, revision)
                    self.engine_watcher.revision = revision
            case CachesState(caches):
                exchange.take_caches(self.choice, caches)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open every part; the stack closes them in reverse order."""
        await stack.enter_async_context(self.store)
        await stack.enter_async_context(self.sessions)
        stack.push_async_callback(self.tasks.stop)
        self.tasks.start(self.table_watcher.run)
        self.tasks.start(self.engine_watcher.run)
        stack.callback(self.telling.close)
        await self.telling.start()
        stack.push_async_callback(self.state_calls.close)
        await self.state_calls.start()
        self.tasks.start(self.telling.tell_for_ever)
        self.tasks.start(self.state_calls.catch_up_for_ever)
        self.tasks.start(self.discovery.follow)
        self.tasks.start(self.bootstrap_caches)
        stack.push_async_callback(self.ingress.close)
        await self.ingress.start(*split_endpoint(self.settings.callers))
        await self.serve_page(stack, self.serve_readiness, split_endpoint(self.settings.readiness))
        if self.metrics_address:
            self.register_gauges()
            address = (self.settings.address, self.metrics_address.port)
            await self.serve_page(stack, self.serve_metrics, address)
        log(
            Event.ROUTER_STARTED,
            router=self.settings.name,
            domain=self.settings.failure_domain,
        )

    async def bootstrap_caches(self) -> None:
        """Learn the caches once the engines are known, then rest."""
        while not self.has_initial_state:
            await asyncio.sleep(BOOTSTRAP_CHECK_PERIOD_S)
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

    def register_gauges(self) -> None:
        """Name the levels that the metrics page shows."""
        self.metrics.gauges = {
            "requests_in_flight": lambda: len(self.ingress.busy),
            "routers_heard": lambda: len(self.directory.heard()),
            "engines_listed": lambda: len(self.engines.engines),
            "table_revision": lambda: self.table_watcher.table_revision,
            "store_calls": lambda: self.store.calls,
            "store_answers": lambda: float(self.is_store_available),
        }

    async def serve_metrics(self, request: web.BaseRequest) -> web.Response:
        """Serve the metrics page."""
        if request.path != self.metrics_address.path:
            return web.Response(status=404)
        return web.Response(body=render_page(self.metrics), content_type="text/plain")

    async def serve_readiness(self, request: web.BaseRequest) -> web.Response:
        """Tell the balancer whether to send clients here."""
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready else 503)

    def apply_settings(self, settings: HostSettings) -> None:
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


def split_endpoint(text: str) -> tuple[str, int]:
    """Return the host and port of an endpoint."""
    host, _, port = text.rpartition(":")
    return host, int(port)
