"""Probes of slow targets that get no requests whose answers could tell that they are fast again.

Load pattern: targets are slow for less than a second and get nothing meanwhile. Without probes they
would stay unused until nothing is known of them any more. Probes are priced: one router of the
fleet probes a target, rarely, and only while there is demand.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from marjoramspool import hashing
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.engine_loads import EngineLoads
from marjoramspool.engine_state.reported_speed import ReportedSpeeds
from marjoramspool.engine_state.request_limits import EngineKey

__all__ = ["SlowProbes", "SpeedProber"]

# A target is probed at most once in this time by the whole fleet.
PROBE_PERIOD_S = 0.2
# Two probes may arrive closer together than they were sent, by less than this.
PERIOD_MARGIN_S = 0.05
# Each wake-up costs processor time, also where no target tells its processing time.
UNUSED_CHECK_PERIOD_S = 1.0
CHECK_PERIOD_S = 0.04
# With more engines than this, they are looked through less often.
MAX_ENGINES_AT_CHECK_PERIOD = 256
# Routers that hear fewer others than this share of the fleet do not probe.
MIN_HEARD_SHARE = 0.5


class SpeedProber(Protocol):
    """Client that asks targets for their load."""

    async def probe_speed(self, engine: Engine, path: str) -> None:
        """Ask an engine for its load, which is passed on like that in an answer."""


class SlowProbes:
    """Probes of the targets of which this router is in charge.

    `health_path` returns that of a service, None if it has none; `is_first` whether this router
    ranks first among the live ones for a key; `heard_share` is the part of the fleet that it hears.
    """

    __slots__ = (
        "clock",
        "engines",
        "health_path",
        "heard_share",
        "is_first",
        "loads",
        "probed_at",
        "prober",
        "probes",
        "sent",
        "speeds",
    )

    def __init__(
        self,
        engines: EngineList,
        speeds: ReportedSpeeds,
        loads: EngineLoads,
        prober: SpeedProber,
        health_path: Callable[[str], str | None],
        is_first: Callable[[int], bool],
        heard_share: Callable[[], float],
        clock: Callable[[], float] = now,
    ):
        self.clock = clock
        self.engines = engines
        self.speeds = speeds
        self.loads = loads
        self.prober = prober
        self.health_path = health_path
        self.is_first = is_first
        self.heard_share = heard_share
        self.probed_at: dict[EngineKey, float] = {}
        self.probes: set[asyncio.Task] = set()
        # Number of probes sent.
        self.sent = 0

    async def run(self) -> None:
        """Probe slow targets until cancelled."""
        try:
            while True:
                if not self.used_services():
                    await asyncio.sleep(UNUSED_CHECK_PERIOD_S)
                    continue
                share = len(self.engines.engines) / MAX_ENGINES_AT_CHECK_PERIOD
                await asyncio.sleep(CHECK_PERIOD_S * max(1.0, share))
                for engine, path in self.take_due():
                    task = asyncio.create_task(self.prober.probe_speed(engine, path))
                    self.probes.add(task)
                    task.add_done_callback(self.probes.discard)
        finally:
            for task in self.probes:
                task.cancel()

    def used_services(self) -> list[str]:
        """Return the services whose targets tell their processing times."""
        return [service for service in self.speeds.used_until if self.speeds.is_used(service)]

    def take_due(self) -> list[tuple[Engine, str]]:
        """Return the targets to probe now, each with its health path, and count them as probed."""
        now_s = self.clock()
        period_s = PROBE_PERIOD_S + PERIOD_MARGIN_S
        self.probed_at = {key: at for key, at in self.probed_at.items() if now_s - at < period_s}
        services = self.used_services()
        if not services or self.heard_share() < MIN_HEARD_SHARE:
            return []
        due = [
            (engine, path)
            for service in services
            if (path := self.health_path(service))
            for engine in self.idle_slow_engines(service)
            if self.is_due(engine, now_s)
        ]
        self.probed_at |= {engine.key: now_s for engine, _ in due}
        self.sent += len(due)
        return due

    def idle_slow_engines(self, service: str) -> list[Engine]:
        """Return the slow engines of a service that get no requests while others get some."""
        usable = self.engines.usable(service)
        if not any(self.loads.requests(engine.id) for engine in usable):
            return []
        slow = self.speeds.slow(usable)
        return [engine for engine in slow if not self.loads.requests(engine.id)]

    def slow_targets(self) -> int:
        """Return the number of targets that are believed to be slow."""
        services = filter(self.speeds.is_used, self.speeds.used_until)
        return sum(len(self.speeds.slow(self.engines.usable(name))) for name in services)

    def is_due(self, engine: Engine, now_s: float) -> bool:
        """Return whether this router is to probe an engine, of which nothing was heard lately."""
        period_s = PROBE_PERIOD_S + PERIOD_MARGIN_S
        is_recent = now_s - self.speeds.heard_at(engine) < period_s
        if is_recent or engine.key in self.probed_at:
            return False
        return self.is_first(hashing.digest(f"{engine.id}/{engine.started_ms}"))
