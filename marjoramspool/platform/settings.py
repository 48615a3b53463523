"""Settings file of a router process, which the platform writes."""

import math
from dataclasses import dataclass
from pathlib import Path

import msgspec

from marjoramspool.bounds import Bounds
from marjoramspool.process_limits import DEFAULT_MEMORY_BYTES, ProcessLimits, open_file_limit

__all__ = [
    "BALANCER_REMOVAL_DELAY_S",
    "READINESS_PATH",
    "HostSettings",
    "SettingsError",
    "read_settings",
]

# Path of the readiness probe of the load balancer.
READINESS_PATH = "/marjoramspool/readyz"
# The load balancer probes once a second and removes a host after two failed probes.
BALANCER_REMOVAL_DELAY_S = 2.3
MS_PER_S = 1000.0
MEBIBYTE = 1 << 20


class SettingsError(Exception):
    """The settings are unusable; the message has the key, the fault and the remedy."""


class ListenFields(msgspec.Struct, frozen=True):
    """Endpoints to listen on."""

    front: str
    readiness: str


class BoundFields(msgspec.Struct, frozen=True):
    """Bounds on shutdown, retries and load; a field that is absent has its default."""

    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50.0
    budget_window_s: float = 10.0
    cap_x: float = 2.0
    # Present where failure domains may be evacuated.
    evacuate_ms: float | None = None
    # What a cold engine may get in a second: a multiple of what it sustains, and so many more.
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0


class StoreFields(msgspec.Struct, frozen=True):
    """Endpoint of the store."""

    address: str


class LimitFields(msgspec.Struct, frozen=True):
    """Capacity of the host."""

    link_mbps: float = 1000.0
    memory_mb: int = DEFAULT_MEMORY_BYTES // MEBIBYTE
    max_fds: int | None = None


class SettingsFields(msgspec.Struct, frozen=True):
    """Settings file as written; unknown keys are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: ListenFields
    internal_ports: tuple[int, int]
    platform: StoreFields
    bounds: BoundFields = BoundFields()
    limits: LimitFields = LimitFields()


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Validated settings of a host; endpoints have the form IP:PORT."""

    name: str
    address: str
    failure_domain: str
    client_endpoint: str
    readiness_endpoint: str
    peers_port: int
    store_endpoint: str
    link_mbps: int
    bounds: Bounds
    process: ProcessLimits = ProcessLimits(DEFAULT_MEMORY_BYTES, open_file_limit())


def read_settings(path: str) -> HostSettings:
    """Read and validate the settings file; raise SettingsError."""
    remedy = "have the platform regenerate the file"
    try:
        fields = msgspec.json.decode(Path(path).read_bytes(), type=SettingsFields)
    except OSError as error:
        raise SettingsError(f"{path}: {error}; use the path of a readable file") from error
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{path}: {error}; {remedy}") from error
    for key, value in (
        ("listen.front", fields.listen.front),
        ("listen.readiness", fields.listen.readiness),
        ("platform.address", fields.platform.address),
    ):
        if not is_endpoint(value):
            raise SettingsError(f"{path}: {key}: {value!r} is not IP:PORT; {remedy}")
    for key in ("memory_mb", "max_fds"):
        value = getattr(fields.limits, key)
        if value is not None and value < 1:
            raise SettingsError(f"{path}: limits.{key}: it is no number from 1; {remedy}")
    bounds = fields.bounds
    for key in ("cold_overshoot", "cold_slack"):
        if not 0.0 <= getattr(bounds, key) < math.inf:
            raise SettingsError(f"{path}: bounds.{key}: it is no number from 0; {remedy}")
    return HostSettings(
        name=fields.node_name,
        address=fields.ip,
        failure_domain=fields.zone,
        client_endpoint=fields.listen.front,
        readiness_endpoint=fields.listen.readiness,
        peers_port=fields.internal_ports[0],
        store_endpoint=fields.platform.address,
        link_mbps=int(fields.limits.link_mbps),
        bounds=Bounds(
            shutdown_grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_reserve=bounds.retry_budget_slack,
            retry_window_s=bounds.budget_window_s,
            evacuation_s=None if bounds.evacuate_ms is None else bounds.evacuate_ms / MS_PER_S,
            cold_overshoot=bounds.cold_overshoot,
            cold_slack=bounds.cold_slack,
        ),
        process=ProcessLimits(
            memory_bytes=fields.limits.memory_mb * MEBIBYTE,
            descriptors=fields.limits.max_fds or open_file_limit(),
        ),
    )


def is_endpoint(text: str) -> bool:
    """Return whether a text has the form IP:PORT."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()
