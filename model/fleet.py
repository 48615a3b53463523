"""Simulated routers that run the product's own decisions and messages in virtual time."""

import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from marjoramspool import hashing
from marjoramspool.admission.load_shedding import Shed
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.outlier_detection import OutlierDetector
from marjoramspool.engine_state.unreported_load import HotParts, WorkRate
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.load_broadcast import LoadBroadcast, StateVersions
from marjoramspool.placement.cost_placement import LOAD_BOUND_EXTRA_REQUESTS
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.placement.placements import Placement
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import (
    EngineCapacity,
    Route,
    RouteKind,
    RouteTable,
    Service,
    TrafficSplit,
)
from model.engines import Job, ModelEngine, PrefillCounts
from model.network import Network
from model.parameters import FleetParameters, RequestParameters
from model.virtual_clock import VirtualClock

__all__ = ["Fleet", "Outcomes"]

SERVICE = "model"
# An engine is loaded far above the mean if it has more requests than OVERLOAD_FACTOR times the
# mean plus OVERLOAD_EXTRA_REQUESTS.
OVERLOAD_FACTOR = 2.0
OVERLOAD_EXTRA_REQUESTS = LOAD_BOUND_EXTRA_REQUESTS + 1
DEADLINE_FACTOR = 3.0


@dataclass(slots=True)
class Outcomes:
    """Numbers of requests by outcome, and of placements on engines loaded far above the mean."""

    requests: int = 0
    in_target: int = 0
    late: int = 0
    abandoned: int = 0
    shed: int = 0
    placed: int = 0
    far_above: int = 0
    first_event_delays_s: list[float] = field(default_factory=list)


class ModelRouter:
    """Engine selector and load broadcast of one router."""

    __slots__ = ("selector", "load_broadcast")

    def __init__(self, fleet: "Fleet", number: int):
        clock = fleet.clock
        domain = f"domain-{number % fleet.parameters.domains}"
        address = f"10.{number >> 8}.{number & 255}.1"
        engines = EngineList(clock)
        for engine in fleet.listed_engines:
            engines.register(engine)
        self.selector = selector = EngineSelector(domain, engines, lambda: fleet.table)
        selector.outliers = OutlierDetector(clock)
        selector.hot_parts = HotParts(clock)
        selector.sent_rates[SERVICE] = WorkRate(clock)
        directory = Directory(address, domain, 5 + number % 96, clock)
        versions = StateVersions(1, 1, 1, True)
        self.load_broadcast = LoadBroadcast(1, directory, selector, lambda: versions)


class Fleet:
    """Simulated fleet of routers and engines that serves random requests."""

    def __init__(self, parameters: FleetParameters, seed: int):
        self.parameters = parameters
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.outcomes = Outcomes()
        self.counting_start_s = 0.0
        self.prefill_counts = PrefillCounts()
        self.routes = {kind.name: make_route(kind) for kind in parameters.kinds}
        memory = EngineCapacity(parameters.engine.slots, parameters.engine.memory_tokens)
        self.table = RouteTable(1, services={SERVICE: Service(SERVICE, memory)})
        self.engines = self.make_engines()
        self.listed_engines = [
            Engine(e.name, SERVICE, e.name, e.domain, parameters.engine.slots, False, 1)
            for e in self.engines.values()
        ]
        self.network = Network(
            self.clock, parameters.same_domain_delay_s, parameters.cross_domain_delay_s
        )
        self.routers = [ModelRouter(self, number) for number in range(parameters.routers)]
        self.connect_routers()

    def make_engines(self) -> dict[str, ModelEngine]:
        """Return new engines by name."""
        engines = {}
        for number in range(self.parameters.engines):
            name = f"engine-{number}"
            domain = f"domain-{number % self.parameters.domains}"
            engines[name] = ModelEngine(
                name, domain, self.parameters.engine, self.clock, self.prefill_counts
            )
        return engines

    def connect_routers(self) -> None:
        """Connect all routers and start their load reports, each at a random phase."""
        for router in self.routers:
            self.network.attach(router.load_broadcast)
            for other in self.routers:
                directory = other.load_broadcast.directory
                router.load_broadcast.directory.add_peer(
                    directory.local_address, directory.domain, directory.link_mbps
                )
            initial_delay_s = self.rng.random() * router.load_broadcast.period_s()
            self.clock.schedule(initial_delay_s, self.make_report_timer(router.load_broadcast))

    def make_report_timer(self, load_broadcast: LoadBroadcast) -> Callable[[], None]:
        """Return a callback that sends a load report and schedules the next one."""

        def report() -> None:
            self.clock.schedule(load_broadcast.period_s(), report)
            load_broadcast.directory.expire()
            load_broadcast.send_report()

        return report

    def simulate(self, seconds: float, factor: float = 1.0) -> None:
        """Send requests for some seconds at a multiple of the configured load."""
        end = self.clock() + seconds
        rate = self.parameters.requests_per_s * factor

        def arrive() -> None:
            if self.clock() < end:
                self.clock.schedule(self.rng.expovariate(rate), arrive)
                self.send_new_request()

        arrive()
        self.clock.run_until(end)

    def reset_counters(self) -> None:
        """Reset all counters; outcomes of requests sent earlier are no longer counted."""
        self.outcomes = Outcomes()
        self.counting_start_s = self.clock()
        self.prefill_counts.clear()
        self.network.clear()

    def drain(self) -> None:
        """Run until every request has begun its answer or its caller has abandoned it."""
        longest_s = max(kind.first_event_timeout_s for kind in self.parameters.kinds)
        self.clock.run_until(self.clock() + DEADLINE_FACTOR * longest_s)

    def send_new_request(self) -> None:
        """Send a new request of a random kind to a router."""
        kinds = self.parameters.kinds
        kind = self.rng.choices(kinds, [kind.share for kind in kinds])[0]
        self.outcomes.requests += 1
        request = RoutedRequest(
            id=f"{self.rng.getrandbits(64):016x}",
            route=self.routes[kind.name],
            service=SERVICE,
            account=None,
            method="POST",
            path="/",
            headers=[],
            body=b"",
            received=self.clock(),
            deadline=self.clock() + DEADLINE_FACTOR * kind.first_event_timeout_s,
            prompt=self.draw_prompt(kind),
            clock=self.clock,
        )
        self.route_request(request)

    def draw_prompt(self, kind: RequestParameters) -> Prompt:
        """Return a prompt on a random subject of a kind; some subjects are far more popular."""
        subject = int(kind.subjects * self.rng.random() ** 1.4)
        root, about = f"{kind.name} root {subject % 5}", f"{kind.name} subject {subject}"
        own = max(1, int(self.rng.expovariate(1.0 / kind.unique_tokens)))
        parts = (
            Part(hashing.digest(root), kind.root_tokens),
            Part(hashing.digest(about), kind.subject_tokens),
            Part(self.rng.getrandbits(60), own),
        )
        return Prompt("m", sum(part.tokens for part in parts), kind.output_tokens, parts)

    def route_request(self, request: RoutedRequest, is_retry: bool = False) -> None:
        """Have a random router place a request, and retry once if it is shed."""
        router = self.rng.choice(self.routers)
        match router.selector.place(request, set()):
            case None:
                self.outcomes.abandoned += self.is_counted(request)
            case Shed(retry_after_s=retry_after_s):
                if is_retry:
                    self.outcomes.shed += self.is_counted(request)
                else:
                    self.clock.schedule(
                        retry_after_s, lambda: self.route_request(request, is_retry=True)
                    )
            case placement:
                self.serve(request, placement)

    def serve(self, request: RoutedRequest, placement: Placement) -> None:
        """Submit a request to the engine on which it was placed."""
        engine = self.engines[placement.engine.id]
        self.record_engine_load(engine)
        placement_context = ExitStack()
        placement_context.enter_context(placement)
        source = self.engines[placement.cache_source.id] if placement.cache_source else None

        def on_prefilled() -> None:
            placement.record_prefilled()
            if not job.is_abandoned:
                self.record_first_event(request)

        def abandon() -> None:
            if not job.is_prefilled:
                job.is_abandoned = True
                self.outcomes.abandoned += self.is_counted(request)
                placement_context.close()

        job = Job(
            request.prompt, placement.queue_rank, source, on_prefilled, placement_context.close
        )
        engine.submit(job)
        self.clock.schedule(request.route.first_event_timeout_s, abandon)

    def is_counted(self, request: RoutedRequest) -> bool:
        """Return whether a request was sent since the counters were reset."""
        return request.received >= self.counting_start_s

    def record_first_event(self, request: RoutedRequest) -> None:
        """Record the time to the first event of an answer."""
        if not self.is_counted(request):
            return
        waited_s = self.clock() - request.received
        self.outcomes.first_event_delays_s.append(waited_s)
        if waited_s <= request.route.latency_target_s:
            self.outcomes.in_target += 1
        else:
            self.outcomes.late += 1

    def record_engine_load(self, engine: ModelEngine) -> None:
        """Record a placement and whether the engine is loaded far above the mean."""
        mean = sum(other.requests for other in self.engines.values()) / len(self.engines)
        self.outcomes.placed += 1
        self.outcomes.far_above += (
            engine.requests > OVERLOAD_FACTOR * mean + OVERLOAD_EXTRA_REQUESTS
        )


def make_route(kind: RequestParameters) -> Route:
    """Return the route for one kind of request."""
    return Route(
        name=kind.name,
        host="",
        prefix="/",
        kind=RouteKind.STREAMING,
        traffic_splits=(TrafficSplit(SERVICE, 1.0),),
        timeout_s=DEADLINE_FACTOR * kind.first_event_timeout_s,
        latency_target_s=kind.latency_target_s,
        priority=kind.priority,
        max_attempts=1,
        is_public=True,
        is_resumable=False,
        first_event_timeout_s=kind.first_event_timeout_s,
    )
