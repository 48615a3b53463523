"""Loads beyond the capacity of a service, played without a network.

Guards against admission by order of arrival, slots left idle by admission, and routers that
oscillate because their reports are old.
"""

from statistics import mean

import pytest

from bench.contention_model import DEADLINE_S, SERVICE, ContentionModel, Engine
from marjoramspool.admission.account_admission import Account, AccountAdmission
from marjoramspool.admission.service_capacity import ServiceView
from marjoramspool.engine_state.engine_loads import Load

# By the requirements.
MIN_SERVED = 0.90
MIN_USED = 0.80
MAX_REFUSAL_S = 0.5
# Routers, with the period and the delay of their reports, in seconds.
FULL_MESHES = [(3, 0.03, 0.01), (8, 0.03, 0.01)]
RELAYED = [(66, 0.12, 0.18), (1300, 0.36, 0.55)]
QUEUE = 6


def start(routers, period_s, delay_s, queue=QUEUE, engines=4, **rates):
    added = [Engine(f"e{number}", queue=queue) for number in range(engines)]
    model = ContentionModel(routers, added, period_s, delay_s)
    for name, per_s in (rates or {"hot": 200.0, "a": 10.0, "b": 10.0}).items():
        model.ask(name, per_s)
    return model


def check(model, settling_s=3.0, duration_s=8.0, small=("a", "b")):
    used = model.measure(settling_s, duration_s)
    assert used >= MIN_USED
    assert min(model.served_part(name) for name in small) >= MIN_SERVED
    assert model.longest_refusal_s <= MAX_REFUSAL_S


@pytest.mark.parametrize("fleet", FULL_MESHES + RELAYED)
def test_hot_account(fleet):
    check(start(*fleet))


@pytest.mark.parametrize("fleet", FULL_MESHES + RELAYED)
def test_hot_account_at_engines_that_do_not_queue(fleet):
    check(start(*fleet, queue=0))


@pytest.mark.parametrize("fleet", FULL_MESHES + RELAYED[:1])
def test_burst_of_one_kind(fleet):
    model = start(*fleet, hot=40.0, a=10.0, b=10.0)
    model.run(3.0)
    model.ask("burst", 300.0)
    check(model, settling_s=1.5, duration_s=4.0, small=("a", "b", "hot"))


@pytest.mark.parametrize("fleet", FULL_MESHES + RELAYED[:1])
def test_half_of_the_engines_lost_at_once(fleet):
    model = start(*fleet, engines=8)
    model.run(3.0)
    for engine in model.engines[:4]:
        engine.is_lost = True
    check(model, settling_s=2.0)


@pytest.mark.parametrize("fleet", FULL_MESHES + RELAYED[:1])
def test_hot_account_burst_and_loss_together(fleet):
    model = start(*fleet, engines=8)
    model.run(3.0)
    for engine in model.engines[:4]:
        engine.is_lost = True
    model.ask("burst", 300.0)
    check(model, settling_s=2.0)


def test_urgent_account_is_served_before_a_hot_one():
    model = start(*FULL_MESHES[0], hot=200.0)
    model.ask("urgent", 80.0, priority=0)
    check(model, small=("urgent",))


def test_reports_a_second_old_do_not_make_the_load_oscillate():
    model = start(66, 0.36, 0.82)
    model.run(4.0)
    used = [model.measure(0.0, 1.0) for _ in range(8)]
    assert min(used) >= MIN_USED


def test_split_fleet():
    model = start(66, 0.12, 0.18)
    model.run(3.0)
    model.groups = 2
    check(model)


def test_service_without_pressure_refuses_nothing():
    model = start(*FULL_MESHES[0], hot=30.0, a=5.0)
    model.run(10.0)
    assert not sum(found["refused"] for found in model.results.values())
    assert not any(router.admission.contended() for router in model.routers)


def contended_admission(requests=12):
    """Return the admission of a router whose 12 slots have some requests, and its clock."""
    times = [0.0]
    admission = AccountAdmission(
        lambda _: ServiceView(12, requests, 3, 1.0, 0.02), clock=lambda: times[0]
    )
    for _ in range(20):
        admission.record_answer(SERVICE, 0.1, 3, 3)
    return admission, times


def test_refused_callers_come_back_spread_and_the_less_urgent_later():
    admission, times = contended_admission()
    delays = {1: [], 3: []}
    for number in range(1200):
        times[0] = number / 400
        for priority, found in delays.items():
            account = Account(SERVICE, "hot", priority)
            if refusal := admission.decide(account, f"r{priority}-{number}", DEADLINE_S):
                found.append(refusal.retry_after_s)
    assert len(set(delays[3])) > 50
    assert mean(delays[1]) < mean(delays[3])
    assert min(delays[1]) > 0.0
    assert max(delays[3]) <= DEADLINE_S / 3


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    admission, _ = contended_admission()
    account = Account(SERVICE, "small", 1)
    assert admission.decide(account, "r1", DEADLINE_S) is None
    assert admission.decide(account, "r2", 0.02).is_too_late


def test_malformed_sums_of_other_routers_are_ignored():
    admission, times = contended_admission()
    account = Account(SERVICE, "small", 1)
    wrong = Load(sent_milli=-(10**9), wanted_milli=-(10**9))
    keys = (account.id, *(key for key, _ in admission.own_loads()))
    admission.reported.replace_report("wrong", dict.fromkeys(keys, wrong))
    times[0] = 1.0
    assert admission.decide(account, "r1", DEADLINE_S) is None
    assert admission.state(SERVICE).capacity.mean_time_s > 0.0


def test_contention_ends_some_seconds_after_the_demand():
    model = start(*FULL_MESHES[0])
    model.run(4.0)
    assert all(router.admission.contended() for router in model.routers)
    model.ask("hot", 5.0)
    model.run(6.0)
    assert not any(router.admission.contended() for router in model.routers)
