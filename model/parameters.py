"""What a modelled fleet consists of, and what is asked of it."""

from dataclasses import dataclass, field

__all__ = ["ENGINES", "LONG_AND_SHORT", "EngineShape", "FleetShape", "RequestShape"]


@dataclass(slots=True, frozen=True)
class RequestShape:
    """Describe one kind of request: prompts in tokens, times in seconds, its share of all."""

    name: str
    share: float
    subjects: int
    subject_tokens: int
    root_tokens: int
    own_tokens: int
    output_tokens: int
    target_s: float
    patience_s: float
    priority: int


@dataclass(slots=True, frozen=True)
class EngineShape:
    """Describe the engines: slots, memory in tokens, how fast they read, write and copy."""

    slots: int
    memory_tokens: int
    read_tokens_a_s: float
    step_s: float
    step_s_a_slot: float
    copy_setup_s: float
    copy_tokens_a_s: float


@dataclass(slots=True, frozen=True)
class FleetShape:
    """Describe a fleet: how many routers and engines, their domains and the load."""

    routers: int
    engines: int
    domains: int
    requests_a_s: float
    kinds: tuple[RequestShape, ...] = field(default=())
    engine: EngineShape | None = None
    # One way between hosts of one failure domain, and of two.
    near_s: float = 0.0004
    far_s: float = 0.0014


LONG_AND_SHORT = (
    RequestShape("long", 0.23, 240, 10_000, 500, 1_300, 390, 0.85, 6.0, 1),
    RequestShape("chat", 0.39, 330, 580, 120, 130, 290, 0.52, 4.0, 0),
    RequestShape("label", 0.38, 240, 1_700, 340, 360, 24, 0.52, 2.5, 2),
)
ENGINES = EngineShape(32, 290_000, 68_000.0, 0.0038, 0.00002, 0.004, 140_000.0)
