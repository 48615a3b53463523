"""Probes that show whether this router reaches the engines."""

import asyncio
import random
from collections.abc import Iterable
from typing import Protocol

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_reach import EngineReach, select_probed

__all__ = ["EngineProber", "EngineSource", "ReachMonitor"]

PROBE_TIMEOUT_S = 0.25
# A path that is back is found this soon.
PROBE_PERIOD_S = 0.5


class EngineSource(Protocol):
    """Engines, or targets with the same `id`, `service` and `failure_domain`, by their ids."""

    engines: dict[str, Engine]

    def usable(self, service: str) -> Iterable[Engine]:
        """Return the engines of a service that may get requests."""


class EngineProber(Protocol):
    """Client that can open a connection to an engine."""

    async def can_connect(self, engine: Engine, timeout_s: float) -> bool:
        """Return whether an engine accepts a new connection within some seconds."""


class ReachMonitor:
    """Rounds of probes: at a sign of a cut, and periodically while there is one."""

    __slots__ = ("engines", "prober", "reach", "rounds")

    def __init__(self, engines: EngineSource, prober: EngineProber):
        self.engines = engines
        self.prober = prober
        self.reach = EngineReach()
        self.rounds: dict[str, asyncio.Task] = {}

    async def confirm(self, service: str) -> None:
        """Find out whether a failed attempt is a sign of a cut, unless that was done just now."""
        if service not in self.rounds and self.reach.is_round_due(service):
            task = self.rounds[service] = asyncio.create_task(self.probe(service))
            task.add_done_callback(lambda _: self.rounds.pop(service))
        if task := self.rounds.get(service):
            await asyncio.shield(task)

    async def probe(self, service: str) -> None:
        """Run one round of probes of a service."""
        probed = self.reach.begin_round(service, self.engines.usable(service))
        connected = await self.connect(probed, len(probed) // 2 + 1)
        self.reach.record_round(service, connected, PROBE_TIMEOUT_S)

    async def connect(self, engines: Iterable[Engine], enough: int) -> list[bool]:
        """Return whether each engine accepts a new connection.

        Those that have not answered when `enough` did count as not connected: a request waits for
        the result, and must not wait for one silent engine.
        """
        probes = [
            asyncio.create_task(self.prober.can_connect(engine, PROBE_TIMEOUT_S))
            for engine in engines
        ]
        connected = 0
        for probe in asyncio.as_completed(probes):
            connected += await probe
            if connected >= enough:
                break
        for probe in probes:
            probe.cancel()
        return [n < connected for n in range(len(probes))]

    async def has_lost_path(self, engine: Engine) -> bool:
        """Return whether an engine that refuses connections may be sound, behind a cut.

        Others of its service are tried, then those of other services, which content that ends
        engines spares. Without others nothing speaks for a cut.
        """
        others = [e for e in self.engines.engines.values() if e.id != engine.id]
        same = [e for e in others if e.service == engine.service]
        other = [e for e in others if e.service != engine.service]
        for group in (same, other):
            connected = await self.connect(select_probed(group, random.getrandbits(16)), 1)
            if any(connected):
                return False
        return bool(others)

    async def run(self) -> None:
        """Probe the services that are cut off until they are in reach again."""
        while True:
            await asyncio.sleep(PROBE_PERIOD_S * random.uniform(0.8, 1.2))
            await asyncio.gather(*map(self.confirm, self.reach.cut_off_services()))
