"""Evidence that an engine no longer executes a run.

Fault: the report of an engine describes an earlier moment. A run that began after that moment is
not listed yet, and one that was preempted waits without being listed; the engine goes on with both.
"""

from collections.abc import Callable

from marjoramspool.attempts import RunState
from marjoramspool.clock import now

__all__ = ["RunRelease"]

# The engines' protocol puts the moment that a report describes some hundred ms back.
MAX_REPORT_AGE_S = 1.0
# An engine that has closed the connection of a run stops it within about this time; callers wait
# longer than this between two events.
RELEASE_TIMEOUT_S = 0.4
CHECK_PERIOD_S = 0.03
# Until a report can be proof, only the end of the engine is looked for.
EARLY_CHECK_PERIOD_S = 0.1


class RunRelease:
    """Checks of one broken run at an engine, of which the first event arrived at `began_at`.

    Times are of `clock`, in seconds; `began_at` is None if no event of the run is known.
    """

    __slots__ = ("clock", "provable_at", "until")

    def __init__(
        self, began_at: float | None, remaining_s: float, clock: Callable[[], float] = now
    ):
        self.clock = clock
        now_s = clock()
        self.provable_at = None if began_at is None else began_at + MAX_REPORT_AGE_S
        first_proof_s = max(0.0, (self.provable_at or now_s) - now_s)
        self.until = now_s + min(first_proof_s + RELEASE_TIMEOUT_S, remaining_s)

    def is_proof(self, state: RunState, asked_at: float) -> bool:
        """Return whether a state, asked for at a time, shows that the run has ended."""
        match state:
            case RunState.REFUSED:
                return True
            case RunState.UNLISTED:
                return self.provable_at is not None and asked_at >= self.provable_at
        return False

    def is_over(self) -> bool:
        """Return whether the time for the proof is over."""
        return self.clock() >= self.until

    def next_check_s(self) -> float:
        """Return the time until the next check, in seconds."""
        if self.provable_at is None:
            return CHECK_PERIOD_S
        early_s = min(EARLY_CHECK_PERIOD_S, self.provable_at - self.clock())
        return max(CHECK_PERIOD_S, early_s)
