"""Which failed connections eject a target, and which are a cut of this router."""

from bench.documents import plain_document
from marjoramspool.document import read_document
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.target_failures import TargetFailures
from marjoramspool.targets import EJECTION_FAILURE_THRESHOLD, Targets

DOCUMENT = read_document("test", plain_document("s", [1, 2, 3]))
TARGET = DOCUMENT.targets["target-0"]


class Reach:
    def __init__(self, path):
        self.shown = path

    def path(self, service):
        return self.shown


class Others:
    def __init__(self, is_reached):
        self.is_reached = is_reached
        self.asked = 0

    async def is_reached_by_others(self, service, target):
        self.asked += 1
        return self.is_reached


async def failed(path, is_reached):
    """Return the targets and the other routers after as many failures as eject a target."""
    targets, others = Targets(lambda: 100.0), Others(is_reached)
    failures = TargetFailures(targets, Reach(path), others)
    for _ in range(EJECTION_FAILURE_THRESHOLD):
        await failures.record("s", TARGET)
    return targets, others


async def test_a_target_that_is_down_for_everyone_is_ejected():
    targets, others = await failed(Path.FULL, False)
    assert targets.usable(DOCUMENT, DOCUMENT.targets) == {"target-1", "target-2"}
    assert targets.out_of_reach(DOCUMENT) == set()
    # They are asked once for each ejection, not for each failure.
    assert others.asked == 1


async def test_a_target_that_others_reach_stays_usable_for_them():
    targets, _ = await failed(Path.FULL, True)
    assert targets.usable(DOCUMENT, DOCUMENT.targets) == set(DOCUMENT.targets)
    assert targets.out_of_reach(DOCUMENT) == {"target-0"}
    targets.record_success(TARGET.address)
    assert targets.out_of_reach(DOCUMENT) == set()


async def test_a_router_that_reaches_no_target_records_no_failure():
    targets, others = await failed(Path.NONE, False)
    assert targets.usable(DOCUMENT, DOCUMENT.targets) == set(DOCUMENT.targets)
    assert (targets.state(TARGET.address).failures, others.asked) == (0, 0)
