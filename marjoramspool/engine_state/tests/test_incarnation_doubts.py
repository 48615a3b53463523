"""Engines that may have started again since they registered.

Guards against streams of two software versions, since an engine was taken for its earlier self.
"""

from types import SimpleNamespace

import pytest

from marjoramspool.engine_state.incarnation_doubts import IncarnationDoubts

ENGINE = SimpleNamespace(key=("i-1", 1000))


@pytest.fixture
def clock():
    class Clock:
        now_s = 100.0

        def __call__(self):
            return self.now_s

    return Clock()


def test_an_engine_is_in_doubt_from_a_break_until_it_is_identified(clock):
    doubts = IncarnationDoubts(clock)
    assert not doubts.is_doubted(ENGINE)
    doubts.record_break(ENGINE)
    assert doubts.is_doubted(ENGINE)
    clock.now_s += 1.0
    doubts.record_identified(ENGINE, clock())
    assert not doubts.is_doubted(ENGINE)
    doubts.record_break(ENGINE)
    assert doubts.is_doubted(ENGINE)


def test_what_was_identified_before_a_break_stays_in_doubt(clock):
    """The report was asked for, and the engine ended before its answer was read."""
    doubts = IncarnationDoubts(clock)
    asked_at = clock()
    clock.now_s += 0.1
    doubts.record_break(ENGINE)
    doubts.record_identified(ENGINE, asked_at)
    assert doubts.is_doubted(ENGINE)


def test_a_new_incarnation_is_in_no_doubt(clock):
    doubts = IncarnationDoubts(clock)
    doubts.record_break(ENGINE)
    assert not doubts.is_doubted(SimpleNamespace(key=("i-1", 2000)))
    doubts.remove_engine(ENGINE.key)
    assert not doubts.is_doubted(ENGINE)
