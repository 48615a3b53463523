"""Modelled routers: the product's own decisions and messages, in virtual time."""

import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from marjoramspool import hashing
from marjoramspool.cost_placement import LOAD_BOUND_EXTRA_REQUESTS
from marjoramspool.engine_list import Engine, EngineList
from marjoramspool.engine_selector import EngineSelector, Placement
from marjoramspool.load_shedding import Shed
from marjoramspool.outlier_detection import OutlierDetector
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.load_broadcast import LoadBroadcast, StateVersions
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
from marjoramspool.unreported_load import HotParts, WorkRate
from model.engines import Job, ModelEngine, Reading
from model.shape import FleetShape, RequestShape
from model.time import VirtualTime
from model.wire import Wire

__all__ = ["Fleet", "Outcomes"]

SERVICE = "model"
# A load over this many times the mean, and a few requests more, is far above it.
FAR_ABOVE_MEAN = 2.0
FAR_ABOVE_EXTRA = LOAD_BOUND_EXTRA_REQUESTS + 1
DEADLINE_FACTOR = 3.0


@dataclass(slots=True)
class Outcomes:
    """Count what became of requests, and how many met an engine far above the mean."""

    asked: int = 0
    in_target: int = 0
    late: int = 0
    left: int = 0
    turned_away: int = 0
    placed: int = 0
    far_above: int = 0
    first_s: list[float] = field(default_factory=list)


class ModelRouter:
    """Hold the decisions of one router."""

    __slots__ = ("selector", "load_broadcast")

    def __init__(self, fleet: "Fleet", number: int):
        time = fleet.time
        domain = f"domain-{number % fleet.shape.domains}"
        address = f"10.{number >> 8}.{number & 255}.1"
        engines = EngineList(time)
        for engine in fleet.listed:
            engines.register(engine)
        self.selector = selector = EngineSelector(domain, engines, lambda: fleet.table)
        selector.outliers = OutlierDetector(time)
        selector.hot_parts = HotParts(time)
        selector.sent_rates[SERVICE] = WorkRate(time)
        directory = Directory(address, domain, 5 + number % 96, time)
        knowledge = StateVersions(1, 1, 1, True)
        self.load_broadcast = LoadBroadcast(1, directory, selector, lambda: knowledge)


class Fleet:
    """Play requests on a modelled fleet."""

    def __init__(self, shape: FleetShape, seed: int):
        self.shape = shape
        self.random = random.Random(seed)
        self.time = VirtualTime()
        self.outcomes = Outcomes()
        self.counted_from_s = 0.0
        self.reading = Reading()
        self.routes = {kind.name: route_of(kind) for kind in shape.kinds}
        memory = EngineCapacity(shape.engine.slots, shape.engine.memory_tokens)
        self.table = RouteTable(1, services={SERVICE: Service(SERVICE, memory)})
        self.engines = self.make_engines()
        self.listed = [
            Engine(e.name, SERVICE, e.name, e.domain, shape.engine.slots, False, 1)
            for e in self.engines.values()
        ]
        self.wire = Wire(self.time, shape.near_s, shape.far_s)
        self.routers = [ModelRouter(self, number) for number in range(shape.routers)]
        self.introduce()

    def make_engines(self) -> dict[str, ModelEngine]:
        """Return the engines by name."""
        engines = {}
        for number in range(self.shape.engines):
            name = f"engine-{number}"
            domain = f"domain-{number % self.shape.domains}"
            engines[name] = ModelEngine(name, domain, self.shape.engine, self.time, self.reading)
        return engines

    def introduce(self) -> None:
        """Make the routers known to each other, and have each tell at times of its own."""
        for router in self.routers:
            self.wire.attach(router.load_broadcast)
            for other in self.routers:
                directory = other.load_broadcast.directory
                router.load_broadcast.directory.add_peer(
                    directory.local_address, directory.domain, directory.link_mbps
                )
            first_s = self.random.random() * router.load_broadcast.period_s()
            self.time.after(first_s, self.teller(router.load_broadcast))

    def teller(self, load_broadcast: LoadBroadcast) -> Callable[[], None]:
        """Return a call that tells now and again and again."""

        def tell() -> None:
            self.time.after(load_broadcast.period_s(), tell)
            load_broadcast.directory.expire()
            load_broadcast.send_report()

        return tell

    def play(self, seconds: float, factor: float = 1.0) -> None:
        """Play requests at a multiple of the load, then stop asking."""
        end = self.time() + seconds
        rate = self.shape.requests_a_s * factor

        def arrive() -> None:
            if self.time() < end:
                self.time.after(self.random.expovariate(rate), arrive)
                self.ask()

        arrive()
        self.time.run(end)

    def start_counting(self) -> None:
        """Count from here on only what is asked, read and told from now on."""
        self.outcomes = Outcomes()
        self.counted_from_s = self.time()
        self.reading.clear()
        self.wire.clear()

    def settle(self) -> None:
        """Let all that was asked begin, or be left by its caller."""
        longest_s = max(kind.patience_s for kind in self.shape.kinds)
        self.time.run(self.time() + DEADLINE_FACTOR * longest_s)

    def ask(self) -> None:
        """Send one new request to a router."""
        kinds = self.shape.kinds
        kind = self.random.choices(kinds, [kind.share for kind in kinds])[0]
        self.outcomes.asked += 1
        request = RoutedRequest(
            id=f"{self.random.getrandbits(64):016x}",
            route=self.routes[kind.name],
            service=SERVICE,
            account=None,
            method="POST",
            path="/",
            headers=[],
            body=b"",
            received=self.time(),
            deadline=self.time() + DEADLINE_FACTOR * kind.patience_s,
            prompt=self.prompt(kind),
            clock=self.time,
        )
        self.send(request)

    def prompt(self, kind: RequestShape) -> Prompt:
        """Return a prompt about one of a kind's subjects, some far more popular than others."""
        subject = int(kind.subjects * self.random.random() ** 1.4)
        root, about = f"{kind.name} root {subject % 5}", f"{kind.name} subject {subject}"
        own = max(1, int(self.random.expovariate(1.0 / kind.own_tokens)))
        parts = (
            Part(hashing.digest(root), kind.root_tokens),
            Part(hashing.digest(about), kind.subject_tokens),
            Part(self.random.getrandbits(60), own),
        )
        return Prompt("m", sum(part.tokens for part in parts), kind.output_tokens, parts)

    def send(self, request: RoutedRequest, is_again: bool = False) -> None:
        """Have a router place a request, and pass it to the engine."""
        router = self.random.choice(self.routers)
        match router.selector.place(request, set()):
            case None:
                self.outcomes.left += self.is_counted(request)
            case Shed(retry_after_s=retry_after_s):
                if is_again:
                    self.outcomes.turned_away += self.is_counted(request)
                else:
                    self.time.after(retry_after_s, lambda: self.send(request, is_again=True))
            case placement:
                self.serve(request, placement)

    def serve(self, request: RoutedRequest, placement: Placement) -> None:
        """Pass a request to the engine where it has its place."""
        engine = self.engines[placement.engine.id]
        self.note_load(engine)
        place = ExitStack()
        place.enter_context(placement)
        source = self.engines[placement.source.id] if placement.source else None

        def begun() -> None:
            placement.record_prefilled()
            if not job.is_left:
                self.note_first(request)

        def leave() -> None:
            if not job.has_begun:
                job.is_left = True
                self.outcomes.left += self.is_counted(request)
                place.close()

        job = Job(request.prompt, placement.rank, source, begun, place.close)
        engine.take(job)
        self.time.after(request.route.first_event_timeout_s, leave)

    def is_counted(self, request: RoutedRequest) -> bool:
        """Tell whether a request was asked since counting started."""
        return request.received >= self.counted_from_s

    def note_first(self, request: RoutedRequest) -> None:
        """Count the first of an answer."""
        if not self.is_counted(request):
            return
        waited_s = self.time() - request.received
        self.outcomes.first_s.append(waited_s)
        if waited_s <= request.route.latency_target_s:
            self.outcomes.in_target += 1
        else:
            self.outcomes.late += 1

    def note_load(self, engine: ModelEngine) -> None:
        """Count whether a request meets an engine far above the mean."""
        mean = sum(other.requests for other in self.engines.values()) / len(self.engines)
        self.outcomes.placed += 1
        self.outcomes.far_above += engine.requests > FAR_ABOVE_MEAN * mean + FAR_ABOVE_EXTRA


def route_of(kind: RequestShape) -> Route:
    """Return the route of one kind of request."""
    return Route(
        name=kind.name,
        host="",
        prefix="/",
        kind=RouteKind.STREAMING,
        traffic_splits=(TrafficSplit(SERVICE, 1.0),),
        timeout_s=DEADLINE_FACTOR * kind.patience_s,
        latency_target_s=kind.target_s,
        priority=kind.priority,
        max_attempts=1,
        is_public=True,
        is_resumable=False,
        first_event_timeout_s=kind.patience_s,
    )
