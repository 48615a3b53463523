"""Routes of requests to services, and the client accounts that may use them."""

import enum
from dataclasses import dataclass, field

from marjoramspool import hashing

__all__ = [
    "ClientAccount",
    "ClientLimits",
    "EngineCapacity",
    "RouteKind",
    "Route",
    "RouteTable",
    "Service",
    "TrafficSplit",
]


class RouteKind(enum.Enum):
    """Say what of a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class TrafficSplit:
    """Give a service its weight among those of a route."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Describe how the requests under one host and path prefix are served; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    traffic_splits: tuple[TrafficSplit, ...]
    timeout_s: float
    latency_target_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    # How long callers wait for the first of an answer.
    first_event_timeout_s: float

    @property
    def is_retryable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def select_service(self, request_id: str) -> str:
        """Return the service of a request; its id decides between the splits."""
        if len(self.traffic_splits) == 1:
            return self.traffic_splits[0].service
        total = sum(split.weight for split in self.traffic_splits)
        draw = hashing.fraction(request_id) * total
        for split in self.traffic_splits:
            draw -= split.weight
            if draw < 0:
                return split.service
        return self.traffic_splits[-1].service


@dataclass(slots=True, frozen=True)
class EngineCapacity:
    """Describe the engines of a model service: requests at once, and memory in tokens."""

    slots: int
    kv_cache_tokens: int


@dataclass(slots=True, frozen=True)
class Service:
    """Describe one service; a plain service has no engine memory."""

    name: str
    engine_capacity: EngineCapacity | None = None


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """Name a client account and its rank, 0 the most urgent, None to go by the route."""

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Bound what clients may send, in bytes, and how long they may take, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """Hold one version of all routes, services and client accounts."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] | None = None
    limits: ClientLimits = ClientLimits()
    routes_by_host: dict[str, tuple[Route, ...]] = field(init=False, default_factory=dict)

    def __post_init__(self):
        for route in sorted(self.routes, key=lambda route: len(route.prefix), reverse=True):
            self.routes_by_host[route.host] = (*self.routes_by_host.get(route.host, ()), route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
