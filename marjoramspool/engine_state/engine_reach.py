"""Whether this router reaches the engines of each service, all, some or none.

Fault: a router is cut off from engines that others reach; connections hang until their timeout, are
refused, or live on while new ones are refused. Its callers must not pay for finding that out again
with each request, and an engine that has ended must not be taken for a cut.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log

__all__ = ["EngineReach", "Path", "path_shown", "select_probed"]

# Engines that are probed in one round.
MAX_PROBED = 6
# Successive rounds with a connection before the path counts as back.
ROUNDS_TO_RETURN = 2
# A round that took longer than its timeout by this much was held up by this process itself.
MAX_LAG_S = 0.1
# Load pattern: every late answer may be a sign; rounds of one service are at least this far apart.
MIN_ROUND_PERIOD_S = 0.3


class Path(enum.Enum):
    """How many engines of a service accept connections from here."""

    FULL = "most"
    # Others may reach more.
    PARTIAL = "half or fewer"
    NONE = "none"


@dataclass(slots=True)
class ServiceReach:
    """What the rounds of probes have shown of one service; times in seconds."""

    path: Path = Path.FULL
    good_rounds: int = 0
    probed_at: float = float("-inf")
    rounds: int = 0


class EngineReach:
    """Services whose engines this router cannot connect to, by rounds of probes."""

    __slots__ = ("clock", "on_returned", "services")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.services: dict[str, ServiceReach] = {}
        self.on_returned: list[Callable[[str], None]] = []

    def service(self, name: str) -> ServiceReach:
        """Return the state of a service, created at first use."""
        return self.services.setdefault(name, ServiceReach())

    def path(self, service: str) -> Path:
        """Return how many engines of a service could be connected to."""
        state = self.services.get(service)
        return Path.FULL if state is None else state.path

    def cut_off_services(self) -> list[str]:
        """Return the services of which half of the engines or more are out of reach."""
        return [name for name, state in self.services.items() if state.path is not Path.FULL]

    def is_round_due(self, service: str) -> bool:
        """Return whether a sign of a cut starts a round now."""
        return self.clock() - self.service(service).probed_at >= MIN_ROUND_PERIOD_S

    def begin_round(self, service: str, engines: Iterable[Engine]) -> list[Engine]:
        """Return the engines to probe in a round that begins now."""
        state = self.service(service)
        state.probed_at = self.clock()
        state.rounds += 1
        return select_probed(list(engines), state.rounds)

    def record_round(self, service: str, connected: list[bool], timeout_s: float) -> None:
        """Record whether each probe of a round connected."""
        state = self.service(service)
        if not connected or self.clock() - state.probed_at > timeout_s + MAX_LAG_S:
            return
        path = path_shown(connected)
        if path is not Path.FULL:
            state.good_rounds = 0
            if path is not state.path:
                state.path = path
                log(
                    Event.ENGINES_OUT_OF_REACH,
                    service=service,
                    probed=len(connected),
                    connected=sum(connected),
                )
            return
        state.good_rounds += 1
        if state.path is not Path.FULL and state.good_rounds >= ROUNDS_TO_RETURN:
            state.path = Path.FULL
            log(Event.ENGINES_IN_REACH, service=service, connected=sum(connected))
            for call in self.on_returned:
                call(service)


def path_shown(connected: list[bool]) -> Path:
    """Return what the probes of a round show."""
    if not any(connected):
        return Path.NONE
    return Path.FULL if 2 * sum(connected) > len(connected) else Path.PARTIAL


def select_probed(engines: list[Engine], round_number: int) -> list[Engine]:
    """Return the engines to probe in a round: others each time, of all failure domains in turn."""
    by_domain: dict[str, list[Engine]] = {}
    for engine in sorted(engines, key=lambda engine: engine.id):
        by_domain.setdefault(engine.failure_domain, []).append(engine)
    selected = []
    for offset in range(max(map(len, by_domain.values()), default=0)):
        for members in by_domain.values():
            if offset < len(members):
                selected.append(members[(offset + round_number) % len(members)])
    return selected[:MAX_PROBED]
