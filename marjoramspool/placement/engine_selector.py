"""Selection of an engine for each request, from the loads and caches known to this router."""

from collections.abc import Callable, Iterable

from marjoramspool import hashing
from marjoramspool.admission.account_admission import Contended
from marjoramspool.admission.load_shedding import MIN_OVERTAKEN_RANK, Shed
from marjoramspool.admission.prefill_waits import PrefillWaits
from marjoramspool.admission.queue_rank import RESUMED_RANK, queue_rank, urgency_rank
from marjoramspool.engine_state.answer_times import AnswerTimes
from marjoramspool.engine_state.cold_engines import AllCold, ColdEngines
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.engine_state.engine_loads import EngineLoads
from marjoramspool.engine_state.engine_pauses import AllPaused, EnginePauses
from marjoramspool.engine_state.engine_room import AllFull, EngineRoom
from marjoramspool.engine_state.evacuations import AllEvacuated
from marjoramspool.engine_state.incarnation_doubts import IncarnationDoubts
from marjoramspool.engine_state.outlier_detection import OutlierDetector
from marjoramspool.engine_state.poison_parts import PoisonDetector, Quarantine
from marjoramspool.engine_state.prefix_caches import PrefixCaches
from marjoramspool.engine_state.reported_speed import ReportedSpeeds
from marjoramspool.engine_state.request_limits import AllLimited, EngineKey, RequestLimits
from marjoramspool.engine_state.unreported_load import HotParts, WorkRate
from marjoramspool.peers.messages import incarnation_id
from marjoramspool.placement.cache_sources import Holder, select_cache_source
from marjoramspool.placement.candidate_engines import MAX_COMPARED_ENGINES
from marjoramspool.placement.contended_services import ContendedServices
from marjoramspool.placement.cost_placement import (
    REQUEST_COST_TOKENS,
    Candidate,
    Choice,
    UnreportedLoad,
    choose_engine,
)
from marjoramspool.placement.engine_rings import EngineRings
from marjoramspool.placement.expected_time import choose_fastest
from marjoramspool.placement.placements import Placement
from marjoramspool.placement.shared_parts import SharedParts
from marjoramspool.prompts import Part
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import NEVER_COLD, ColdStart, RouteTable

__all__ = ["EngineSelector", "Refusal"]

# Why no engine gets a request.
Refusal = Shed | AllEvacuated | AllPaused | AllLimited | AllFull | AllCold | Contended | Quarantine

# The rest of an engine's memory is used by its running requests.
CACHE_MEMORY_FRACTION = 0.7
# The request rate of a hot part is as old as the reported loads, so the report age counts twice.
HOT_PART_AGE_FACTOR = 2
# More engines than this hold only parts that nearly all prompts share.
MAX_HOLDERS = 32


class EngineSelector:
    """Selector of engines that keeps track of their loads and cached prompt parts."""

    __slots__ = (
        "answer_times",
        "accounts",
        "caches",
        "cold",
        "contention",
        "domain",
        "doubts",
        "engines",
        "heard_share",
        "hot_parts",
        "limits",
        "loads",
        "on_placed",
        "on_reverted",
        "other_routers",
        "outliers",
        "pauses",
        "poison",
        "prefill_waits",
        "request_rates",
        "room",
        "report_age_s",
        "rings",
        "sent_rates",
        "shared_parts",
        "speeds",
        "table",
        "unknown_caches",
    )

    def __init__(self, domain: str, engines: EngineList, table: Callable[[], RouteTable | None]):
        self.domain = domain
        self.engines = engines
        self.table = table
        self.loads = EngineLoads()
        self.outliers = OutlierDetector()
        self.doubts = IncarnationDoubts()
        self.pauses = EnginePauses()
        self.limits = RequestLimits(lambda key: self.loads.others(key[0]))
        self.room = EngineRoom()
        self.cold = ColdEngines(self.cold_start)
        self.speeds = ReportedSpeeds()
        self.answer_times = AnswerTimes()
        self.contention = ContendedServices(self)
        self.accounts = self.contention.accounts
        # Requests that this router sends to each service.
        self.request_rates: dict[str, WorkRate] = {}
        self.poison = PoisonDetector()
        self.caches = PrefixCaches()
        self.shared_parts = SharedParts()
        self.prefill_waits = PrefillWaits()
        self.sent_rates: dict[str, WorkRate] = {}
        self.hot_parts = HotParts()
        self.rings = EngineRings(self.loads)
        # Mean age of the load reports of other routers, in seconds.
        self.report_age_s: Callable[[], float] = lambda: 0.0
        # Part of the routers that this one knows of whose requests it knows, itself included.
        self.heard_share: Callable[[], float] = lambda: 1.0
        # Number of other routers that send requests.
        self.other_routers: Callable[[], int] = lambda: len(self.loads.reported)
        self.on_placed: list[Callable[[Engine, tuple[Part, ...]], None]] = []
        self.on_reverted: list[Callable[[Engine, tuple[Part, ...]], None]] = []
        # Engines, as (id, start time), whose caches were filled before this router knew them.
        self.unknown_caches: set[tuple[str, int]] = set()
        engines.on_removed.append(self.remove_engine)
        engines.on_listed.append(self.room.record_listed)
        engines.on_listed.append(self.cold.record_listed)
        engines.on_registered.append(self.cold.record_registered)
        engines.evacuations.on_ended.append(self.record_evacuation_ended)

    def record_idle_closed(self, address: str) -> None:
        """Record that what listens at an address closed a kept connection, as at its end."""
        for engine in self.engines.engines.values():
            if engine.address == address:
                self.doubts.record_break(engine)

    def remove_engine(self, engine: Engine) -> None:
        """Remove the state of an engine that is gone or has restarted."""
        self.caches.remove_engine((engine.id, engine.started_ms))
        self.outliers.remove_engine(engine.id)
        self.doubts.remove_engine(engine.key)
        self.pauses.remove_engine(engine)
        self.limits.remove_engine(engine.key)
        self.room.remove_engine(engine)
        self.cold.remove_engine(engine.key)
        self.speeds.remove_engine(engine)
        self.answer_times.remove_engine(engine)
        self.unknown_caches.discard((engine.id, engine.started_ms))

    def cold_start(self, service: str) -> ColdStart:
        """Return the cold start of a service's engines."""
        table = self.table()
        return table.cold_start(service) if table else NEVER_COLD

    def record_evacuation_ended(self, domain: str) -> None:
        """Take the engines of a failure domain for cold that may have started again meanwhile."""
        for engine in self.engines.engines.values():
            if engine.failure_domain == domain:
                self.cold.assume_cold(engine)

    def forget_ejections(self, service: str) -> None:
        """Use the engines of a service again that were ejected while none was in reach."""
        for engine in self.engines.usable(service):
            self.outliers.remove_engine(engine.id)

    def model_engines(self) -> list[Engine]:
        """Return the engines that have a prefix cache."""
        table = self.table()
        services = table.services if table else {}
        return [
            engine
            for engine in self.engines.engines.values()
            if engine.service in services
            and services[engine.service].engine_capacity
            and not self.engines.evacuations.is_evacuated(engine.failure_domain)
        ]

    def record_listed(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Record the listed cache content of an engine that was unknown to this router."""
        self.unknown_caches.discard((engine.id, engine.started_ms))
        self.record_cached(engine, parts)

    def place(
        self, request: RoutedRequest, exclude: set[str], version: str | None = None
    ) -> Placement | Refusal | None:
        """Return a placement of a request at the best engine; None if no engine is usable.

        A stream that goes on is placed among the engines of the software `version` that began it.
        A request with quarantined content goes to no engine.
        A request that has not been sent to any engine yet is shed if it would wait too long there,
        and refused under contention beyond the share of its account.
        """
        serving = self.engines.usable(request.service, version)
        if not serving and self.engines.is_all_evacuated(request.service):
            return AllEvacuated(request.remaining_s(), hashing.fraction(request.id))
        if all_paused := self.pauses.all_paused(serving, hashing.fraction(request.id)):
            return all_paused
        prompt = request.prompt
        if self.poison.is_watching and (quarantine := self.poison.find_quarantine(request.parts)):
            return quarantine
        is_new = not exclude and request.after_event is None
        if is_new and not request.is_admitted and (refusal := self.contention.refuse(request)):
            return refusal
        parts = self.shared_parts.select_shareable(prompt, request.id) if prompt else ()
        tokens = prompt.input_tokens if prompt else 0
        choice = self.choose(request, serving, exclude, parts, version)
        if choice is None:
            left = [engine for engine in serving if engine.id not in exclude]
            draw = hashing.fraction(request.id)
            if limited := self.limits.all_limited(
                (engine.key for engine in left), request.remaining_s(), draw
            ):
                return limited
            if full := self.room.all_full(left, draw):
                if self.contention.is_shared_by_account(request.service):
                    self.accounts.record_full(request.service)
                return full
            if cold := self.cold.all_cold(left, request.remaining_s(), draw):
                return cold
            return self.contention.refuse_full(request) if left else None
        engine = self.engines.engines[choice.engine.name]
        prefill_tokens = max(0, tokens - choice.engine.cached_tokens)
        rank = queue_rank(prefill_tokens, request.priority)
        queued_tokens = choice.engine.load.prefill_tokens
        if parts and is_new:
            shed = self.prefill_waits.shed(request, queued_tokens, prefill_tokens, rank)
            if shed:
                return shed
        sent = self.sent_rates.setdefault(request.service, WorkRate())
        sent.record(prefill_tokens + REQUEST_COST_TOKENS)
        self.limits.record_sent(engine.key)
        self.cold.record_sent(engine)
        self.request_rates.setdefault(request.service, WorkRate()).record(1.0)
        if not parts:
            return Placement(engine, self.loads, prefill_tokens, choice, rank)
        is_pressed = self.prefill_waits.pressure(request.service).is_pressed()
        # Urgent requests overtake the queue then, so that their wait says little of the prefill.
        is_overtaken = rank >= MIN_OVERTAKEN_RANK and not (is_pressed and request.priority == 0)
        if is_pressed:
            rank = urgency_rank(prefill_tokens, request.priority)
        cache_source = self.find_cache_source(engine, parts, choice.engine.cached_tokens)
        new_parts = self.caches.missing((engine.id, engine.started_ms), parts)
        self.record_cached(engine, parts)
        self.record_requested_parts(parts)
        for call in self.on_placed:
            call(engine, parts)
        return Placement(
            engine,
            self.loads,
            prefill_tokens,
            choice,
            rank,
            cache_source,
            new_parts,
            is_overtaken,
        )

    def choose(
        self,
        request: RoutedRequest,
        serving: list[Engine],
        exclude: set[str],
        parts: tuple[Part, ...],
        version: str | None,
    ) -> Choice | None:
        """Return the best engine for a request; None if none is usable.

        In a large service a few engines are compared, and all only if none of them has room.
        """
        prompt = request.prompt
        key = hashing.digest(str(prompt.shared_part_id) if prompt else request.id)
        if len(serving) > MAX_COMPARED_ENGINES:
            holders = self.usable_holders(request.service, parts, version)
            # Few routers may send to a cold engine: they compare it for each of their requests.
            holders += self.listed(self.cold.permitted(request.service), request.service, version)
            ring_key = (request.service, version)
            window = self.rings.ring(ring_key, serving).window(key, holders)
            mean = self.rings.mean_requests(ring_key, serving)
            share = len(window) / len(serving)
            choice = self.choose_among(window, request, exclude, parts, key, share, mean)
            if choice is not None:
                return choice
        return self.choose_among(serving, request, exclude, parts, key)

    def usable_holders(
        self, service: str, parts: tuple[Part, ...], version: str | None
    ) -> list[Engine]:
        """Return the usable engines of a service that have the most of a chain of parts cached."""
        holders = self.caches.deepest_holders(parts)[:MAX_HOLDERS]
        return self.listed(holders, service, version)

    def listed(self, keys: Iterable[EngineKey], service: str, version: str | None) -> list[Engine]:
        """Return the engines of some keys that are usable for a service and version."""
        listed = self.engines.engines
        return [
            engine
            for name, started_ms in keys
            if (engine := listed.get(name))
            and engine.started_ms == started_ms
            and engine.service == service
            and version in (None, engine.version)
            and self.engines.is_usable(engine)
        ]

    def choose_among(
        self,
        engines: list[Engine],
        request: RoutedRequest,
        exclude: set[str],
        parts: tuple[Part, ...],
        key: int,
        share: float = 1.0,
        mean_requests: float | None = None,
    ) -> Choice | None:
        """Return the best of some engines, which are a `share` of the service's."""
        usable = [e for e in engines if e.id not in exclude and not self.pauses.is_paused(e)]
        not_ejected = self.outliers.exclude_ejected(engine.id for engine in usable)
        with_room = self.with_room([e for e in usable if e.id in not_ejected], request)
        candidates = [self.candidate(engine, parts) for engine in with_room]
        most_cached = max((c.cached_tokens for c in candidates), default=0)
        for candidate in candidates:
            candidate.cached_elsewhere_tokens = most_cached - candidate.cached_tokens
        tokens = request.prompt.input_tokens if request.prompt else 0
        if self.is_placed_by_time(request.service):
            others = self.unreported_requests(request.service, 1) * share
            return choose_fastest(candidates, hashing.digest(request.id), others, tokens)
        unreported = self.unreported_load(request, share)
        return choose_engine(candidates, key, tokens, unreported, mean_requests)

    def with_room(self, engines: list[Engine], request: RoutedRequest) -> list[Engine]:
        """Return the engines that are not full, and whose rate limits have room for a request.

        Of the cold ones, these are only those that this router may send one more.
        """
        engines = self.contention.with_free_slots(self.cold.select(engines), request)
        if self.room.is_brittle(request.service):
            unreported = self.unreported_requests(request.service, len(engines))
            engines = [
                engine
                for engine in engines
                if self.room.has_room(
                    engine,
                    self.loads.requests(engine.id),
                    unreported,
                    hashing.fraction(f"{engine.id}/{request.id}"),
                )
            ]
        if not self.limits.notices:
            return engines
        selected = self.limits.select(
            (engine.key for engine in engines),
            lambda name: hashing.fraction(f"{request.id}/{name}"),
            request.after_event is not None or self.is_urgent(request),
        )
        return [engine for engine in engines if engine.key in selected]

    def is_placed_by_time(self, service: str) -> bool:
        """Return whether requests for a service go where an answer is expected first.

        Its engines tell their processing times and have no prefix caches.
        """
        return self.speeds.is_used(service) and not self.has_caches(service)

    def has_caches(self, service: str) -> bool:
        """Return whether the engines of a service have prefix caches."""
        table = self.table()
        entry = table.services.get(service) if table else None
        return entry is not None and entry.engine_capacity is not None

    def slowness(self, engine: Engine) -> float:
        """Return the processing time that an engine is expected to have, 1.0 if as usual."""
        if not self.speeds.is_used(engine.service):
            return 1.0
        return self.speeds.slowness(engine) * self.answer_times.excess(engine)

    def unreported_requests(self, service: str, engines: int) -> float:
        """Return the requests that others have sent to each engine and not reported yet."""
        rate = self.request_rates.get(service)
        if rate is None or not engines:
            return 0.0
        return rate.rate_per_s() * self.other_routers() * self.report_age_s() / engines

    def record_refusal(self, engine: Engine) -> None:
        """Record that an engine turned a request away, which is still counted in its load."""
        self.room.record_refusal(engine, max(0, self.loads.requests(engine.id) - 1))

    def is_urgent(self, request: RoutedRequest) -> bool:
        """Return whether no route to the service of a request has a higher priority."""
        table = self.table()
        return table is None or request.priority <= table.highest_priority(request.service)

    def unreported_load(self, request: RoutedRequest, share: float = 1.0) -> UnreportedLoad:
        """Return the unreported load, assuming that all routers send as much as this one.

        The work for the service is that at a `share` of its engines.
        """
        sent = self.sent_rates.setdefault(request.service, WorkRate())
        requests_per_s = (
            self.hot_parts.rate_per_s(request.prompt.shared_part_id) if request.prompt else 0.0
        )
        report_age_s = self.report_age_s()
        draw = hashing.fraction(request.id)
        others = self.other_routers()
        return UnreportedLoad(
            sent.rate_per_s() * others * report_age_s * share,
            requests_per_s * HOT_PART_AGE_FACTOR * report_age_s,
            draw,
        )

    def record_requested_parts(self, parts: tuple[Part, ...]) -> None:
        """Record the shared parts of a request that any router has placed."""
        self.hot_parts.record(part.id for part in parts)

    def find_cache_source(
        self, engine: Engine, parts: tuple[Part, ...], cached_tokens: int
    ) -> Engine | None:
        """Return an engine from which another can copy much of a prompt; it may be draining.

        An engine that fails requests is eligible, since it still serves its cache to others.
        """
        self.engines.expire_grace_periods()
        holders = [
            Holder(other, tokens, self.engines.is_draining(other))
            for key in self.caches.holders_beyond(parts, cached_tokens)
            if (other := self.engines.find(key))
            and (tokens := self.caches.cached_tokens(key, parts)) > cached_tokens
            and other.service == engine.service
            # What another software version has computed need not fit.
            and other.version == engine.version
            and other.id != engine.id
            and not self.outliers.is_refusing_connections(other.id)
        ]
        return select_cache_source(engine, holders, cached_tokens)

    def candidate(self, engine: Engine, parts: tuple[Part, ...]) -> Candidate:
        """Return the state of an engine with regard to a prompt."""
        return Candidate(
            name=engine.id,
            load=self.loads.total(engine.id),
            cached_tokens=self.caches.cached_tokens(engine.key, parts),
            is_same_domain=engine.failure_domain == self.domain,
            room=self.limits.room(engine.key),
            used_limit=self.limits.used(engine.key),
            is_cold=self.cold.is_cold(engine),
            slots=self.speeds.slots_of(engine),
            slowness=self.slowness(engine),
        )

    def takeover_engines(self, engine: Engine, request_id: str) -> list[Engine]:
        """Return the engines that may go on with what an engine of their version has begun."""
        if not engine.version:
            return []
        key = (engine.service, engine.version)
        serving = self.engines.usable(*key)
        if len(serving) > MAX_COMPARED_ENGINES:
            serving = self.rings.ring(key, serving).window(hashing.digest(request_id))
        others = [
            e
            for e in serving
            if e.key != engine.key and not self.pauses.is_paused(e) and not self.cold.is_cold(e)
        ]
        not_ejected = self.outliers.exclude_ejected(e.id for e in others)
        return [e for e in others if e.id in not_ejected]

    def may_go_on_at(self, engine: Engine) -> bool:
        """Return whether an engine may be sent a run that began elsewhere."""
        return (
            engine in self.engines.usable(engine.service, engine.version)
            and not self.pauses.is_paused(engine)
            and bool(self.cold.select([engine]))
            and self.limits.room(engine.key) >= 1.0
            and self.room.has_room(engine, self.loads.requests(engine.id), 0.0, 0.0)
        )

    def place_at(self, engine: Engine) -> Placement:
        """Return a placement of a run that goes on at an engine, whose prompt is not read again."""
        self.limits.record_sent(engine.key)
        self.cold.record_sent(engine)
        choice = Choice(self.candidate(engine, ()), 0)
        return Placement(engine, self.loads, 0, choice, RESUMED_RANK)

    def record_end(self, placement: Placement, parts: tuple[int, ...]) -> None:
        """Record that an engine ended while a request with some parts had no answer."""
        engine = placement.engine
        incarnation = incarnation_id(engine.id, engine.started_ms)
        self.poison.record_end(incarnation, placement.placed_at, parts)
        # It may be back under its id before it is listed again.
        self.cold.assume_cold(engine)

    def revert_placement(self, placement: Placement) -> None:
        """Drop the parts of a placement whose engine refused or failed the request."""
        if placement.new_parts:
            self.drop_parts(placement.engine, placement.new_parts)
            for call in self.on_reverted:
                call(placement.engine, placement.new_parts)

    def drop_parts(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Record that an engine has not cached some parts."""
        self.caches.remove_parts((engine.id, engine.started_ms), parts)

    def record_cached(self, engine: Engine, parts: tuple[Part, ...]) -> None:
        """Record that an engine has a chain of parts cached or is prefilling it."""
        table = self.table()
        service = table.services.get(engine.service) if table else None
        if service is None or service.engine_capacity is None:
            return
        capacity = int(service.engine_capacity.kv_cache_tokens * CACHE_MEMORY_FRACTION)
        self.caches.insert((engine.id, engine.started_ms), capacity, parts)
