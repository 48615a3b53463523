"""Detection of poison requests: parts of requests under which one engine after another ends.

Fault: some content ends every engine that begins to answer it. Each request with it, and each
retry, takes one more engine, and with it the sound requests that are in flight there. A part is
quarantined once several engines have ended under it and none has answered it meanwhile. Whatever
else was in flight there is a victim, which the answers to other requests show.

The parts of a request are those of its prompt, which others share, and last its whole content,
which only its repeats share. After two ends a content is suspended: one router of the fleet lets
one request with it pass at a time, until an engine answers it or a third one ends.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from marjoramspool.clock import now
from marjoramspool.events import Event, log

__all__ = [
    "EngineEnd",
    "PoisonDetector",
    "Quarantine",
    "UnansweredAttempt",
    "describe_quarantines",
]

# Engines that must end under a part, one after the other, before it is quarantined.
MIN_STRIKES = 3
# Other routers report what they had in flight at an engine within this time after its end.
SETTLE_S = 0.5
# A request that ends its engine does so within this time after its answer begins.
MAX_END_DELAY_S = 0.5
ENDS_RETENTION_S = 600.0
MAX_ENDS = 256
MAX_ANSWERED_PARTS = 4096
MAX_QUARANTINED = 64
# Engines that end under a content before it is suspended.
MIN_SUSPENDED_STRIKES = 2
SUSPENSION_RETRY_AFTER_S = 1.0
# A request that a suspension let pass is given up after this time.
TRIAL_TIMEOUT_S = 3.0
FIRST_QUARANTINE_S = 60.0
# The time until the next probe doubles this often, to an hour and four minutes.
MAX_DOUBLINGS = 6
# How long this router's own observations are repeated to the others.
REPORT_RETENTION_S = 2.0


@dataclass(slots=True, frozen=True)
class UnansweredAttempt:
    """Attempt that had no answer when its engine ended: when it was sent, and its parts."""

    sent_at: float
    parts: tuple[int, ...]


@dataclass(slots=True)
class EngineEnd:
    """End of one engine, and when each unanswered attempt there was sent, by its parts."""

    ended_at: float
    attempts: dict[tuple[int, ...], float] = field(default_factory=dict)

    def add(self, attempts: Iterable[UnansweredAttempt]) -> set[int]:
        """Add attempts; return the parts of those that are new.

        What was sent after the end did not cause it, and a router tells of it by other times.
        """
        added = [a for a in attempts if a.parts not in self.attempts and a.sent_at < self.ended_at]
        self.attempts |= {a.parts: a.sent_at for a in added}
        return {part for a in added for part in a.parts}

    def contains(self, part: int) -> bool:
        """Return whether an unanswered attempt had a part."""
        return any(part in parts for parts in self.attempts)

    def is_content(self, part: int) -> bool:
        """Return whether a part is the whole content of an unanswered attempt."""
        return any(parts[-1:] == (part,) for parts in self.attempts)

    def latest_first(self) -> list[UnansweredAttempt]:
        """Return the attempts, those sent last first."""
        attempts = [UnansweredAttempt(sent_at, parts) for parts, sent_at in self.attempts.items()]
        return sorted(attempts, key=lambda a: (-a.sent_at, a.parts))


@dataclass(slots=True)
class Quarantine:
    """Part that no request may have until a single one may try it again, at `probe_at`.

    `probes` counts those that tried; each doubles the time until the next.
    """

    part: int
    probe_at: float
    probes: int = 0
    may_probe: bool = False
    # Time of the last request that was refused for it.
    refused_at: float = -math.inf

    def retry_after_s(self, now_s: float) -> float:
        """Return when a request may be tried again, in seconds from now."""
        return max(1.0, self.probe_at - now_s)


class PoisonDetector:
    """Detector of the parts that end engines, from the observations of all routers."""

    __slots__ = (
        "answered_at",
        "check_at",
        "clock",
        "ends",
        "is_trial_router",
        "own_answers",
        "own_ends",
        "on_lifted",
        "on_news",
        "on_quarantined",
        "quarantined",
        "suspects",
        "trial_until",
    )

    def __init__(self, clock: Callable[[], float] = now):
        self.clock = clock
        # Ends by incarnation id, in the order in which this router learned of them.
        self.ends: OrderedDict[int, EngineEnd] = OrderedDict()
        self.answered_at: OrderedDict[int, float] = OrderedDict()
        self.quarantined: dict[int, Quarantine] = {}
        # Ends that this router observed, and suspect parts that it saw answered, for its reports.
        self.own_ends: dict[int, EngineEnd] = {}
        self.own_answers: dict[int, float] = {}
        self.on_quarantined: list[Callable[[Quarantine], None]] = []
        self.on_lifted: list[Callable[[int], None]] = []
        # Called when there is something to tell the other routers.
        self.on_news: list[Callable[[], None]] = []
        # When each part was last unanswered at an end.
        self.suspects: dict[int, float] = {}
        # Whether this router is the one of the fleet that tries a suspended content.
        self.is_trial_router: Callable[[int], bool] = lambda content: True
        # Until when a request with a suspended content is being tried.
        self.trial_until: dict[int, float] = {}
        # When the ends are to be looked at again, None if nothing has changed.
        self.check_at: float | None = None

    @property
    def is_watching(self) -> bool:
        """Return whether anything is quarantined, or engines have ended under requests."""
        return bool(self.quarantined or self.suspects)

    def record_end(self, incarnation: int, sent_at: float, parts: tuple[int, ...]) -> None:
        """Record that an engine ended while this router had an unanswered attempt there."""
        now_s = self.clock()
        for content in parts[-1:]:
            self.trial_until.pop(content, None)
        attempt = UnansweredAttempt(sent_at, parts)
        self.own_ends.setdefault(incarnation, EngineEnd(now_s)).add([attempt])
        self.add_attempts(incarnation, now_s, [attempt])

    def add_attempts(
        self, incarnation: int, ended_at: float, attempts: Iterable[UnansweredAttempt]
    ) -> None:
        """Add unanswered attempts at an engine that ended, as any router reports them."""
        end = self.ends.get(incarnation, EngineEnd(ended_at))
        added = end.add(attempts)
        if not added:
            return
        self.ends[incarnation] = end
        self.suspects |= dict.fromkeys(added, end.ended_at)
        self.check_at = min(self.check_at or math.inf, end.ended_at + SETTLE_S)
        while len(self.ends) > MAX_ENDS:
            self.ends.popitem(last=False)
        self.notify_news()

    def record_answer(self, parts: tuple[int, ...]) -> None:
        """Record that an engine answered a request and did not end of it."""
        now_s = self.clock()
        for part in parts:
            # Only the first answer since an end is news to the others.
            if self.suspects.get(part, -math.inf) > self.answered_at.pop(part, -math.inf):
                self.own_answers[part] = now_s
                self.notify_news()
            self.answered_at[part] = now_s
            self.trial_until.pop(part, None)
            self.lift(part)
        while len(self.answered_at) > MAX_ANSWERED_PARTS:
            self.answered_at.popitem(last=False)

    def record_reported_answer(self, part: int) -> None:
        """Record that another router saw an engine answer a part."""
        self.answered_at.pop(part, None)
        self.answered_at[part] = self.clock()
        self.lift(part)

    def notify_news(self) -> None:
        """Call the callbacks that tell other routers."""
        for call in self.on_news:
            call()

    def find_quarantine(self, parts: tuple[int, ...]) -> Quarantine | None:
        """Return the quarantine that forbids a request, None if there is none.

        A request that is to try a part again passes, once.
        """
        self.check()
        for part in parts:
            quarantine = self.quarantined.get(part)
            if quarantine is None:
                continue
            if quarantine.may_probe:
                quarantine.may_probe = False
                continue
            quarantine.refused_at = self.clock()
            return quarantine
        return self.find_suspension(parts[-1])

    def find_suspension(self, content: int) -> Quarantine | None:
        """Return the suspension that forbids a request, None if there is none.

        One router lets a request pass after two ends, and no other before its outcome; after the
        third end none passes, also while other routers may still report what they had there.
        """
        if content not in self.suspects:
            return None
        ends = [end for end in self.ends.values() if not self.is_explained(end, content)]
        strikes = self.count_strikes(content, ends)
        if strikes < MIN_SUSPENDED_STRIKES:
            return None
        now_s = self.clock()
        is_tried = self.trial_until.get(content, -math.inf) > now_s
        if strikes < MIN_STRIKES and not is_tried and self.is_trial_router(content):
            self.trial_until[content] = now_s + TRIAL_TIMEOUT_S
            return None
        return Quarantine(content, now_s + SUSPENSION_RETRY_AFTER_S)

    def check(self) -> None:
        """Quarantine the parts under which enough engines have ended, if there is new evidence."""
        now_s = self.clock()
        if self.check_at is None or now_s < self.check_at:
            return
        self.expire(now_s)
        while (part := self.find_poison(now_s)) is not None:
            log(Event.PART_QUARANTINED, part=f"{part:x}", engines=self.count_ends(part))
            self.quarantine(part)
        unsettled = [e for e in self.ends.values() if now_s - e.ended_at < SETTLE_S]
        self.check_at = min((e.ended_at + SETTLE_S for e in unsettled), default=None)

    def expire(self, now_s: float) -> None:
        """Forget ends that are too old to tell anything."""
        for incarnation, end in list(self.ends.items()):
            if now_s - end.ended_at <= ENDS_RETENTION_S:
                break
            del self.ends[incarnation]
        oldest = now_s - ENDS_RETENTION_S
        self.suspects = {part: at for part, at in self.suspects.items() if at >= oldest}

    def find_poison(self, now_s: float) -> int | None:
        """Return the part that explains the most ends, None if no part has enough strikes."""
        settled = [end for end in self.ends.values() if now_s - end.ended_at >= SETTLE_S]
        if len(settled) < MIN_STRIKES:
            return None
        suspects = {part for end in settled for parts in end.attempts for part in parts}
        poisons = {}
        for part in suspects - self.quarantined.keys():
            ends = [end for end in settled if not self.is_explained(end, part)]
            if self.count_strikes(part, ends) >= MIN_STRIKES:
                poisons[part] = self.rank(part, ends)
        return max(poisons, key=poisons.get, default=None)

    def rank(self, part: int, ends: list[EngineEnd]) -> tuple[int, bool, int]:
        """Return the rank of a suspect: by ends that it explains, then never answered before."""
        return sum(end.contains(part) for end in ends), part not in self.answered_at, part

    def is_explained(self, end: EngineEnd, suspect: int) -> bool:
        """Return whether an end says nothing of a suspect, since something quarantined was there.

        A quarantined content may be a victim itself, so it speaks only for other contents.
        """
        is_content = end.is_content(suspect)
        return any(
            part in self.quarantined
            for parts in end.attempts
            for part in (parts if is_content else parts[:-1])
        )

    def count_strikes(self, part: int, ends: list[EngineEnd]) -> int:
        """Return how many engines ended, one after the other, since a part was last answered.

        An end counts if the request was sent after the last one that counted: what ends many
        engines at once is no request. A shared part must have ended them in different requests.
        """
        strikes = 0
        last = self.answered_at.get(part, -math.inf)
        tails: set[int] = set()
        for end in ends:
            for attempt in end.latest_first():
                tail = attempt.parts[-1]
                if part not in attempt.parts or attempt.sent_at <= last:
                    continue
                if part != tail and tail in tails:
                    continue
                strikes += 1
                last = end.ended_at
                tails.add(tail)
                break
        return strikes

    def count_ends(self, part: int) -> int:
        """Return the number of known engines that ended with a part unanswered."""
        return sum(end.contains(part) for end in self.ends.values())

    def adopt(self, part: int, probes: int) -> None:
        """Take over the quarantine of another router, unless the part was answered meanwhile."""
        answered_at = self.answered_at.get(part, -math.inf)
        if self.clock() - answered_at > REPORT_RETENTION_S:
            self.quarantine(part, probes)

    def quarantine(self, part: int, probes: int = 0) -> None:
        """Quarantine a part, or renew its quarantine after further probes."""
        known = self.quarantined.get(part)
        if known and known.probes >= probes:
            return
        if known is None and len(self.quarantined) >= MAX_QUARANTINED:
            return
        duration_s = FIRST_QUARANTINE_S * 2 ** min(probes, MAX_DOUBLINGS)
        quarantine = Quarantine(part, self.clock() + duration_s, probes)
        self.quarantined[part] = quarantine
        for call in self.on_quarantined:
            call(quarantine)
        self.notify_news()

    def lift(self, part: int) -> None:
        """Lift the quarantine of a part, if there is one."""
        if self.quarantined.pop(part, None):
            log(Event.PART_RELEASED, part=f"{part:x}")
            for call in self.on_lifted:
                call(part)

    def reported_ends(self) -> Iterator[tuple[int, EngineEnd]]:
        """Yield the ends that this router observed recently, by incarnation id."""
        oldest = self.clock() - REPORT_RETENTION_S
        for incarnation, end in list(self.own_ends.items()):
            if end.ended_at < oldest:
                del self.own_ends[incarnation]
            else:
                yield incarnation, end

    def recent_ends(self) -> Iterator[tuple[int, EngineEnd]]:
        """Yield the ends of which any router told recently, by incarnation id."""
        oldest = self.clock() - REPORT_RETENTION_S
        for incarnation, end in self.ends.items():
            if end.ended_at >= oldest:
                yield incarnation, end

    def reported_answers(self) -> Iterator[int]:
        """Yield the suspect parts that this router saw answered recently."""
        oldest = self.clock() - REPORT_RETENTION_S
        for part, answered_at in list(self.own_answers.items()):
            if answered_at < oldest:
                del self.own_answers[part]
            else:
                yield part


def describe_quarantines(detector: PoisonDetector) -> dict[str, str]:
    """Return a text on each quarantined part for operators."""
    now_s = detector.clock()
    return {
        f"part {q.part:x}": f"engines end under it; tried again in {q.retry_after_s(now_s):.0f} s"
        for q in detector.quarantined.values()
    }
