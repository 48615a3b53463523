"""How long an attempt waits for its answer before the request goes to another target.

Load pattern: targets are several times slower than usual, one or all of them. An attempt that is
given up loses what its target has done, and a second one elsewhere takes as long as targets take at
the moment. So an attempt waits for as long as its target may need now, and longer while the answer
is still likely to arrive sooner than that of a second attempt.
"""

import math
from dataclasses import dataclass

__all__ = ["Outlook", "further_wait_s"]

# An answer is late after the expected time and this many times its spread.
LATE_SPREADS = 3.0
# An attempt that is late is expected to need this part of its waiting time once more.
REMAINING_RATIO = 0.5
# A second attempt starts only if this many times its expected duration is left.
DEADLINE_MARGIN = 1.5
# Period of the decision whether to go on waiting.
RECHECK_S = 0.05


@dataclass(slots=True, frozen=True)
class Outlook:
    """What an attempt may expect at the moment, in seconds.

    `expected_s` and `spread_s` are of the whole answer time at its target, `elsewhere_s` is that of
    a second attempt at the best other target, infinite if there is none or none is allowed.
    """

    expected_s: float
    spread_s: float
    elsewhere_s: float


def further_wait_s(outlook: Outlook, waited_s: float, remaining_s: float) -> float:
    """Return for how long an attempt goes on waiting before the next decision, in seconds.

    0 means that a second attempt starts now; `remaining_s` is the time to the deadline.
    """
    if math.isinf(outlook.elsewhere_s):
        return min(remaining_s, RECHECK_S)
    late_s = outlook.expected_s + LATE_SPREADS * outlook.spread_s
    latest_s = waited_s + remaining_s - DEADLINE_MARGIN * outlook.elsewhere_s
    if latest_s < waited_s:
        # A second attempt would not be answered in time either.
        return min(remaining_s, RECHECK_S)
    # If a second attempt would soon be too late, it may start before the answer counts as late.
    late_s = min(late_s, max(latest_s, outlook.expected_s + outlook.spread_s))
    if waited_s < late_s:
        return min(late_s - waited_s, RECHECK_S)
    is_sooner = outlook.elsewhere_s < max(outlook.spread_s, REMAINING_RATIO * waited_s)
    if is_sooner or latest_s - waited_s < RECHECK_S:
        return 0.0
    return RECHECK_S
