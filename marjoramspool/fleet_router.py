"""One router of the fleet: assembly, startup, readiness and graceful shutdown."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from aiohttp import web

from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.admission.drain_admission import REFUSAL_S
from marjoramspool.answer_bodies import AnswerMemory
from marjoramspool.client_listener import PAGE_CONNECTIONS, ClientListener
from marjoramspool.clock import now
from marjoramspool.engine_state.cold_shares import FleetView
from marjoramspool.engine_state.engine_list import EngineList
from marjoramspool.engine_state.poison_parts import describe_quarantines
from marjoramspool.engine_state.quarantine_store import QuarantineStore
from marjoramspool.engine_state.reach_monitor import ReachMonitor
from marjoramspool.engine_state.request_limits import describe_limits
from marjoramspool.engine_state.slow_probes import SlowProbes
from marjoramspool.events import Event, log
from marjoramspool.forwarding import Forwarding
from marjoramspool.lifecycle import Lifecycle
from marjoramspool.metrics import Metrics
from marjoramspool.metrics_page import render_metrics_page
from marjoramspool.peers import state_transfer
from marjoramspool.peers.cache_bootstrap import CacheBootstrap
from marjoramspool.peers.directory import Directory, Peer
from marjoramspool.peers.discovery import Discovery
from marjoramspool.peers.forwarded_server import ForwardedServer
from marjoramspool.peers.load_broadcast import LoadBroadcast, PathState, StateVersions
from marjoramspool.peers.messages import (
    CachesState,
    EnginesState,
    EvacuationReport,
    TableState,
)
from marjoramspool.peers.peer_paths import PeerPaths
from marjoramspool.peers.state_sync import State, StateSync
from marjoramspool.peers.watch_roles import WatchRoles
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.platform.egress import EngineSessions
from marjoramspool.platform.ingress import Ingress
from marjoramspool.platform.settings import BALANCER_REMOVAL_DELAY_S, READINESS_PATH, HostSettings
from marjoramspool.platform.store import Store
from marjoramspool.platform.watchers import (
    new_engine_watcher,
    new_evacuation_watcher,
    new_table_watcher,
)
from marjoramspool.process_limits import client_limits
from marjoramspool.startup_wait import StartupWait
from marjoramspool.status import MemberStatus, Status
from marjoramspool.store_replicas.store_watcher import WatchRole
from marjoramspool.store_versions import epoch_of

__all__ = ["FleetRouter", "MetricsAddress"]

STORE_TIMEOUT_S = 1.0
STOP_MARGIN_S = 0.4
RESTART_DELAY_S = 0.2
BOOTSTRAP_CHECK_PERIOD_S = 0.02
# Later than this after a start, a router serves without knowing the evacuations: neither the store
# nor another router tells them.
MAX_EVACUATIONS_WAIT_S = 4.0
# The heartbeats of the others arrive within this time after a start.
MIN_SETTLING_S = 1.5


@dataclass(slots=True, frozen=True)
class MetricsAddress:
    """Port and path of the metrics page."""

    port: int
    path: str


class FleetRouter(Lifecycle):
    """Router with all its components; use as an async context manager."""

    __slots__ = (
        "budget",
        "cache_bootstrap",
        "directory",
        "discovery",
        "engine_watcher",
        "engines",
        "evacuation_watcher",
        "forwarded",
        "forwarding",
        "ingress",
        "load_broadcast",
        "metrics",
        "metrics_address",
        "paths",
        "quarantine_store",
        "reach",
        "selector",
        "sessions",
        "settings",
        "slow_probes",
        "started_at",
        "startup_wait",
        "state_sync",
        "store",
        "table_watcher",
        "watch_roles",
    )

    def __init__(self, settings: HostSettings, metrics_address: MetricsAddress | None = None):
        super().__init__(settings.name, RESTART_DELAY_S)
        self.settings = settings
        self.metrics_address = metrics_address
        self.metrics = Metrics(None)
        self.budget = ClientBudget(
            client_limits(settings.process),
            self.metrics,
            lambda: self.table_watcher.client_limits().idle_timeout_s,
        )
        answer_memory = AnswerMemory(self.budget.limits.answer_bytes)
        self.store = Store(settings.store_endpoint, STORE_TIMEOUT_S)
        self.engines = EngineList()
        self.directory = Directory(settings.address, settings.failure_domain, settings.link_mbps)
        self.watch_roles = WatchRoles(
            self.directory, lambda: self.is_store_available, lambda: self.state_sync.behind_s()
        )
        self.table_watcher = new_table_watcher(self.store, self.watch_roles.current)
        self.engine_watcher = new_engine_watcher(self.store, self.engines, self.watch_roles.current)
        self.evacuation_watcher = None
        if settings.bounds.evacuation_s is not None:
            self.evacuation_watcher = new_evacuation_watcher(
                self.store, self.engines.evacuations, self.watch_roles.current
            )
        self.started_at = now()
        self.selector = EngineSelector(
            settings.failure_domain, self.engines, lambda: self.table_watcher.table
        )
        self.sessions = EngineSessions(settings.address, answer_memory)
        self.sessions.on_departure.append(self.engines.record_announcement)
        self.sessions.on_pause.append(self.selector.pauses.record)
        self.sessions.on_brittle.append(self.selector.room.record_answer)
        self.sessions.on_limit.append(self.selector.limits.record_answer)
        self.sessions.on_cold.append(self.selector.cold.record_answer)
        self.selector.cold.bounds = settings.bounds
        self.selector.cold.shares.fleet = self.fleet_view
        self.sessions.on_idle_closed.append(self.selector.record_idle_closed)
        self.sessions.on_load.append(self.selector.speeds.record_answer)
        self.reach = ReachMonitor(self.engines, self.sessions)
        self.reach.reach.on_returned.append(self.selector.forget_ejections)
        self.paths = PeerPaths(
            self.directory, settings.peers_port, lambda: self.table_watcher.table_version
        )
        self.paths.memory = answer_memory
        self.load_broadcast = LoadBroadcast(
            settings.peers_port,
            self.directory,
            self.selector,
            self.state_versions,
            self.path_state,
        )
        self.forwarding = Forwarding(
            self.selector,
            self.sessions,
            settings.bounds,
            self.directory.size,
            self.load_broadcast.origins,
            self.reach,
            self.paths,
            self.metrics,
        )
        self.forwarded = ForwardedServer(
            self.forwarding,
            self.reach.reach,
            lambda: self.table_watcher.table,
            lambda: self.is_ready,
        )
        self.state_sync = StateSync(
            self.directory,
            settings.peers_port,
            self.export_state,
            self.import_state,
            self.is_behind,
            self.watch_roles.fetch_delay_s,
            self.status,
            self.forwarded.handle,
        )
        operators = f"{settings.address}:{settings.peers_port}"
        self.discovery = Discovery(self.store, settings.name, self.directory, operators)
        self.cache_bootstrap = CacheBootstrap(
            self.directory,
            self.selector,
            self.state_sync,
            self.sessions,
            self.load_broadcast.own.queue_listing,
            lambda: self.discovery.is_settled,
        )
        self.selector.limits.share = lambda: self.load_broadcast.heard_share(self.fleet_size())
        self.selector.heard_share = lambda: self.load_broadcast.heard_share(
            1 + len(self.directory.peers)
        )
        self.selector.poison.is_trial_router = self.directory.is_first
        self.slow_probes = SlowProbes(
            self.engines,
            self.selector.speeds,
            self.selector.loads,
            self.sessions,
            self.health_path,
            self.directory.is_first,
            lambda: self.load_broadcast.heard_share(self.fleet_size()),
        )
        self.quarantine_store = QuarantineStore(self.store, self.selector.poison)
        self.startup_wait = StartupWait(
            lambda: self.has_initial_state and self.quarantine_store.is_listed
        )
        self.ingress = Ingress(
            self.forwarding, self.table_watcher, self.startup_wait, self.budget, answer_memory
        )

    @property
    def has_initial_state(self) -> bool:
        """Return whether the route table, the engine list and the evacuations are known."""
        return (
            self.table_watcher.table is not None
            and self.engine_watcher.revision is not None
            and self.is_informed_of_evacuations
        )

    @property
    def is_informed_of_evacuations(self) -> bool:
        """Return whether the evacuations are known, or nobody could tell them for some seconds."""
        return (
            self.evacuation_watcher is None
            or self.engines.evacuations.version is not None
            or now() - self.started_at > MAX_EVACUATIONS_WAIT_S
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this router can serve requests."""
        return self.has_initial_state and not self.ingress.is_draining

    @property
    def is_store_available(self) -> bool:
        """Return whether the store answered the last calls of both watchers."""
        return not (self.table_watcher.has_failed or self.engine_watcher.has_failed)

    def state_versions(self) -> StateVersions:
        """Return the versions of the local route table and engine list."""
        return StateVersions(
            self.table_watcher.table_revision,
            self.engine_watcher.revision or 0,
            self.engines.digest(),
            self.is_store_available,
            self.table_watcher.table_version,
            self.evacuation_report(),
        )

    def evacuation_report(self) -> EvacuationReport | None:
        """Return the evacuations to tell; only routers that watch the store tell them."""
        evacuations = self.engines.evacuations
        is_watching = self.watch_roles.current() is not WatchRole.PASSIVE
        if self.evacuation_watcher is None or evacuations.version is None or not is_watching:
            return None
        return EvacuationReport(evacuations.version, tuple(sorted(evacuations.domains)))

    def path_state(self) -> PathState:
        """Return what other routers need to know to send requests through this one."""
        return PathState(
            self.is_ready,
            tuple(self.reach.reach.cut_off_services()),
            len(self.ingress.active_connections) + self.forwarded.active,
        )

    def is_behind(self, state_type: type, peer: Peer) -> bool:
        """Return whether a peer has a newer route table or engine list."""
        if state_type is TableState:
            if peer.table_version:
                return peer.table_version > self.table_watcher.table_version
            # A router of an earlier release reports only the revision.
            return peer.table_revision > self.table_watcher.table_revision
        is_newer = peer.engines_revision > (self.engine_watcher.revision or 0)
        return is_newer and peer.engines_digest != self.engines.digest()

    def status(self) -> Status:
        """Return the status of this router for operators."""
        live_addresses = {peer.address for peer in self.directory.live_peers()}
        return Status(
            router=self.settings.name,
            domain=self.settings.failure_domain,
            is_ready=self.is_ready,
            is_draining=self.ingress.is_draining,
            in_flight=len(self.ingress.active_connections),
            versions={
                "routes": self.table_watcher.table.version if self.table_watcher.table else 0
            },
            faults=self.faults(),
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
            leaving=[e.id for e in self.engines.engines.values() if self.engines.is_draining(e)],
            control=None,
            counts=self.metrics.counts,
            leases={},
        )

    def fleet_size(self) -> int:
        """Return the number of routers of the fleet, an upper bound until they are known."""
        if not self.discovery.is_settled:
            return self.directory.size()
        return 1 + len(self.directory.peers)

    def fleet_view(self) -> FleetView:
        """Return which routers this one hears, and how many it knows of."""
        live = [peer.address for peer in self.directory.live_peers()]
        return FleetView(
            self.directory.local_address,
            tuple(sorted([*live, self.directory.local_address])),
            self.fleet_size(),
            self.discovery.is_settled and now() - self.started_at > MIN_SETTLING_S,
        )

    def health_path(self, service: str) -> str | None:
        """Return the health path of a service, None if it has none."""
        table = self.table_watcher.table
        entry = table.services.get(service) if table else None
        return entry.health_path if entry else None

    def faults(self) -> dict[str, str]:
        """Return what operators should know of, by what it concerns."""
        faults = describe_quarantines(self.selector.poison) | describe_limits(self.selector.limits)
        evacuations = self.engines.evacuations
        for domain in sorted(evacuations.domains | evacuations.held_until.keys()):
            faults[f"failure domain {domain}"] = "it is evacuated"
        for service in self.selector.accounts.contended():
            faults[f"service {service}"] = "its demand exceeds its capacity"
        if not self.is_store_available:
            faults["store"] = "it does not answer"
        return faults

    def export_state(self, state_type: type) -> State | None:
        """Return one kind of state for another router, None before the initial state is known."""
        if not self.has_initial_state:
            return None
        if state_type is TableState:
            return TableState(
                self.table_watcher.table_revision, zlib.compress(self.table_watcher.spec)
            )
        if state_type is EnginesState:
            entries = state_transfer.export_engines(self.engines, self.selector.cold)
            return EnginesState(self.engine_watcher.revision, entries)
        return CachesState(state_transfer.export_caches(self.selector))

    def import_state(self, state: State, address: str) -> None:
        """Merge state of the router at `address` that is newer or not known locally."""
        match state:
            case TableState(revision, table):
                spec = zlib.decompress(table)
                if self.table_watcher.apply_if_newer(revision, spec, address):
                    self.engine_watcher.outage.record_news()
            case EnginesState(revision, engines):
                if revision > (self.engine_watcher.revision or 0):
                    self.engine_watcher.outage.record_news()
                    self.store.advance_epoch(epoch_of(revision))
                    self.engine_watcher.record_epoch(revision)
                    renewals_until = self.engine_watcher.renewal_deadline()
                    state_transfer.import_engines(self.engines, engines, revision, renewals_until)
                    self.engine_watcher.revision = revision
            case CachesState(caches):
                state_transfer.import_caches(self.selector, caches)

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all components; the stack stops them in reverse order."""
        await stack.enter_async_context(self.store)
        await stack.enter_async_context(self.sessions)
        await stack.enter_async_context(self.paths)
        stack.push_async_callback(self.tasks.stop)
        self.tasks.start(self.table_watcher.run)
        self.tasks.start(self.engine_watcher.run)
        if self.evacuation_watcher:
            self.tasks.start(self.evacuation_watcher.run)
        stack.callback(self.load_broadcast.close)
        await self.load_broadcast.start()
        stack.push_async_callback(self.state_sync.close)
        await self.state_sync.start()
        self.tasks.start(self.load_broadcast.run)
        self.tasks.start(self.state_sync.run)
        self.tasks.start(self.discovery.run)
        self.tasks.start(self.quarantine_store.run)
        self.tasks.start(self.reach.run)
        self.tasks.start(self.slow_probes.run)
        self.tasks.start(self.bootstrap_caches)
        stack.push_async_callback(self.ingress.close)
        await self.ingress.start(*split_endpoint(self.settings.client_endpoint))
        await self.serve_page(
            stack, self.serve_readiness, split_endpoint(self.settings.readiness_endpoint)
        )
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
        """Run the cache bootstrap once the initial state is known, then wait for cancellation."""
        while not self.has_initial_state:
            await asyncio.sleep(BOOTSTRAP_CHECK_PERIOD_S)
        await self.cache_bootstrap.run()
        await asyncio.Event().wait()

    async def serve_page(
        self, stack: AsyncExitStack, handler: Callable, address: tuple[str, int]
    ) -> None:
        """Serve `handler` on a separate address."""
        listener = ClientListener(
            web.Server(handler), self.budget, handler.__name__, PAGE_CONNECTIONS
        )
        stack.push_async_callback(listener.close)
        await listener.start(*address)

    def register_gauges(self) -> None:
        """Register the gauges of the metrics page."""
        self.metrics.gauges = {
            "requests_in_flight": lambda: len(self.ingress.active_connections),
            "routers_heard": lambda: len(self.directory.live_peers()),
            "domains_evacuated": lambda: len(self.engines.evacuations.domains),
            "engines_cold": lambda: len(self.selector.cold.cold_engines()),
            "services_contended": lambda: len(self.selector.accounts.contended()),
            "engines_listed": lambda: len(self.engines.engines),
            "speed_probes": lambda: self.slow_probes.sent,
            "targets_slow": self.slow_probes.slow_targets,
            "table_revision": lambda: self.table_watcher.table_revision,
            "run_copies_at_work": lambda: len(self.forwarding.runs.backups.copies),
            "run_moves_at_work": lambda: self.forwarding.mover.moves.active,
            "client_connections": self.budget.connection_count,
            "client_bytes": lambda: self.budget.held_bytes,
            "answer_bytes": lambda: self.ingress.answer_memory.used_bytes,
            "store_calls": lambda: self.store.calls,
            "store_answers": lambda: float(self.is_store_available),
        }

    async def serve_metrics(self, request: web.BaseRequest) -> web.Response:
        """Serve the metrics page, 404 for any other path."""
        if request.path != self.metrics_address.path:
            return web.Response(status=404)
        return web.Response(body=render_metrics_page(self.metrics), content_type="text/plain")

    async def serve_readiness(self, request: web.BaseRequest) -> web.Response:
        """Answer the readiness probe of the load balancer."""
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready else 503)

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply the settings that can change at runtime: the store address, bounds and limits."""
        self.budget.limits = client_limits(settings.process)
        self.ingress.answer_memory.max_bytes = self.budget.limits.answer_bytes
        self.store.address = settings.store_endpoint
        self.forwarding.bounds = settings.bounds
        self.selector.cold.bounds = settings.bounds

    async def shut_down(self) -> None:
        """Drain this router before it stops.

        Readiness fails first, while new requests are still served. Then new connections are
        refused and open requests finished.
        """
        log(Event.ROUTER_DRAINING, in_flight=len(self.ingress.active_connections))
        grace_s = self.settings.bounds.shutdown_grace_s - STOP_MARGIN_S
        self.ingress.begin_drain(grace_s, BALANCER_REMOVAL_DELAY_S)
        loop = asyncio.get_running_loop()
        refusal = loop.call_later(grace_s - REFUSAL_S, self.ingress.refuse_unfinished)
        try:
            async with asyncio.timeout(grace_s):
                await asyncio.sleep(BALANCER_REMOVAL_DELAY_S)
                self.ingress.refuse_connections()
                await self.ingress.wait_until_idle()
                await self.forwarded.wait_until_idle()
                await self.ingress.wait_until_refusals_read()
        except TimeoutError:
            log(Event.ROUTER_DRAINING, in_flight=len(self.ingress.active_connections))
        finally:
            refusal.cancel()


def split_endpoint(text: str) -> tuple[str, int]:
    """Return the host and port of a `HOST:PORT` endpoint."""
    host, _, port = text.rpartition(":")
    return host, int(port)
