"""Which streams are moved off an engine that leaves.

Guards against moves of streams that end in time, and of more or larger ones than callers can wait
for.
"""

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.routes import EngineCapacity
from marjoramspool.streams.run_backups import Destination, RunEstimate, select_destination
from marjoramspool.streams.run_moves import (
    DEFAULT_DRAIN_PERIOD_S,
    MAX_MOVES,
    MoveSchedule,
    transfer_time_s,
)

CAPACITY = EngineCapacity(16, 100_000, has_moves=True, kv_token_bytes=50_000.0, link_mbps=400.0)


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


def engine(number, domain="a", is_draining=True):
    return Engine(f"e{number}", "s", f"127.0.0.1:{number}", domain, 16, is_draining, 1, "v1")


def test_one_engine_drains_under_short_and_long_streams():
    """The longer it has drained, the shorter the streams that it will not finish."""
    clock = Clock()
    moves = MoveSchedule(clock)
    assert moves.is_due(engine(1), DEFAULT_DRAIN_PERIOD_S + 1.0)
    assert not moves.is_due(engine(1), 3.0)
    clock.now_s += 6.0
    assert moves.is_due(engine(1), 3.0)
    assert not moves.is_due(engine(1), 1.0)


def test_a_rolling_replacement_with_short_drain_periods():
    """The period that one engine took is expected of the next."""
    clock = Clock()
    moves = MoveSchedule(clock)
    moves.drain_left_s(engine(1))
    clock.now_s += 2.0
    moves.record_removed(engine(1))
    assert moves.drain_left_s(engine(2)) == 2.0


def test_an_evacuation_that_ends_says_nothing_of_drain_periods():
    clock = Clock()
    moves = MoveSchedule(clock)
    moves.drain_left_s(engine(1, is_draining=False))
    clock.now_s += 100.0
    moves.record_removed(engine(1, is_draining=False))
    moves.drain_left_s(engine(2))
    clock.now_s += 100.0
    moves.record_staying(engine(2))
    assert moves.drain_left_s(engine(2)) == DEFAULT_DRAIN_PERIOD_S


def test_many_long_streams_at_once():
    moves = MoveSchedule(Clock())
    moves.active = MAX_MOVES
    assert not moves.is_due(engine(1), 1000.0)


def test_long_streams_and_little_bandwidth():
    """A caller does not wait longer than for any event; the other domain takes twice as long."""
    moves = MoveSchedule(Clock())
    near = transfer_time_s(1000, CAPACITY, engine(1), engine(2))
    assert near == 1.0
    assert transfer_time_s(1000, CAPACITY, engine(1), engine(2, "b")) == 2 * near
    assert moves.is_fast_enough(near, 2.0)
    assert not moves.is_fast_enough(2 * near, 2.0)


def test_a_move_stays_in_the_failure_domain_unless_nothing_fits_there():
    run = RunEstimate("r", 1000, 1000, 10.0, 1)
    near, far = Destination(engine(2), 8), Destination(engine(3, "b"), 0)
    full = Destination(engine(2), 16)

    def chosen(*destinations):
        return select_destination(
            run, engine(1), CAPACITY, destinations, {}, prefers_same_domain=True
        )

    assert chosen(near, far) is near.engine
    assert chosen(full, far) is far.engine
    assert chosen(full) is None
