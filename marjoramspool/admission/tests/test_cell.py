"""Admission to a cell: load bound, urgent reserve, fair shares and refusals."""

import asyncio
import math
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramspool.admission.admission_messages import (
    AdmissionRequest,
    EngineView,
    Granted,
    Refused,
)
from marjoramspool.admission.cell import Cell
from marjoramspool.placement.bounded_placement import MIN_LOAD_CAP, BoundedLoad, HashOnly, Holder

BOUND = 1.25


async def run_ready_tasks():
    """Run all tasks until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_cell(engines=4, slots=10, reserve=0.2, policy=None):
    views = [EngineView(f"engine-{n}", 1, slots) for n in range(engines)]
    clock = Clock()
    return Cell(policy or BoundedLoad(BOUND), reserve, lambda: views, clock), views, clock


def make_request(
    chat=1, account="crews", urgency=3, queue_wait_s=1.0, weight=1, holders=(), **options
):
    return AdmissionRequest(
        "grip-model/0", chat, holders, account, weight, urgency, (), queue_wait_s, **options
    )


operations = st.lists(
    st.one_of(
        st.tuples(st.just("admit"), st.integers(0, 50), st.sampled_from("abc")),
        st.tuples(st.just("release"), st.integers(0, 200), st.just("")),
        st.tuples(st.just("drop"), st.sampled_from(["r1", "r2"]), st.just("")),
    ),
    max_size=200,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(operations)
def test_loads_match_grants_and_no_grant_exceeds_the_bound(steps):
    cell, views, clock = make_cell()
    grants = []
    for kind, number, account in steps:
        clock.now += 0.05
        if kind == "admit":
            session = f"r{1 + number % 2}"
            granted = cell.grant_now(make_request(number, account), session)
            if granted:
                grants.append((session, granted.engine, account))
                mean = sum(cell.loads.values()) / len(views)
                assert cell.loads[granted.engine] <= max(MIN_LOAD_CAP, math.ceil(BOUND * mean))
                assert cell.loads[granted.engine] <= 8
        elif kind == "release" and grants:
            cell.release(*grants.pop(number % len(grants)))
        elif kind == "drop":
            cell.remove_session(number)
            grants = [entry for entry in grants if entry[0] != number]
        assert cell.loads == Counter(engine for _, engine, _ in grants)
        assert cell.account_loads == Counter(account for _, _, account in grants)


def test_plain_hashing_exceeds_the_bound():
    cell, views, _ = make_cell(policy=HashOnly())
    worst = 0.0
    for chat in range(24):
        granted = cell.grant_now(make_request(chat), "r1")
        mean = sum(cell.loads.values()) / len(views)
        worst = max(worst, cell.loads[granted.engine] - math.ceil(BOUND * mean))
    assert worst > 0, "placement by hash alone would fail the property above"


def test_a_chat_goes_to_its_holder_unless_the_holder_restarted():
    cell, _, _ = make_cell()
    holder = (Holder("engine-2", 1),)
    assert cell.grant_now(make_request(holders=holder), "r1").engine == "engine-2"
    restarted = (Holder("engine-2", 9),)
    assert cell.grant_now(make_request(chat=5, holders=restarted), "r1").why == "least-loaded"
    assert cell.grant_now(make_request(chat=5), "r1").why == "hash"


async def test_a_returning_chat_waits_for_its_holder():
    cell, _, _ = make_cell(engines=4, slots=10)
    holder = (Holder("engine-2", 1),)
    first = [cell.grant_now(make_request(n, holders=holder), "r1") for n in range(5)]
    assert [granted.why for granted in first] == ["holder"] * 4 + ["least-loaded"]
    request = make_request(3, holders=holder, holder_wait_s=5.0, queue_wait_s=5.0)
    task = asyncio.create_task(cell.admit(request, "r1"))
    await run_ready_tasks()
    assert not task.done()
    assert isinstance(cell.admit_now(make_request(4), "r1"), Granted), (
        "a request that waits for its holder delays no other"
    )
    cell.release("r1", "engine-2", "crews")
    await run_ready_tasks()
    assert (task.result().engine, task.result().why) == ("engine-2", "holder")


async def test_another_engine_is_granted_after_the_holder_wait():
    cell, _, _ = make_cell(engines=4, slots=10)
    holder = (Holder("engine-2", 1),)
    for number in range(4):
        cell.grant_now(make_request(number, holders=holder), "r1")
    request = make_request(3, holders=holder, holder_wait_s=0.02, queue_wait_s=5.0)
    granted = await cell.admit(request, "r1")
    assert granted.why == "least-loaded"


async def fill(cell, account="long", count=100):
    """Admit less urgent requests until no engine has room for more."""
    granted = []
    for number in range(count):
        admission = cell.grant_now(make_request(number, account, urgency=6), "r1")
        if admission is None:
            break
        granted.append(admission.engine)
    return granted


async def test_urgent_requests_use_the_reserve_at_full_load():
    cell, _, _ = make_cell()
    await fill(cell)
    assert cell.grant_now(make_request(1, urgency=6), "r1") is None
    for number in range(8):
        assert isinstance(cell.admit_now(make_request(number, urgency=0), "r1"), Granted)


async def test_a_waiting_urgent_request_is_admitted_before_earlier_less_urgent_ones():
    cell, _, _ = make_cell(engines=1, slots=2, reserve=0.0)
    engines = await fill(cell)
    order = []

    async def wait(name, urgency):
        await cell.wait(make_request(1, name, urgency), "r1")
        order.append(name)

    tasks = [asyncio.create_task(wait("long", 6)), asyncio.create_task(wait("urgent", 0))]
    await run_ready_tasks()
    for engine in engines:
        cell.release("r1", engine, "long")
        await run_ready_tasks()
    await asyncio.gather(*tasks)
    assert order == ["urgent", "long"]


async def test_a_surging_account_is_refused_and_others_get_the_next_slots():
    cell, _, _ = make_cell(engines=2, slots=5, reserve=0.0)
    engines = await fill(cell, "surge")
    surge = [
        asyncio.create_task(cell.admit(make_request(n, "surge", urgency=6, queue_wait_s=5), "r1"))
        for n in range(200)
    ]
    await run_ready_tasks()
    refused = [task for task in surge if task.done()]
    assert len(refused) >= 190
    assert all(isinstance(task.result(), Refused) for task in refused)
    assert all(task.result().retry_after_s >= 1.0 for task in refused)
    others = [
        asyncio.create_task(cell.admit(make_request(n, name, urgency=6, queue_wait_s=5), "r2"))
        for n, name in enumerate(["small", "tiny", "other"])
    ]
    await run_ready_tasks()
    assert not any(task.done() for task in others), "requests of other accounts are not refused"
    for engine in engines[:3]:
        cell.release("r1", engine, "surge")
    await run_ready_tasks()
    assert all(isinstance(task.result(), Granted) for task in others)
    for task in surge:
        task.cancel()


async def test_a_queue_is_served_when_a_rate_limit_has_room_again():
    """The last attempts ended while the limit had none, so that nothing else wakes the queue."""
    cell, views, clock = make_cell(engines=1, slots=4, reserve=0.0)
    engines = await fill(cell)
    waiting = asyncio.create_task(cell.admit(make_request(9, queue_wait_s=5), "r1"))
    await run_ready_tasks()
    views[0] = replace(views[0], room=0.0)
    for engine in engines:
        cell.release("r1", engine, "long")
    await run_ready_tasks()
    assert not waiting.done()
    assert not cell.loads
    views[0] = replace(views[0], room=math.inf)
    clock.now += 1.0
    async with asyncio.timeout(1.0):
        assert isinstance(await waiting, Granted)
    assert isinstance(cell.admit_now(make_request(10), "r1"), Granted)


async def test_an_account_alone_may_fill_the_queue():
    cell, _, _ = make_cell(engines=2, slots=5, reserve=0.0)
    await fill(cell)
    waiting = [
        asyncio.create_task(cell.admit(make_request(n, urgency=6, queue_wait_s=5), "r1"))
        for n in range(11)
    ]
    await run_ready_tasks()
    assert [task.done() for task in waiting] == [False] * 10 + [True]
    for task in waiting:
        task.cancel()


async def test_a_full_queue_evicts_for_an_account_below_its_share():
    cell, _, _ = make_cell(engines=1, slots=4, reserve=0.0)
    await fill(cell)
    waiting = [
        asyncio.create_task(cell.admit(make_request(n, name, urgency=6, queue_wait_s=5), "r1"))
        for name in ("a", "b")
        for n in range(4)
    ]
    await run_ready_tasks()
    late = asyncio.create_task(cell.admit(make_request(9, "c", urgency=6, queue_wait_s=5), "r1"))
    await run_ready_tasks()
    assert not late.done()
    assert len(cell.waiting) <= 4
    for task in [*waiting, late]:
        task.cancel()


async def test_slots_are_shared_by_weight():
    cell, _, _ = make_cell(engines=2, slots=10, reserve=0.0)
    engines = await fill(cell)
    tasks = []
    for number in range(12):
        for name, weight in (("big", 3), ("small", 1)):
            request = make_request(number, name, urgency=6, queue_wait_s=5, weight=weight)
            tasks.append(asyncio.create_task(cell.wait(request, "r1")))
    await run_ready_tasks()
    for engine in engines[:12]:
        cell.release("r1", engine, "long")
    await run_ready_tasks()
    assert (cell.account_loads["big"], cell.account_loads["small"]) == (9, 3)
    for task in tasks:
        task.cancel()


async def test_a_request_that_would_wait_too_long_is_refused_immediately():
    cell, _, _ = make_cell(engines=1, slots=2, reserve=0.0)
    cell.service_time_s = 10.0
    await fill(cell)
    admission = cell.admit_now(make_request(queue_wait_s=1.0, urgency=6), "r1")
    assert isinstance(admission, Refused)
    assert admission.retry_after_s >= 5.0


async def test_a_cancelled_request_leaves_no_load_or_queue_entry():
    cell, _, _ = make_cell(engines=1, slots=1, reserve=0.0)
    cell.grant_now(make_request(), "r1")
    task = asyncio.create_task(cell.wait(make_request(account="gone"), "r1"))
    await run_ready_tasks()
    task.cancel()
    cell.release("r1", "engine-0", "crews")
    await asyncio.gather(task, return_exceptions=True)
    assert not cell.loads and not cell.waiting


async def test_the_load_of_a_dead_router_is_removed():
    cell, _, _ = make_cell(engines=1, slots=2, reserve=0.0)
    for _ in range(2):
        cell.grant_now(make_request(), "dead")
    task = asyncio.create_task(cell.wait(make_request(), "alive"))
    await run_ready_tasks()
    cell.remove_session("dead")
    await run_ready_tasks()
    assert isinstance(task.result(), Granted)
    assert sum(cell.loads.values()) == 1


async def test_the_holder_wait_counts_towards_the_queue_wait():
    cell, _, _ = make_cell(engines=1, slots=4, reserve=0.0)
    for number in range(4):
        cell.grant_now(make_request(number, urgency=6), "r1")
    waits = []
    real = asyncio.wait

    async def recorded(futures, timeout):
        waits.append(timeout)
        return await real(futures, timeout=0)

    holder = (Holder("engine-0", 1),)
    request = make_request(9, holders=holder, urgency=6, holder_wait_s=0.4, queue_wait_s=1.0)
    asyncio.wait = recorded
    try:
        assert isinstance(await cell.admit(request, "r1"), Refused)
    finally:
        asyncio.wait = real
    assert sum(waits) <= request.queue_wait_s


def test_a_lost_release_does_not_distort_the_service_time():
    cell, _, clock = make_cell(engines=1)
    granted = cell.grant_now(make_request(), "r1")
    cell.replace_grants("r1", {})
    clock.now += 3600.0
    cell.grant_now(make_request(), "r1")
    before = cell.service_time_s
    cell.release("r1", granted.engine, "crews")
    assert cell.service_time_s <= before
