"""What a router has tried for one request, and what its caller is told if no engine answers."""

import asyncio
import random
from dataclasses import dataclass, field

from marjoramspool.admission.account_admission import Contended
from marjoramspool.clock import now
from marjoramspool.engine_state.cold_engines import AllCold
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_pauses import AllPaused
from marjoramspool.engine_state.engine_room import AllFull
from marjoramspool.engine_state.evacuations import AllEvacuated
from marjoramspool.engine_state.poison_parts import Quarantine
from marjoramspool.engine_state.request_limits import AllLimited
from marjoramspool.failures import AttemptError
from marjoramspool.outcomes import Problem
from marjoramspool.placement.placements import Placement
from marjoramspool.requests import RoutedRequest
from marjoramspool.streams.moved_events import RunMove

__all__ = ["DEFAULT_RETRY_AFTER_S", "AttemptHistory"]

DEFAULT_RETRY_AFTER_S = 0.1
# What began a stream, or an engine of its version, is back later than engines with room.
RESUMPTION_RETRY_AFTER_S = 1.0
# A path that is back is found within about this time.
NO_PATH_RETRY_AFTER_S = 0.5
# Mean time after which a request that waits looks for a free slot again.
SLOT_WAIT_S = 0.01


@dataclass(slots=True)
class AttemptHistory:
    """Attempts of one request.

    `possible_runs` counts the attempts that ran or may have run; `problem` is reported to the
    caller if no engine answers.
    """

    tried_engines: set[str] = field(default_factory=set)
    # Addresses of the routers through which the request was sent.
    tried_peers: set[str] = field(default_factory=set)
    possible_runs: int = 0
    attempts_started: int = 0
    # Where the last attempt was sent, None if that was through another router.
    placement: Placement | None = None
    # Software version of the engine whose event reached the caller first; the stream may go on
    # only there. Empty if it is not known.
    version: str | None = None
    has_brought_event: bool = False
    # Whether the end of the stream is marked in the transfer.
    is_delimited: bool = True
    # Events passed on to the caller, and when the first one was.
    events: int = 0
    first_event_at: float = 0.0
    last_event_id: int | None = None
    # Where its run was moved last.
    move: RunMove | None = None
    # No move of the run is begun before this time.
    next_move_at: float = 0.0
    # When the answer of the last attempt began, None once the engine has outlived its beginning.
    answered_at: float | None = None
    # When the first event of the last attempt arrived, None if none did.
    run_began_at: float | None = None
    # Engine that receives the memory of the last attempt's run.
    backup: Engine | None = None
    # Time for which the request has waited for a free slot.
    waited_s: float = 0.0
    problem: Problem = Problem(
        503, "no usable engine for the request", "retry the request", DEFAULT_RETRY_AFTER_S
    )

    def forget_run(self) -> None:
        """Forget the run of the last attempt at an engine; the next goes through another router."""
        self.placement = None
        self.backup = None
        self.run_began_at = None

    def record_event(self, event_id: int | None) -> None:
        """Record an event that is passed on to the caller."""
        if event_id is not None:
            self.last_event_id = event_id
        if not self.events:
            self.first_event_at = now()
        self.events += 1

    def record_not_run(self, error: AttemptError) -> None:
        """Record an attempt that did not run; keep the problem of an earlier one that may have."""
        if not self.possible_runs:
            self.problem = Problem(503, str(error), "retry the request", DEFAULT_RETRY_AFTER_S)

    def record_problem_not_run(self, problem: Problem) -> None:
        """Record why another router has not run the request; keep that of a possible run."""
        if not self.possible_runs:
            self.problem = problem

    def record_no_path(self) -> None:
        """Record that neither this router nor another reaches an engine."""
        why = "no engine of the service is in reach, here or through another router"
        self.record_problem_not_run(Problem(503, why, "retry the request", NO_PATH_RETRY_AFTER_S))

    def record_not_resumable(self, why: str) -> None:
        """Record why a stream cannot go on; keep the problem of an attempt that may have run."""
        if not self.possible_runs:
            remedy = "resume the stream later, or begin a new one"
            self.problem = Problem(503, why, remedy, RESUMPTION_RETRY_AFTER_S)

    def record_all_evacuated(self, refusal: AllEvacuated) -> None:
        """Record that all engines are evacuated; keep the problem of a possible run."""
        why = "all engines of the service are in evacuated failure domains"
        remedy = "retry after the given time"
        self.record_problem_not_run(Problem(503, why, remedy, refusal.retry_after_s))

    def record_all_paused(self, pause: AllPaused) -> None:
        """Record that all engines are paused; keep the problem of an attempt that may have run."""
        if not self.possible_runs:
            why = "all engines of the service refuse requests for a time"
            self.problem = Problem(503, why, "retry after the given time", pause.retry_after_s)

    def record_all_limited(self, refusal: AllLimited) -> None:
        """Record that no engine has room; keep the problem of an attempt that may have run."""
        if not self.possible_runs:
            why = "all engines of the service have reached the rate limits that they named"
            self.problem = Problem(503, why, "retry after the given time", refusal.retry_after_s)

    def record_all_full(self, refusal: AllFull) -> None:
        """Record that no brittle engine has room; keep the problem of a possible run."""
        why = "all engines of the service are full and would fall over"
        remedy = "retry after the given time"
        self.record_problem_not_run(Problem(503, why, remedy, refusal.retry_after_s))

    def record_all_cold(self, refusal: AllCold) -> None:
        """Record that no cold engine takes one more; keep the problem of a possible run."""
        why = "all engines of the service have just started and take few requests"
        remedy = "retry after the given time"
        self.record_problem_not_run(Problem(503, why, remedy, refusal.retry_after_s))

    async def wait_for_slot(self, request: RoutedRequest, refusal: Contended) -> bool:
        """Wait for a free slot; return whether the request may be placed again.

        A request that has waited long enough, or that may have run, goes to any engine then.
        Engines that turned a request away count again, unless it may have run.
        """
        if self.possible_runs or self.waited_s >= refusal.wait_s:
            may_go_on = (refusal.may_queue or self.possible_runs > 0) and not request.may_queue
            request.may_queue = True
            return may_go_on
        wait_s = SLOT_WAIT_S * random.uniform(0.5, 1.5)
        self.waited_s += wait_s
        self.tried_engines.clear()
        await asyncio.sleep(wait_s)
        return True

    def record_contended(self, refusal: Contended) -> None:
        """Record that the service is contended; keep the problem of a possible run."""
        why = "the demand for the service exceeds its capacity, and the account has its share"
        if refusal.is_too_late:
            why = "the service is contended and the request would miss its deadline"
        remedy = "retry after the given time"
        self.record_problem_not_run(Problem(503, why, remedy, refusal.retry_after_s))

    def record_quarantine(self, quarantine: Quarantine, retry_after_s: float) -> None:
        """Record that the content of a request ends engines; keep the problem of a possible run."""
        if not self.possible_runs:
            why = f"engines end under content of the request, quarantined as {quarantine.part:x}"
            self.problem = Problem(503, why, "send the request without the content", retry_after_s)
