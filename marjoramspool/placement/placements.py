"""A request at the engine that was selected for it, counted in that engine's load."""

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_loads import EngineLoads
from marjoramspool.placement.cost_placement import Choice
from marjoramspool.prompts import Part

__all__ = ["Placement"]


class Placement:
    """Context manager that counts a request in an engine's load until the attempt ends."""

    __slots__ = (
        "cache_source",
        "choice",
        "engine",
        "is_overtaken",
        "is_prefilled",
        "loads",
        "new_parts",
        "placed_at",
        "prefill_tokens",
        "queue_rank",
    )

    def __init__(
        self,
        engine: Engine,
        loads: EngineLoads,
        prefill_tokens: int,
        choice: Choice,
        queue_rank: int,
        cache_source: Engine | None = None,
        new_parts: tuple[Part, ...] = (),
        is_overtaken: bool = False,
    ):
        self.engine = engine
        self.cache_source = cache_source
        self.new_parts = new_parts
        self.placed_at = now()
        self.loads = loads
        self.prefill_tokens = prefill_tokens
        self.choice = choice
        self.queue_rank = queue_rank
        # Whether shorter or more urgent requests overtake it in the engine's queue.
        self.is_overtaken = is_overtaken
        self.is_prefilled = False

    def __enter__(self):
        self.loads.begin(self.engine.id, self.prefill_tokens)
        return self

    def __exit__(self, *details):
        self.record_prefilled()
        self.loads.end(self.engine.id)

    def record_prefilled(self) -> None:
        """Record that the engine has prefilled the prompt, as its first event shows."""
        if not self.is_prefilled:
            self.is_prefilled = True
            self.loads.record_prefill(self.engine.id, self.prefill_tokens)
