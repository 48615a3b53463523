"""Admission: load bound, headroom for urgent work, fair shares and refusals."""

import asyncio
import math
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramspool.admission_messages import Ask, EngineView, Granted, Refused
from marjoramspool.bounded_placement import LEAST_CAP, Bounded, HashOnly, Holder
from marjoramspool.cell import Cell

BOUND = 1.25


async def settle():
    """Let every task run as far as it can."""
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
    return Cell(policy or Bounded(BOUND), reserve, lambda: views, clock), views, clock


def make_ask(chat=1, account="crews", urgency=3, wait_s=1.0, weight=1, holders=(), **options):
    return Ask("grip-model/0", chat, holders, account, weight, urgency, (), wait_s, **options)


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
def test_counts_hold_and_no_admission_passes_the_bound(steps):
    cell, views, clock = make_cell()
    held = []
    for kind, number, account in steps:
        clock.now += 0.05
        if kind == "admit":
            session = f"r{1 + number % 2}"
            granted = cell.place(make_ask(number, account), session)
            if granted:
                held.append((session, granted.engine, account))
                mean = sum(cell.loads.values()) / len(views)
                assert cell.loads[granted.engine] <= max(LEAST_CAP, math.ceil(BOUND * mean))
                assert cell.loads[granted.engine] <= 8
        elif kind == "release" and held:
            cell.release(*held.pop(number % len(held)))
        elif kind == "drop":
            cell.drop(number)
            held = [entry for entry in held if entry[0] != number]
        assert cell.loads == Counter(engine for _, engine, _ in held)
        assert cell.accounts == Counter(account for _, _, account in held)


def test_plain_hashing_passes_the_bound():
    cell, views, _ = make_cell(policy=HashOnly())
    worst = 0.0
    for chat in range(24):
        granted = cell.place(make_ask(chat), "r1")
        mean = sum(cell.loads.values()) / len(views)
        worst = max(worst, cell.loads[granted.engine] - math.ceil(BOUND * mean))
    assert worst > 0, "the property above would catch the naive variant"


def test_a_chat_stays_with_its_holder_and_goes_back_to_it():
    cell, _, _ = make_cell()
    holder = (Holder("engine-2", 1),)
    assert cell.place(make_ask(holders=holder), "r1").engine == "engine-2"
    restarted = (Holder("engine-2", 9),)
    assert cell.place(make_ask(chat=5, holders=restarted), "r1").why == "least-loaded"
    assert cell.place(make_ask(chat=5), "r1").why == "hash"


async def test_a_returning_chat_waits_a_moment_for_its_holder():
    cell, _, _ = make_cell(engines=4, slots=10)
    holder = (Holder("engine-2", 1),)
    first = [cell.place(make_ask(n, holders=holder), "r1") for n in range(5)]
    assert [granted.why for granted in first] == ["holder"] * 4 + ["least-loaded"]
    patient = make_ask(3, holders=holder, patience_s=5.0, wait_s=5.0)
    task = asyncio.create_task(cell.admit(patient, "r1"))
    await settle()
    assert not task.done()
    assert isinstance(cell.admit_now(make_ask(4), "r1"), Granted), "it holds up nobody"
    cell.release("r1", "engine-2", "crews")
    await settle()
    assert (task.result().engine, task.result().why) == ("engine-2", "holder")


async def test_patience_ends_with_another_engine():
    cell, _, _ = make_cell(engines=4, slots=10)
    holder = (Holder("engine-2", 1),)
    for number in range(4):
        cell.place(make_ask(number, holders=holder), "r1")
    patient = make_ask(3, holders=holder, patience_s=0.02, wait_s=5.0)
    granted = await cell.admit(patient, "r1")
    assert granted.why == "least-loaded"


async def fill(cell, account="long", count=100):
    """Fill a cell with long digests until no more are admitted at once."""
    granted = []
    for number in range(count):
        admission = cell.place(make_ask(number, account, urgency=6), "r1")
        if admission is None:
            break
        granted.append(admission.engine)
    return granted


async def test_urgent_lookups_pass_long_digests_at_full_load():
    cell, _, _ = make_cell()
    await fill(cell)
    assert cell.place(make_ask(1, urgency=6), "r1") is None
    for number in range(8):
        assert isinstance(cell.admit_now(make_ask(number, urgency=0), "r1"), Granted)


async def test_a_waiting_urgent_ask_goes_before_earlier_long_ones():
    cell, _, _ = make_cell(engines=1, slots=2, reserve=0.0)
    engines = await fill(cell)
    order = []

    async def wait(name, urgency):
        await cell.wait(make_ask(1, name, urgency), "r1")
        order.append(name)

    tasks = [asyncio.create_task(wait("long", 6)), asyncio.create_task(wait("urgent", 0))]
    await settle()
    for engine in engines:
        cell.release("r1", engine, "long")
        await settle()
    await asyncio.gather(*tasks)
    assert order == ["urgent", "long"]


async def test_a_surging_account_is_refused_first_and_delays_others_by_one_turn():
    cell, _, _ = make_cell(engines=2, slots=5, reserve=0.0)
    engines = await fill(cell, "surge")
    surge = [
        asyncio.create_task(cell.admit(make_ask(n, "surge", urgency=6, wait_s=5), "r1"))
        for n in range(200)
    ]
    await settle()
    refused = [task for task in surge if task.done()]
    assert len(refused) >= 190
    assert all(isinstance(task.result(), Refused) for task in refused)
    assert all(task.result().retry_after_s >= 1.0 for task in refused)
    others = [
        asyncio.create_task(cell.admit(make_ask(n, name, urgency=6, wait_s=5), "r2"))
        for n, name in enumerate(["small", "tiny", "other"])
    ]
    await settle()
    assert not any(task.done() for task in others), "nobody else is refused"
    for engine in engines[:3]:
        cell.release("r1", engine, "surge")
    await settle()
    assert all(isinstance(task.result(), Granted) for task in others)
    for task in surge:
        task.cancel()


async def test_a_full_queue_makes_room_for_an_account_below_its_share():
    cell, _, _ = make_cell(engines=1, slots=4, reserve=0.0)
    await fill(cell)
    waiting = [
        asyncio.create_task(cell.admit(make_ask(n, name, urgency=6, wait_s=5), "r1"))
        for name in ("a", "b")
        for n in range(4)
    ]
    await settle()
    late = asyncio.create_task(cell.admit(make_ask(9, "c", urgency=6, wait_s=5), "r1"))
    await settle()
    assert not late.done()
    assert len(cell.waiting) <= 4
    for task in [*waiting, late]:
        task.cancel()


async def test_weights_share_the_slots():
    cell, _, _ = make_cell(engines=2, slots=10, reserve=0.0)
    engines = await fill(cell)
    tasks = []
    for number in range(12):
        for name, weight in (("big", 3), ("small", 1)):
            ask = make_ask(number, name, urgency=6, wait_s=5, weight=weight)
            tasks.append(asyncio.create_task(cell.wait(ask, "r1")))
    await settle()
    for engine in engines[:12]:
        cell.release("r1", engine, "long")
    await settle()
    assert (cell.accounts["big"], cell.accounts["small"]) == (9, 3)
    for task in tasks:
        task.cancel()


async def test_an_ask_that_cannot_be_met_in_time_is_refused_at_once():
    cell, _, _ = make_cell(engines=1, slots=2, reserve=0.0)
    cell.service_time_s = 10.0
    await fill(cell)
    admission = cell.admit_now(make_ask(wait_s=1.0, urgency=6), "r1")
    assert isinstance(admission, Refused)
    assert admission.retry_after_s >= 5.0


async def test_a_cancelled_ask_leaves_nothing_behind():
    cell, _, _ = make_cell(engines=1, slots=1, reserve=0.0)
    cell.place(make_ask(), "r1")
    task = asyncio.create_task(cell.wait(make_ask(account="gone"), "r1"))
    await settle()
    task.cancel()
    cell.release("r1", "engine-0", "crews")
    await asyncio.gather(task, return_exceptions=True)
    assert not cell.loads and not cell.waiting


async def test_a_router_that_dies_takes_its_load_and_its_queue_with_it():
    cell, _, _ = make_cell(engines=1, slots=2, reserve=0.0)
    for _ in range(2):
        cell.place(make_ask(), "dead")
    task = asyncio.create_task(cell.wait(make_ask(), "alive"))
    await settle()
    cell.drop("dead")
    await settle()
    assert isinstance(task.result(), Granted)
    assert sum(cell.loads.values()) == 1


async def test_patience_is_a_part_of_the_time_in_the_queue():
    cell, _, _ = make_cell(engines=1, slots=4, reserve=0.0)
    for number in range(4):
        cell.place(make_ask(number, urgency=6), "r1")
    waits = []
    real = asyncio.wait

    async def recorded(futures, timeout):
        waits.append(timeout)
        return await real(futures, timeout=0)

    holder = (Holder("engine-0", 1),)
    ask = make_ask(9, holders=holder, urgency=6, patience_s=0.4, wait_s=1.0)
    asyncio.wait = recorded
    try:
        assert isinstance(await cell.admit(ask, "r1"), Refused)
    finally:
        asyncio.wait = real
    assert sum(waits) <= ask.wait_s


def test_a_lost_release_does_not_spoil_the_estimate_of_the_wait():
    cell, _, clock = make_cell(engines=1)
    granted = cell.place(make_ask(), "r1")
    cell.replace("r1", {})
    clock.now += 3600.0
    cell.place(make_ask(), "r1")
    before = cell.service_time_s
    cell.release("r1", granted.engine, "crews")
    assert cell.service_time_s <= before
