"""Whose connections and memory are given up when a process is short of them, without sockets.

Each test replays a load under which ordinary clients were refused or cut for a crowd.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramspool.admission.client_budget import (
    LARGE_REQUEST_SHARE,
    SMALL_REQUEST_BYTES,
    BudgetLimits,
    ClientBudget,
)
from marjoramspool.admission.connection_expiry import Expiry, connection_expiry, record_unsent
from marjoramspool.admission.connection_records import Phase
from marjoramspool.metrics import Metrics

IDLE_TIMEOUT_S = 8.0
REQUEST_BYTES = 8 << 20
CONNECTIONS = 20
COST = 1_000
GROUP = "clients"


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def budget(clock):
    limits = BudgetLimits(REQUEST_BYTES, REQUEST_BYTES, CONNECTIONS)
    return ClientBudget(limits, Metrics(None), lambda: IDLE_TIMEOUT_S, clock)


def connect(budget, phase=Phase.OPENING, held=0):
    """Open a connection as a listener does; an eviction closes it at once."""
    record = budget.open(GROUP, COST, CONNECTIONS)
    if record is not None:
        record.evict = lambda: budget.close(record)
        record.enter(phase, budget.clock())
        assert budget.charge(record, held)
    return record


def is_open(budget, record):
    return record in budget.records[GROUP]


def test_a_newcomer_takes_the_place_of_the_connection_that_was_silent_longest(budget, clock):
    silent = []
    for _ in range(CONNECTIONS):
        silent.append(connect(budget))
        clock.now += 0.01
    assert connect(budget) is not None
    assert not is_open(budget, silent[0])
    assert is_open(budget, silent[-1])


def test_connections_that_clients_may_reuse_go_after_those_that_they_do_not(budget, clock):
    expired = connect(budget, Phase.IDLE)
    clock.now += 0.81 * IDLE_TIMEOUT_S
    kept = [connect(budget, Phase.IDLE) for _ in range(CONNECTIONS - 1)]
    assert connect(budget) is not None
    assert not is_open(budget, expired)
    assert sum(is_open(budget, record) for record in kept) >= CONNECTIONS - 9


def test_requests_that_may_have_run_are_never_given_up(budget, clock):
    served = [connect(budget, Phase.SERVED) for _ in range(CONNECTIONS)]
    clock.now += 1_000.0
    assert connect(budget) is None
    assert all(is_open(budget, record) for record in served)
    assert budget.metrics.counts["clients_refused.connections"] == 1


def test_an_answer_that_is_not_sent_yet_keeps_its_connection(budget, clock):
    records = [connect(budget, Phase.IDLE) for _ in range(CONNECTIONS)]
    for record in records:
        record.unsent_bytes = lambda: 1
    clock.now += 1_000.0
    assert connect(budget) is None


def test_a_stalled_body_makes_room_for_a_small_request(budget, clock):
    stalled = [connect(budget, Phase.BODY, 1 << 20) for _ in range(6)]
    clock.now += 2.0
    newcomer = connect(budget, Phase.HEAD)
    assert budget.charge(newcomer, 3 << 20)
    assert sum(is_open(budget, record) for record in stalled) <= 5
    assert budget.held_bytes <= REQUEST_BYTES


def test_a_body_that_goes_on_outlasts_one_that_drips(budget, clock):
    dripping = connect(budget, Phase.BODY, 3 << 20)
    clock.now += 5.0
    dripping.record_received(5, clock.now)
    ordinary = connect(budget, Phase.BODY, 2 << 20)
    clock.now += 0.6
    dripping.record_received(1, clock.now)
    ordinary.record_received(2 << 20, clock.now)
    newcomer = connect(budget, Phase.HEAD)
    assert budget.charge(newcomer, 3 << 20)
    assert not is_open(budget, dripping)
    assert is_open(budget, ordinary)


def test_large_requests_leave_room_for_small_ones(budget):
    """Guards against a crowd of bodies that has all memory before any of them can be judged."""
    crowd = [connect(budget, Phase.BODY) for _ in range(10)]
    while any([budget.charge(record, 16_384) for record in crowd]):
        pass
    assert budget.large_bytes <= LARGE_REQUEST_SHARE * REQUEST_BYTES
    newcomer = connect(budget, Phase.HEAD)
    assert budget.charge(newcomer, SMALL_REQUEST_BYTES - COST)


def test_what_cannot_make_enough_room_is_not_closed_for_nothing(budget, clock):
    connect(budget, Phase.SERVED, 5 << 20)
    stalled = connect(budget, Phase.BODY, 100_000)
    clock.now += 2.0
    newcomer = connect(budget, Phase.HEAD)
    assert not budget.charge(newcomer, 7 << 20)
    assert is_open(budget, stalled)


def test_an_evicted_connection_gets_no_more_room(budget, clock):
    record = connect(budget, Phase.BODY, 4 << 20)
    record.evict = lambda: None
    clock.now += 2.0
    assert budget.charge(connect(budget, Phase.HEAD), 5 << 20)
    assert not budget.charge(record, 1)


def test_a_page_answers_while_all_memory_is_taken(budget):
    """Guards against a router that leaves rotation since its readiness finds no memory."""
    crowd = [connect(budget, Phase.SERVED, SMALL_REQUEST_BYTES - COST) for _ in range(10)]
    while any([budget.charge(record, 16_384) for record in crowd]):
        pass
    budget.add(crowd[0], REQUEST_BYTES)
    page = budget.open("readiness", COST, CONNECTIONS, reserved_bytes=2 * COST)
    assert page is not None
    assert budget.charge(page, COST)
    assert not budget.charge(page, 1)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300_000)), max_size=60))
def test_all_that_was_charged_is_given_back(steps):
    limits = BudgetLimits(REQUEST_BYTES, REQUEST_BYTES, CONNECTIONS)
    budget = ClientBudget(limits, Metrics(None), lambda: IDLE_TIMEOUT_S, Clock())
    records = [budget.open(GROUP, COST, CONNECTIONS) for _ in range(6)]
    for index, size in steps:
        if size % 3:
            budget.charge(records[index], size)
        else:
            budget.release(records[index], min(size, records[index].held_bytes))
    assert budget.held_bytes == sum(record.held_bytes for record in records)
    for record in records:
        budget.close(record)
    assert (budget.held_bytes, budget.large_bytes, budget.connection_count()) == (0, 0, 0)


def test_an_idle_connection_outlasts_the_time_in_which_clients_reuse_it(budget, clock):
    record = connect(budget, Phase.IDLE)
    assert connection_expiry(record, clock.now + IDLE_TIMEOUT_S, IDLE_TIMEOUT_S) is None
    late = clock.now + 2 * IDLE_TIMEOUT_S
    assert connection_expiry(record, late, IDLE_TIMEOUT_S) is Expiry.IDLE


def test_an_answer_expires_once_nothing_of_it_is_read(budget, clock):
    record = connect(budget, Phase.SERVED)
    record_unsent(record, 500, clock.now)
    record_unsent(record, 400, clock.now + 7.0)
    assert connection_expiry(record, clock.now + 14.0, IDLE_TIMEOUT_S) is None
    assert connection_expiry(record, clock.now + 15.5, IDLE_TIMEOUT_S) is Expiry.UNREAD


def test_an_answer_that_drips_expires_after_its_deadline(budget, clock):
    record = connect(budget, Phase.SERVED)
    record.answer_deadline = clock.now + 3.0
    record_unsent(record, 500, clock.now + 10.0)
    assert connection_expiry(record, clock.now + 10.0, IDLE_TIMEOUT_S) is None
    record_unsent(record, 400, clock.now + 12.0)
    assert connection_expiry(record, clock.now + 12.0, IDLE_TIMEOUT_S) is Expiry.LATE
