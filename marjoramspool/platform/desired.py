"""Decoder of the desired state, the object that holds the route table."""

import math
from typing import Any

import msgspec

from marjoramspool import routes
from marjoramspool.untrusted_json import decode_json

__all__ = ["decode_table"]

MS_PER_S = 1000.0
ROUTE_KINDS = {
    "idempotent": routes.RouteKind.IDEMPOTENT,
    "non_idempotent": routes.RouteKind.NON_IDEMPOTENT,
    "streaming": routes.RouteKind.STREAMING,
}
DEFAULT_TIMEOUT_MS = 15_000.0
DEFAULT_LATENCY_TARGET_MS = 500.0
LOWEST_PRIORITY = 9
DEFAULT_EVENT_GAP_MS = 500.0
# Clients abandon a stream after a gap of the longest of these, also before its first event.
MIN_FIRST_EVENT_TIMEOUT_MS = 2_000.0
LATENCY_TARGET_MULTIPLE = 4.0
EVENT_GAP_MULTIPLE = 8.0
# No size, rate or time is larger; an integer may exceed what a float can hold.
MAX_FIGURE = 1e15


class SplitFields(msgspec.Struct, frozen=True):
    """Weight of a service in a route."""

    service: str
    weight: float = 1.0


class RouteFields(msgspec.Struct, frozen=True):
    """Route as the desired state has it."""

    name: str
    host: str
    path_prefix: str
    kind: str
    # Either one service, or several with weights.
    service: str | None = None
    backends: list[SplitFields] = []
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = DEFAULT_LATENCY_TARGET_MS
    # Longest gap between the events of an answer that meets its target.
    gap_aim_ms: float = DEFAULT_EVENT_GAP_MS
    priority: int = LOWEST_PRIORITY
    # Number of engines that a request may be sent to; resending to one does not count.
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False


class EngineFields(msgspec.Struct, frozen=True):
    """Capacity of the model engines of a service, and what they do with the memory of runs."""

    slots: int
    kv_capacity_tokens: int
    # These are read leniently, since a service is served without them too.
    moves: Any = False
    backups: Any = False
    # Time for which an engine keeps memory that it was sent.
    handle_s: Any = 0.0
    kv_token_bytes: Any = 0.0
    link_mbps: Any = 0.0


class ServiceFields(msgspec.Struct, frozen=True):
    """Service as the desired state has it."""

    name: str
    engine: EngineFields | None = None
    # Time for which an engine is cold after its start, and the requests a second that it sustains
    # meanwhile; 0 where engines are never cold.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    # Path at which its engines tell their state at once.
    health_path: str | None = None


class LimitFields(msgspec.Struct, frozen=True):
    """Limits on client connections and requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class TenantFields(msgspec.Struct, frozen=True):
    """Client account as the desired state has it."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class DesiredFields(msgspec.Struct, frozen=True):
    """Desired state of the fleet."""

    version: int
    routes: list[RouteFields] = []
    services: list[ServiceFields] = []
    limits: LimitFields = LimitFields()
    tenants: list[TenantFields] | None = None


def decode_table(spec: msgspec.Raw) -> routes.RouteTable:
    """Return the route table of a desired state; raise msgspec.MsgspecError if malformed.

    Routes of an unknown kind are left out.
    """
    fields = decode_json(spec, DesiredFields)
    limits = fields.limits
    return routes.RouteTable(
        version=fields.version,
        routes=tuple(decode_route(route) for route in fields.routes if route.kind in ROUTE_KINDS),
        services={service.name: decode_service(service) for service in fields.services},
        accounts=decode_accounts(fields.tenants),
        limits=routes.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_route(fields: RouteFields) -> routes.Route:
    """Return the route that was decoded."""
    if fields.backends:
        splits = tuple(routes.TrafficSplit(s.service, s.weight) for s in fields.backends)
    else:
        splits = (routes.TrafficSplit(fields.service or "", 1.0),)
    return routes.Route(
        name=fields.name,
        host=fields.host,
        prefix=fields.path_prefix,
        kind=ROUTE_KINDS[fields.kind],
        traffic_splits=splits,
        timeout_s=fields.timeout_ms / MS_PER_S,
        latency_target_s=fields.target_latency_ms / MS_PER_S,
        priority=fields.priority,
        max_attempts=fields.max_attempts,
        is_public=fields.public,
        is_resumable=fields.kind == "streaming" and fields.stream_resume,
        first_event_timeout_s=first_event_timeout_ms(fields) / MS_PER_S,
    )


def first_event_timeout_ms(fields: RouteFields) -> float:
    """Return how long clients wait for the first event of an answer, in milliseconds."""
    if fields.kind != "streaming":
        return fields.timeout_ms
    return max(
        MIN_FIRST_EVENT_TIMEOUT_MS,
        LATENCY_TARGET_MULTIPLE * fields.target_latency_ms,
        EVENT_GAP_MULTIPLE * fields.gap_aim_ms,
    )


def decode_service(fields: ServiceFields) -> routes.Service:
    """Return the service that was decoded."""
    capacity = decode_capacity(fields.engine) if fields.engine else None
    return routes.Service(fields.name, capacity, decode_cold_start(fields), fields.health_path)


def decode_cold_start(fields: ServiceFields) -> routes.ColdStart:
    """Return the cold start of a service's engines; figures that make no sense mean none."""
    figures = (fields.cold_start_s, fields.cold_per_s)
    if not all(0.0 < figure < math.inf for figure in figures):
        return routes.NEVER_COLD
    return routes.ColdStart(*figures)


def decode_capacity(fields: EngineFields) -> routes.EngineCapacity:
    """Return the capacity of the engines of a service."""
    return routes.EngineCapacity(
        fields.slots,
        fields.kv_capacity_tokens,
        has_moves=fields.moves is True,
        has_backups=fields.backups is True,
        copy_retention_s=positive_number(fields.handle_s),
        kv_token_bytes=positive_number(fields.kv_token_bytes),
        link_mbps=positive_number(fields.link_mbps),
    )


def positive_number(value: object) -> float:
    """Return a value as a number up to `MAX_FIGURE`, 0 if it is none or negative."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(min(max(0, value), MAX_FIGURE)) if is_number else 0.0


def decode_accounts(tenants: list[TenantFields] | None) -> dict[str, routes.ClientAccount] | None:
    """Return the client account of each API key, or None if requests need no key."""
    if tenants is None:
        return None
    return {
        key: routes.ClientAccount(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
