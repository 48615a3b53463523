"""Route table: routes, services, client accounts and limits for clients."""

import enum
import math
from dataclasses import dataclass, field

from marjoramspool import hashing

__all__ = [
    "NEVER_COLD",
    "ClientAccount",
    "ClientLimits",
    "ColdStart",
    "EngineCapacity",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "TrafficSplit",
]

BYTES_PER_S_PER_MBPS = 125_000.0


class RouteKind(enum.Enum):
    """Kind of the requests of a route, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class TrafficSplit:
    """Service of a route and its weight in the split of the traffic."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Rules for the requests under one host and path prefix; times in seconds."""

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
    # Time that callers wait for the start of an answer.
    first_event_timeout_s: float

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def select_service(self, request_id: str) -> str:
        """Return the service of a request, drawn by weight from the hash of its id."""
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
    """Capacity of an engine of a model service: concurrent requests, KV memory in tokens.

    Engines with `has_backups` copy the memory of a run to another engine as it grows, those with
    `has_moves` on demand; what is copied is kept for `copy_retention_s`.
    """

    slots: int
    kv_cache_tokens: int
    has_moves: bool = False
    has_backups: bool = False
    copy_retention_s: float = 0.0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0

    @property
    def link_bytes_per_s(self) -> float:
        """Return the bytes per second that the link of an engine carries."""
        return self.link_mbps * BYTES_PER_S_PER_MBPS


@dataclass(slots=True, frozen=True)
class ColdStart:
    """How long an engine is cold after its start, in seconds, and the requests that it sustains.

    Both are 0 where engines are never cold.
    """

    duration_s: float = 0.0
    per_s: float = 0.0


NEVER_COLD = ColdStart()


@dataclass(slots=True, frozen=True)
class Service:
    """Service of the route table; `engine_capacity` is None for a plain service.

    Its engines tell their state at `health_path`, if that is not None.
    """

    name: str
    engine_capacity: EngineCapacity | None = None
    cold_start: ColdStart = NEVER_COLD
    health_path: str | None = None


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """Client account; a `priority` of None means that of the route, 0 is the most urgent."""

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on the size of client requests and on the time that clients take to send them."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """One version of all routes, services and client accounts.

    `accounts` maps keys to client accounts; if it is None, requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] | None = None
    limits: ClientLimits = ClientLimits()
    routes_by_host: dict[str, tuple[Route, ...]] = field(init=False, default_factory=dict)
    accounts_by_name: dict[str, ClientAccount] = field(init=False, default_factory=dict)

    def __post_init__(self):
        for route in sorted(self.routes, key=lambda route: len(route.prefix), reverse=True):
            self.routes_by_host[route.host] = (*self.routes_by_host.get(route.host, ()), route)

        for account in (self.accounts or {}).values():
            self.accounts_by_name[account.name] = account

    def account(self, name: str) -> ClientAccount | None:
        """Return a client account by its name, None if it has no key."""
        return self.accounts_by_name.get(name)

    def cold_start(self, service: str) -> ColdStart:
        """Return the cold start of a service's engines."""
        known = self.services.get(service)
        return known.cold_start if known else NEVER_COLD

    def priorities(self, service: str) -> set[int]:
        """Return the priorities of the routes to a service."""
        return {
            route.priority
            for route in self.routes
            if any(split.service == service for split in route.traffic_splits)
        }

    def highest_priority(self, service: str) -> float:
        """Return the most urgent priority of the routes to a service; 0 is the highest."""
        return min(self.priorities(service), default=math.inf)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest match for a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
