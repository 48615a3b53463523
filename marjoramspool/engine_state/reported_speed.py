"""What targets say of their current processing times, and how long it is believed.

Load pattern: some targets of a service are several times slower than usual, others half a second
later. Answers tell the processing time of the moment; of a target that gets no requests nothing is
heard. So the belief in a figure fades toward the mean of the service, and routers tell each other
what differs from it.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.request_limits import EngineKey
from marjoramspool.events import Event, log

__all__ = ["USUAL_PERCENT", "Figure", "LoadFigures", "ReportedSpeeds"]

USUAL_PERCENT = 100
# Time constant with which the belief in a figure fades. Slow targets change within a second.
FADE_S = 0.4
# Figures that are older than this say nothing.
MAX_FIGURE_AGE_S = 2.0
# A service counts as one whose targets tell their processing times for this long.
USED_S = 10.0
# A figure is told to the other routers if it differs by this factor from what they believe.
TOLD_FACTOR = 1.25
# Figures are told for this long after they were heard.
TOLD_S = 1.0
# A target is slow if its last figure is this many times the lowest one of its service.
SLOW_FACTOR = 1.5
# The mean of a service is computed again after this time.
MEAN_AGE_S = 0.05
# Slowness beyond this makes no difference to a placement.
MAX_SLOWNESS = 100.0
MIN_SLOWNESS = 0.01


@dataclass(slots=True, frozen=True)
class LoadFigures:
    """Load that a target tells: requests that run and wait, slots, and the processing time.

    `percent` is the processing time of the moment, USUAL_PERCENT if it is as usual, None if the
    target does not tell it.
    """

    running: int
    waiting: int
    slots: int
    percent: int | None = None


@dataclass(slots=True, frozen=True)
class Figure:
    """Slowness of a target, 1.0 if it is as usual, and when that was heard by the local clock."""

    slowness: float
    heard_at: float


class ReportedSpeeds:
    """Figures of the processing times of targets, by service and incarnation."""

    __slots__ = ("clock", "figures", "means", "shared", "slots", "told", "used_until")

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        self.figures: dict[str, dict[EngineKey, Figure]] = {}
        # What all routers were told last of a target, by this router or another.
        self.shared: dict[EngineKey, Figure] = {}
        # Figures that this router has heard itself and tells the others.
        self.told: dict[EngineKey, Figure] = {}
        self.slots: dict[EngineKey, int] = {}
        self.used_until: dict[str, float] = {}
        # Mean slowness of each service, and when it was computed.
        self.means: dict[str, tuple[float, float]] = {}

    def record_answer(self, engine: Engine, load: LoadFigures) -> None:
        """Record what a target told this router in an answer."""
        if load.percent is None:
            return
        self.slots[engine.key] = load.slots
        self.record_own(engine, load.percent / USUAL_PERCENT)

    def record_overdue(self, engine: Engine, slowness: float) -> None:
        """Record that a target without an answer so far must be slower than is believed.

        Otherwise a target that became slow unheard gets one request after the other, none of which
        waits for the answer that would tell.
        """
        if slowness > self.slowness(engine):
            self.record_own(engine, slowness)

    def record_own(self, engine: Engine, slowness: float) -> None:
        """Use the slowness that this router has found, and tell it if others believe another."""
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        figure = Figure(slowness, self.clock())
        shared = self.believed(engine.service, self.shared.get(engine.key))
        self.adopt(engine, figure)
        if max(slowness / shared, shared / slowness) > TOLD_FACTOR:
            self.shared[engine.key] = self.told[engine.key] = figure

    def record_report(self, engine: Engine, figure: Figure) -> None:
        """Record what another router has heard of a target."""
        shared = self.shared.get(engine.key)
        if shared is None or figure.heard_at > shared.heard_at:
            self.shared[engine.key] = figure
        known = self.figures.get(engine.service, {}).get(engine.key)
        if known is None or figure.heard_at > known.heard_at:
            self.adopt(engine, figure)

    def adopt(self, engine: Engine, figure: Figure) -> None:
        """Use a figure of a target."""
        if not self.is_used(engine.service):
            log(Event.SPEEDS_REPORTED, service=engine.service, engine=engine.id)
        self.used_until[engine.service] = self.clock() + USED_S
        self.figures.setdefault(engine.service, {})[engine.key] = figure

    def is_used(self, service: str) -> bool:
        """Return whether targets of a service tell their processing times."""
        return self.used_until.get(service, -math.inf) > self.clock()

    def slowness(self, engine: Engine) -> float:
        """Return the processing time of a target that is to be expected, relative to the usual."""
        return self.believed(engine.service, self.figures.get(engine.service, {}).get(engine.key))

    def believed(self, service: str, figure: Figure | None) -> float:
        """Return a figure as far as it is still believed, the mean of its service beyond that."""
        mean = self.mean(service)
        if figure is None:
            return mean
        age_s = max(0.0, self.clock() - figure.heard_at)
        if age_s > MAX_FIGURE_AGE_S:
            return mean
        return mean + (figure.slowness - mean) * math.exp(-age_s / FADE_S)

    def mean(self, service: str) -> float:
        """Return the mean of the last figures of a service's targets, 1.0 if there are none.

        Each target counts once: fast ones answer more often.
        """
        now_s = self.clock()
        mean, computed_at = self.means.get(service, (1.0, -math.inf))
        if now_s - computed_at >= MEAN_AGE_S:
            recent = self.recent(service)
            mean = sum(f.slowness for f in recent.values()) / len(recent) if recent else 1.0
            self.means[service] = (mean, now_s)
        return mean

    def recent(self, service: str) -> dict[EngineKey, Figure]:
        """Return the figures of a service that still say something, and drop the others."""
        oldest = self.clock() - MAX_FIGURE_AGE_S
        figures = self.figures.get(service, {})
        for key in [key for key, figure in figures.items() if figure.heard_at < oldest]:
            self.remove(service, key)
        return figures

    def slow(self, engines: Iterable[Engine]) -> list[Engine]:
        """Return those of a service's engines whose last figures are far above the lowest."""
        engines = list(engines)
        figures = self.recent(engines[0].service) if engines else {}
        known = [(engine, figures[engine.key]) for engine in engines if engine.key in figures]
        lowest = min((figure.slowness for _, figure in known), default=0.0)
        return [engine for engine, figure in known if figure.slowness > SLOW_FACTOR * lowest]

    def heard_at(self, engine: Engine) -> float:
        """Return when a target was heard of last, minus infinity if nothing is known of it."""
        figure = self.figures.get(engine.service, {}).get(engine.key)
        return figure.heard_at if figure else -math.inf

    def slots_of(self, engine: Engine) -> int:
        """Return the requests that a target works on at a time, by its own word if it gave one."""
        return max(1, self.slots.get(engine.key, engine.slots))

    def reported(self) -> list[tuple[EngineKey, Figure]]:
        """Return the figures to tell the other routers, the newest first."""
        oldest = self.clock() - TOLD_S
        self.told = {key: f for key, f in self.told.items() if f.heard_at >= oldest}
        return sorted(self.told.items(), key=lambda entry: -entry[1].heard_at)

    def remove_engine(self, engine: Engine) -> None:
        """Remove the figures of a target that is gone or has restarted."""
        self.remove(engine.service, engine.key)

    def remove(self, service: str, key: EngineKey) -> None:
        """Remove the figures of an incarnation."""
        self.figures.get(service, {}).pop(key, None)
        self.shared.pop(key, None)
        self.told.pop(key, None)
        self.slots.pop(key, None)
