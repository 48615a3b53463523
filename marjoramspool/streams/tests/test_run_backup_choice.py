"""Which streams get a copy of their memory, and at which engine.

Guards against copies that take the bandwidth or memory of requests, against copies of what is
cheap to lose while dear streams have none, and against copies that end with their engine.
"""

import pytest

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.routes import EngineCapacity
from marjoramspool.streams.run_backups import (
    FIRST_LISTING_S,
    LINK_SHARE,
    MAX_COPIES,
    Destination,
    RunBackups,
    RunEstimate,
)

CAPACITY = EngineCapacity(16, 100_000, has_backups=True, kv_token_bytes=1000.0, link_mbps=1000.0)


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def engine(number, domain="a"):
    return Engine(f"e{number}", "s", f"127.0.0.1:{number}", domain, 16, False, 1, "v1")


def run(number=0, tokens=(500, 500), duration_s=10.0, priority=1):
    return RunEstimate(f"r{number}", *tokens, duration_s, priority)


def select(backups, wanted, engines, capacity=CAPACITY, requests=0, at=0, **options):
    destinations = [Destination(e, requests) for e in engines if e is not engines[at]]
    count = len(engines)
    copy = backups.select(wanted, engines[at], capacity, destinations, count, **options)
    if copy:
        backups.begin(copy)
    return copy


def new_backups(routers=1):
    clock = Clock()
    return RunBackups(lambda: routers, clock), clock


def test_engines_of_one_failure_domain_lost():
    """Copies are in the other domains; what serves after the loss gets copies of its own."""
    backups, _ = new_backups()
    engines = [engine(n, "abc"[n % 3]) for n in range(9)]
    for number in range(30):
        at = number % 9
        copy = select(backups, run(number), engines, at=at)
        assert copy.engine.failure_domain != engines[at].failure_domain
    for lost in engines[::3]:
        backups.record_end(lost)
    # They are still listed.
    copies = [select(backups, run(n), engines, at=1) for n in range(30, 50)]
    assert {copy.engine.failure_domain for copy in copies} == {"c"}


def test_without_another_failure_domain_the_copy_is_in_the_same():
    backups, _ = new_backups()
    assert select(backups, run(), [engine(0), engine(1)]).engine == engine(1)


def test_many_long_streams_and_little_bandwidth():
    """The bound holds, and the most urgent still get copies when the least urgent get none."""
    backups, _ = new_backups(routers=2)
    engines = [engine(n, "ab"[n % 2]) for n in range(4)]
    slow = EngineCapacity(16, 1e9, has_backups=True, kv_token_bytes=50_000.0, link_mbps=400.0)
    copied = {priority: 0 for priority in (0, 9)}
    for number in range(200):
        priority = 0 if number % 2 else 9
        wanted = run(number, priority=priority)
        copied[priority] += select(backups, wanted, engines, slow) is not None
    used = sum(copy.bytes_per_s for copy in backups.copies)
    assert used <= LINK_SHARE * slow.link_bytes_per_s * 4 / 2
    assert copied[0] > copied[9]


def test_many_streams_are_bounded_by_number():
    backups, _ = new_backups()
    engines = [engine(n) for n in range(40)]
    copies = [select(backups, run(n, priority=0), engines) for n in range(300)]
    assert 0 < sum(copy is not None for copy in copies) <= MAX_COPIES


@pytest.mark.parametrize("requests, tokens", [(16, (500, 500)), (0, (60_000, 500))])
def test_nothing_fits(requests, tokens):
    """All engines are full, or the memory of the run is too large."""
    backups, _ = new_backups()
    assert select(backups, run(tokens=tokens), [engine(0), engine(1)], requests=requests) is None


def test_one_engine_has_nowhere_to_copy_to():
    backups, _ = new_backups()
    assert select(backups, run(), [engine(0)]) is None


@pytest.mark.parametrize(
    "capacity",
    [
        EngineCapacity(16, 100_000),
        EngineCapacity(16, 100_000, has_backups=True),
        EngineCapacity(16, 100_000, has_backups=True, kv_token_bytes=-1.0, link_mbps=1.0),
        EngineCapacity(16, 100_000, kv_token_bytes=1000.0, link_mbps=1000.0),
    ],
)
def test_engines_that_copy_nothing_or_at_an_unknown_cost(capacity):
    backups, _ = new_backups()
    assert select(backups, run(), [engine(0), engine(1)], capacity) is None


def test_ended_new_and_draining_engines_make_copies_more_likely():
    backups, clock = new_backups()
    steady = backups.end_rate_per_s(engine(0), 4, False)
    # What is listed at the start of a router was there before.
    backups.record_listed(engine(0))
    assert backups.end_rate_per_s(engine(0), 4, False) == steady
    clock.now_s += 2 * FIRST_LISTING_S
    backups.record_listed(engine(0))
    assert backups.end_rate_per_s(engine(0), 4, False) > steady
    clock.now_s += 30.0
    assert backups.end_rate_per_s(engine(0), 4, False) == steady
    backups.record_end(engine(1))
    backups.record_end(engine(1))
    after_end = backups.end_rate_per_s(engine(0), 4, False)
    assert steady < after_end < backups.end_rate_per_s(engine(0), 4, True)
    clock.now_s += 61.0
    assert backups.end_rate_per_s(engine(0), 4, False) == steady


def test_copies_spread_over_equally_loaded_engines():
    backups, _ = new_backups()
    engines = [engine(n, "ab"[n % 2]) for n in range(8)]
    copies = [select(backups, run(n), engines) for n in range(40)]
    assert len({copy.engine.id for copy in copies if copy}) == 4


def test_an_id_that_is_used_again_gets_no_copy_while_memory_may_be_kept_under_it():
    backups, clock = new_backups()
    engines = [engine(0), engine(1)]
    copy = select(backups, run(1), engines)
    assert select(backups, run(1), engines) is None
    backups.end(copy, 5.0)
    assert select(backups, run(1), engines) is None
    assert select(backups, run(1), engines, is_continued=True)
    clock.now_s += 6.0
    backups.copies.clear()
    assert select(backups, run(1), engines)
