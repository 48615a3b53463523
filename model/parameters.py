"""Parameters of a simulated fleet and of its load."""

from dataclasses import dataclass, field

__all__ = ["ENGINE", "REQUEST_MIX", "EngineParameters", "FleetParameters", "RequestParameters"]


@dataclass(slots=True, frozen=True)
class RequestParameters:
    """One kind of request: its share of all requests, prompt sizes and time limits."""

    name: str
    share: float
    subjects: int
    subject_tokens: int
    root_tokens: int
    unique_tokens: int
    output_tokens: int
    latency_target_s: float
    first_event_timeout_s: float
    priority: int


@dataclass(slots=True, frozen=True)
class EngineParameters:
    """Engine capacity and speed of prefill, decoding and copies."""

    slots: int
    memory_tokens: int
    prefill_tokens_per_s: float
    decode_step_s: float
    decode_step_s_per_request: float
    copy_setup_s: float
    copy_tokens_per_s: float


@dataclass(slots=True, frozen=True)
class FleetParameters:
    """Size of a fleet, its failure domains, load and network delays."""

    routers: int
    engines: int
    domains: int
    requests_per_s: float
    kinds: tuple[RequestParameters, ...] = field(default=())
    engine: EngineParameters | None = None
    # One-way delays between hosts of the same failure domain and of different ones.
    same_domain_delay_s: float = 0.0004
    cross_domain_delay_s: float = 0.0014


REQUEST_MIX = (
    RequestParameters("long", 0.23, 240, 10_000, 500, 1_300, 390, 0.85, 6.0, 1),
    RequestParameters("chat", 0.39, 330, 580, 120, 130, 290, 0.52, 4.0, 0),
    RequestParameters("label", 0.38, 240, 1_700, 340, 360, 24, 0.52, 2.5, 2),
)
ENGINE = EngineParameters(32, 290_000, 68_000.0, 0.0038, 0.00002, 0.004, 140_000.0)
