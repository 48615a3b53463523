"""Assembly of one router: its components, started and stopped in order."""

import asyncio
import random
import time
from contextlib import AsyncExitStack

import msgspec

from marjoramspool import partition
from marjoramspool.admission.admission_control import AdmissionController
from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.answer_bodies import AnswerMemory
from marjoramspool.audit import AuditLog
from marjoramspool.callers.server import CallersServer
from marjoramspool.claims import Claims, select_preferred_router
from marjoramspool.configuration import Configuration
from marjoramspool.document import Target
from marjoramspool.document_watcher import Watcher
from marjoramspool.engine_state.poison_parts import PoisonDetector
from marjoramspool.engine_state.quarantine_store import QuarantineStore
from marjoramspool.engines.client import EngineDispatcher
from marjoramspool.engines.orders import OrderReconciler
from marjoramspool.events import Event, log
from marjoramspool.explain import Traces
from marjoramspool.http import Sessions
from marjoramspool.lifecycle import Lifecycle
from marjoramspool.membership import Member, Membership
from marjoramspool.metrics import Metrics
from marjoramspool.operators.server import OperatorsServer
from marjoramspool.peer_routing import PeerRouting
from marjoramspool.process_limits import client_limits
from marjoramspool.routers.credentials import client_credentials, server_credentials
from marjoramspool.routers.gossip import DRAIN_REPORT_SOURCE, Gossip
from marjoramspool.routers.links import Links
from marjoramspool.routers.path_selection import PathSelection
from marjoramspool.routers.path_server import PathServer
from marjoramspool.routers.paths import RouterPaths
from marjoramspool.routers.server import RoutersServer, start_server
from marjoramspool.routing import Routing
from marjoramspool.services.client import ServiceDispatcher
from marjoramspool.settings import Settings
from marjoramspool.storage import Platform
from marjoramspool.target_failures import TargetFailures
from marjoramspool.target_reach import TargetReach
from marjoramspool.targets import Decision, Targets

__all__ = ["Router"]

RESTART_DELAY_S = 0.5
# For how long callers may leave a connection idle.
IDLE_TIMEOUT_S = 60.0
IDLE_LINK_CHECK_PERIOD_S = 10.0
GRANT_RESEND_PERIOD_S = 5.0


class Router(Lifecycle):
    """Router with all of its components; use as an async context manager."""

    __slots__ = (
        "admission_controller",
        "audit",
        "budget",
        "callers",
        "claims",
        "configuration",
        "engines",
        "failures",
        "gossip",
        "links",
        "membership",
        "metrics",
        "operators",
        "orders",
        "path_server",
        "paths",
        "platform",
        "poison",
        "quarantine_store",
        "reach",
        "routing",
        "servicer",
        "services",
        "sessions",
        "settings",
        "targets",
        "traces",
        "watcher",
    )

    def __init__(self, settings: Settings):
        timings = settings.timings
        super().__init__(settings.name, RESTART_DELAY_S)
        self.settings = settings
        self.metrics = Metrics(settings.statsd)
        self.budget = ClientBudget(
            client_limits(settings.limits.process), self.metrics, lambda: IDLE_TIMEOUT_S
        )
        self.targets = Targets()
        self.configuration = Configuration()
        self.membership = Membership(
            Member(
                name=settings.name,
                address=f"{settings.address}:{settings.peers_port}",
                domain=settings.failure_domain,
                operators=f"{settings.address}:{settings.operators_port}",
                incarnation=int(time.time() * 1000),
            )
        )
        self.platform = Platform(
            settings.platform, timings.platform_timeout_s, settings.limits.platform_calls_per_s
        )
        self.sessions = Sessions(
            timings.connect_timeout_s, AnswerMemory(self.budget.limits.answer_bytes)
        )
        self.engines = EngineDispatcher(self.sessions)
        self.services = ServiceDispatcher(self.sessions)
        self.reach = TargetReach(self.configuration, self.targets, self.sessions)
        for dispatcher in (self.engines, self.services):
            dispatcher.on_limit.append(self.targets.limits.record_answer)
        self.links = Links(
            settings.name,
            timings.owner_answer_timeout_s,
            self.address_of,
            client_credentials(settings.peers_tls),
        )
        self.admission_controller = AdmissionController(
            self.configuration, self.membership, self.targets, settings.placement, self.links
        )
        self.links.local_grants_by_owner = self.admission_controller.grants_by_owner
        self.poison = PoisonDetector()
        self.poison.is_trial_router = self.membership.is_first
        self.quarantine_store = QuarantineStore(self.platform.store, self.poison)
        self.claims = Claims(
            self.platform,
            settings.claim_shards,
            lambda shard: select_preferred_router(
                shard, settings.name, self.membership.responsive_names()
            ),
            self.links.claim,
            self.longest_claim_retention_s,
        )
        self.gossip = Gossip(
            self.membership,
            self.configuration,
            self.targets,
            self.links,
            self.platform,
            self.poison,
            timings.probe_timeout_s,
        )
        self.watcher = Watcher(
            self.platform,
            self.configuration,
            self.membership,
            timings.watch_timeout_s,
            timings.router_poll_period_s,
            timings.probe_period_s,
            self.gossip.silence_s,
        )
        self.audit = AuditLog(settings.name, self.platform)
        self.targets.decisions.subscribe(self.record_decision)
        self.orders = OrderReconciler(
            settings.name,
            self.membership.responsive_names,
            self.platform,
            self.configuration,
            self.engines,
            self.audit,
        )
        self.traces = Traces(settings.name, settings.limits.traces)
        self.paths = RouterPaths(
            PathSelection(self.membership), client_credentials(settings.peers_tls)
        )
        self.paths.memory = self.sessions.memory
        self.failures = TargetFailures(self.targets, self.reach, self.paths)
        self.routing = Routing(
            self.admission_controller,
            self.claims,
            self.targets,
            self.poison,
            {"model": self.engines, "plain": self.services},
            self.traces,
            self.metrics,
            self.reach,
            self.failures,
            PeerRouting(self.paths, self.configuration, self.metrics),
        )
        self.callers = CallersServer(
            self.routing,
            self.configuration,
            settings.limits,
            self.metrics,
            self.budget,
            self.sessions.memory,
        )
        self.path_server = PathServer(self.callers, self.configuration, self.reach)
        self.operators = OperatorsServer(self)
        self.servicer = RoutersServer(
            self.admission_controller, self.configuration, self.claims, self.gossip, self.explain
        )

    def address_of(self, router: str) -> str | None:
        """Return the peer address of a router, None if the router is unknown."""
        member = self.membership.members.get(router)
        return member.address if member else None

    def longest_claim_retention_s(self) -> float:
        """Return the longest claim retention of all services, in seconds."""
        retentions_s = [document.claim_retention_s for document in self.configuration.documents()]
        return max(retentions_s, default=86400.0)

    def record_decision(self, decision: Decision) -> None:
        """Write a decision about a target to the audit trail, unless a peer reported it."""
        if decision.details.get("source") != DRAIN_REPORT_SOURCE:
            self.audit.record(decision.what, **decision.details)

    async def explain(self, request: str) -> bytes:
        """Return this router's trace of a request, empty if it has none."""
        trace = self.traces.get(request)
        return msgspec.json.encode(trace) if trace else b""

    async def open(self, stack: AsyncExitStack) -> None:
        """Open all components; the stack closes them in reverse order."""
        settings = self.settings
        await stack.enter_async_context(self.platform)
        await stack.enter_async_context(self.sessions)
        await stack.enter_async_context(self.links)
        await stack.enter_async_context(self.paths)
        stack.push_async_callback(self.claims.close)
        stack.push_async_callback(self.gossip.close)
        server = await start_server(
            self.servicer,
            f"{settings.address}:{settings.peers_port}",
            server_credentials(settings.peers_tls),
            [self.path_server.handler()],
        )
        stack.push_async_callback(server.stop, 0)
        stack.push_async_callback(self.callers.close)
        await self.callers.start(settings.address, settings.callers_port, settings.callers_tls)
        stack.push_async_callback(self.operators.close)
        await self.operators.start(settings.address, settings.operators_port)
        stack.push_async_callback(self.tasks.stop)
        self.start_tasks()
        log(Event.ROUTER_STARTED, router=settings.name, domain=settings.failure_domain)

    def start_tasks(self) -> None:
        """Start the background tasks."""
        timings = self.settings.timings
        work = {
            "documents": self.watcher.watch_documents,
            "routers": self.watcher.poll_routers,
            "reports": self.poll_load_reports,
            "reach": self.reach.monitor.run,
            "quarantines": self.quarantine_store.run,
            "links": self.close_idle_links,
            "holdings": self.resend_grants_periodically,
            "audit": self.audit.flush_periodically,
            "orders": self.orders.run_reconciliation,
            "seeds": lambda: self.gossip.discover_peers(
                self.settings.seeds, timings.probe_period_s
            ),
            "probes": lambda: self.membership.run_probes(
                self.gossip.probe,
                self.gossip.probe_indirectly,
                timings.probe_period_s,
                timings.suspicion_timeout_s,
            ),
        }
        for name, start in work.items():
            self.tasks.start(start, name)

    async def poll_load_reports(self) -> None:
        """Poll the load reports of the engines of owned cells."""
        period_s = self.settings.timings.poll_period_s
        while True:
            owned = list(self.owned_engines())
            await asyncio.gather(*[self.poll_load_report(*target) for target in owned])
            await asyncio.sleep(period_s * random.uniform(0.9, 1.1))

    def owned_engines(self):
        """Yield each engine of owned cells, with its service."""
        for name in self.admission_controller.owned_cells():
            document = self.configuration.document(partition.service_of(name))
            for engine in partition.engines_of(document, name):
                yield document.name, document.targets[engine]

    async def poll_load_report(self, service: str, target: Target) -> None:
        """Read one load report; no answer counts as a failure of the engine or of the path."""
        report = await self.engines.fetch_load_report(target.address)
        if report is None:
            await self.reach.confirm(service)
            await self.failures.record(service, target)
        else:
            self.targets.record_report(target.address, report)

    async def close_idle_links(self) -> None:
        """Close unused links periodically."""
        while True:
            await asyncio.sleep(IDLE_LINK_CHECK_PERIOD_S)
            self.links.close_idle_links()
            await self.paths.close_idle_channels()

    async def resend_grants_periodically(self) -> None:
        """Report this router's grants to the owners periodically."""
        while True:
            await asyncio.sleep(GRANT_RESEND_PERIOD_S * random.uniform(0.8, 1.2))
            self.admission_controller.resend_grants()

    async def shut_down(self) -> bool:
        """Shut down gracefully: fail readiness, wait for the balancer, drain, hand over.

        Return whether all requests in flight were completed.
        """
        timings = self.settings.timings
        log(Event.ROUTER_DRAINING, in_flight=self.callers.in_flight)
        self.callers.begin_drain(timings.drain_delay_s + timings.drain_s, timings.drain_delay_s)
        self.membership.leave()
        await asyncio.gather(*[self.gossip.probe(m) for m in self.membership.live_peers()[:8]])
        # Unregister before the last request is finished, so that nothing delays the close after it.
        await self.watcher.unregister()
        await asyncio.sleep(timings.drain_delay_s)
        is_complete = await self.callers.drain(timings.drain_s)
        await self.orders.release_leases()
        await self.audit.flush()
        return is_complete
