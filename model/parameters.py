"""What a modelled fleet consists of, and what is asked of it."""

from dataclasses import dataclass, field

__all__ = ["ENGINE", "REQUEST_MIX", "EngineParameters", "FleetParameters", "RequestParameters"]


@dataclass(slots=True, frozen=True)
class RequestParameters:
    """Describe one kind of request: prompts in tokens, times in seconds, its share of all."""

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
    """Describe the engines: slots, memory in tokens, how fast they read, write and copy."""

    slots: int
    memory_tokens: int
    prefill_tokens_per_s: float
    decode_step_s: float
    decode_step_s_per_request: float
    copy_setup_s: float
    copy_tokens_per_s: float


@dataclass(slots=True, frozen=True)
class FleetParameters:
    """Describe a fleet: how many routers and engines, their domains and the load."""

    routers: int
    engines: int
    domains: int
    requests_per_s: float
    kinds: tuple[RequestParameters, ...] = field(default=())
    engine: EngineParameters | None = None
    # One way between hosts of one failure domain, and of two.
    same_domain_delay_s: float = 0.0004
    cross_domain_delay_s: float = 0.0014


REQUEST_MIX = (
    RequestParameters("long", 0.23, 240, 10_000, 500, 1_300, 390, 0.85, 6.0, 1),
    RequestParameters("chat", 0.39, 330, 580, 120, 130, 290, 0.52, 4.0, 0),
    RequestParameters("label", 0.38, 240, 1_700, 340, 360, 24, 0.52, 2.5, 2),
)
ENGINE = EngineParameters(32, 290_000, 68_000.0, 0.0038, 0.00002, 0.004, 140_000.0)
