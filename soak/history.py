"""History of observations of a soak by callers, engines and the operator."""

from dataclasses import dataclass, field

from bench.platform_fleet import PlatformFleet

__all__ = ["PATH_CUT", "ConfigurationChange", "Disturbance", "History", "Sent", "Violation"]


# A router loses its path to all engines; callers, store and other routers reach it.
PATH_CUT = "path to engines"


@dataclass(slots=True)
class Sent:
    """One request of a caller and its result; times are on the monotonic clock."""

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
    content: bytes = b""
    prompt: str = ""
    # The last event that arrived of a stream. A resumption names the request that began the stream,
    # and the last event that arrived before.
    last_event: int = 0
    first_request: str | None = None
    after: int = 0
    # When the first event of a stream arrived at the caller, None if none did.
    first_event_at: float | None = None


@dataclass(slots=True, frozen=True)
class Disturbance:
    """Period in which a fault affects one router, or all of them if `router` is None."""

    router: int | None
    since: float
    until: float
    what: str
    is_planned: bool = False
    # Faults of engines alone do not cut routers off from the store or from each other.
    is_engines: bool = False


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """A desired state: its probe route, its API keys and the time of its confirmation."""

    version: int
    probe_prefix: str
    keys: tuple[str, ...]
    confirmed_at: float


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated invariant and the observation that shows it."""

    invariant: str
    detail: str


@dataclass(slots=True)
class History:
    """All observations of a soak; arrivals are read from the engines' own records."""

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
        """Record a fault that affects one router, or all if `router` is None."""
        self.disturbances.append(Disturbance(router, since, since + duration_s, what, is_planned))

    def record_engine_disturbance(self, since: float, duration_s: float, what: str) -> None:
        """Record a fault that affects engines only."""
        disturbance = Disturbance(None, since, since + duration_s, what, is_engines=True)
        self.disturbances.append(disturbance)

    def is_running(self, router: int, since: float, until: float) -> bool:
        """Return whether a router was neither paused nor restarted in the interval."""
        return not any(
            d.router == router
            and not d.what.startswith("store")
            and d.since <= until
            and d.until >= since
            for d in self.disturbances
        )

    def is_undisturbed(self, router: int, since: float, until: float) -> bool:
        """Return whether no fault affected the router itself in the interval."""
        return not any(
            d.router in (None, router)
            and not d.is_engines
            and d.since <= until
            and d.until >= since
            for d in self.disturbances
        )
