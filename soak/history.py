"""What callers, engines and the operator have seen in a soak."""

from dataclasses import dataclass, field

from bench.platform_fleet import PlatformFleet

__all__ = ["Violation", "ConfigurationChange", "Disturbance", "History", "Sent"]


@dataclass(slots=True)
class Sent:
    """Hold one request of a caller and what became of it; times on the monotonic clock."""

    id: str
    kind: str
    path: str
    key: str
    router: int
    start: int
    sent: float
    ended: float = 0.0
    status: int | None = None
    body: bytes | None = None
    is_signed: bool = False
    has_left: bool = False


@dataclass(slots=True, frozen=True)
class Disturbance:
    """State that a router, or each of them if it is None, was disturbed."""

    router: int | None
    since: float
    until: float
    what: str
    is_planned: bool = False
    # A fault of engines alone leaves the routers in touch.
    is_engines: bool = False


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """Hold a desired state: its probe route, its keys and when it was confirmed."""

    version: int
    probe_prefix: str
    keys: tuple[str, ...]
    confirmed_at: float


@dataclass(slots=True, frozen=True)
class Violation:
    """Name a promise that was broken, and what shows it."""

    invariant: str
    detail: str


@dataclass(slots=True)
class History:
    """Collect what was seen; the engines' own records are read where they are."""

    platform: PlatformFleet
    requests: list[Sent] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    drain_starts: dict[str, float] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)
    recovery_start: float = float("inf")

    def record_disturbance(
        self,
        router: int | None,
        since: float,
        duration_s: float,
        what: str,
        is_planned: bool = False,
    ) -> None:
        """Record a disturbance of one router, or of all."""
        self.disturbances.append(Disturbance(router, since, since + duration_s, what, is_planned))

    def record_engine_disturbance(self, since: float, duration_s: float, what: str) -> None:
        """Record a fault of engines."""
        disturbance = Disturbance(None, since, since + duration_s, what, is_engines=True)
        self.disturbances.append(disturbance)

    def is_undisturbed(self, router: int, since: float, until: float) -> bool:
        """Tell whether nothing disturbed a router itself between two times."""
        return not any(
            d.router in (None, router)
            and not d.is_engines
            and d.since <= until
            and d.until >= since
            for d in self.disturbances
        )
