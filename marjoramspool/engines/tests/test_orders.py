"""Tests of leases and engine orders.

A lease holder that is paused past the expiry of its lease may send an order late. Engines that
check fencing numbers refuse it; at other engines the next reconciliation corrects its effect.
"""

import asyncio
import time

import pytest

from bench.local import wait_until
from marjoramspool.admission.token_bucket import TokenBucket
from marjoramspool.engines.orders import Order
from marjoramspool.lease import Lease
from marjoramspool.storage import Platform


@pytest.fixture(autouse=True)
def short_timings(monkeypatch):
    monkeypatch.setattr("marjoramspool.engines.orders.LEASE_DURATION_S", 1.2)
    monkeypatch.setattr("marjoramspool.engines.orders.RECONCILE_PERIOD_S", 0.1)
    monkeypatch.setattr("marjoramspool.engines.orders.ORDER_TIMEOUT_S", 0.3)


async def start_fleet(fleet, routers=3, engines=2, **options):
    await fleet.add_engines(engines, **options)
    await fleet.add_routers(routers)
    await fleet.apply_model(model="llm-1")
    await fleet.wait_for_peers()


def all_have(fleet, model):
    return lambda: all(engine.model == model for engine in fleet.engines)


def lease_holders(fleet):
    return [router for router in fleet.routers if router.orders.held_fencing_numbers()]


async def test_single_router_orders_model_of_document(fleet):
    await start_fleet(fleet)
    await wait_until(all_have(fleet, "llm-1"), "engines have the model")
    assert len(lease_holders(fleet)) == 1
    await fleet.apply_model(model="llm-2")
    await wait_until(all_have(fleet, "llm-2"), "engines have the new model")
    assert all(len(engine.orders) <= 3 for engine in fleet.engines)


async def test_another_router_takes_over_from_stopped_lease_holder(fleet):
    await start_fleet(fleet)
    await wait_until(lambda: len(lease_holders(fleet)) == 1, "one router holds the lease")
    holder = lease_holders(fleet)[0]
    fencing = holder.orders.held_fencing_numbers()["grip-model"]
    await fleet.remove_router(fleet.routers.index(holder))
    await fleet.apply_model(model="llm-3")
    await wait_until(all_have(fleet, "llm-3"), "the next lease holder ordered the model")
    assert lease_holders(fleet)[0].orders.held_fencing_numbers()["grip-model"] > fencing


async def test_late_order_with_old_fencing_number_is_refused(fleet):
    await start_fleet(fleet)
    await wait_until(all_have(fleet, "llm-1"), "engines have the model")
    target = fleet.routers[0].configuration.document("grip-model").targets["engine-0"]
    await fleet.routers[0].orders.send(Order("stale", 1), target)
    assert fleet.engines[0].model == "llm-1"


async def test_late_order_is_corrected_at_engine_without_fencing_check(fleet):
    await start_fleet(fleet, checks_fencing=False)
    await wait_until(all_have(fleet, "llm-1"), "engines have the model")
    target = fleet.routers[0].configuration.document("grip-model").targets["engine-0"]
    await fleet.routers[0].orders.send(Order("stale", 1), target)
    await wait_until(all_have(fleet, "llm-1"), "the effect of the late order was corrected")
    assert "stale" in [order["model"] for order in fleet.engines[0].orders]


async def test_no_order_is_sent_after_lease_expiry(fleet):
    await start_fleet(fleet, routers=1)
    await wait_until(all_have(fleet, "llm-1"), "engines have the model")
    router = fleet.routers[0]
    lease = router.orders.lease("grip-model")
    lease.expires_at = lease.clock() - 1.0
    count = len(fleet.engines[0].orders)
    document = router.configuration.document("grip-model")
    fleet.engines[0].model = "other"
    await router.orders.reconcile_target(lease, document.targets["engine-0"])
    assert len(fleet.engines[0].orders) == count


async def test_model_loads_respect_rate_limit(fleet):
    await start_fleet(fleet, routers=2, engines=3)
    for router in fleet.routers:
        router.orders.load_limiter = TokenBucket(1.0, 1.0)
    await wait_until(all_have(fleet, "llm-1"), "all engines have the model")
    assert sum(len(engine.orders) for engine in fleet.engines) == 3


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


async def make_lease_pair(fleet, platform):
    clocks = Clock(), Clock()
    leases = [
        Lease("orders-x", name, 10.0, platform, clock)
        for name, clock in zip(("one", "two"), clocks, strict=True)
    ]
    return leases, clocks


async def test_lease_is_lost_while_the_host_is_suspended(fleet, monkeypatch):
    """The clock of timers stands still while a host is suspended; other routers' clocks run on."""
    async with Platform(f"127.0.0.1:{fleet.platform_port}", 0.5, 100.0) as platform:
        lease = Lease("orders", "first", 5.0, platform)
        assert await lease.acquire_or_renew()
        real = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda clock: real(clock) + 6.0)
        assert not lease.is_held()


async def test_lease_is_taken_over_only_after_unchanged_duration(fleet):
    async with Platform(f"127.0.0.1:{fleet.platform_port}", 1.0, 1000) as platform:
        (one, two), (_, clock) = await make_lease_pair(fleet, platform)
        assert await one.acquire_or_renew()
        assert not await two.acquire_or_renew()
        clock.now += 9.0
        assert not await two.acquire_or_renew()
        assert await one.acquire_or_renew()
        clock.now += 9.0
        assert not await two.acquire_or_renew(), "the lease was renewed meanwhile"
        clock.now += 10.1
        assert await two.acquire_or_renew()
        assert two.version > one.version
        assert not await one.acquire_or_renew()


@pytest.mark.parametrize("fault", ["lose-write", "lose-reply", "outage", "slow", "stale-read"])
async def test_lease_has_at_most_one_holder(fleet, fault):
    async with Platform(f"127.0.0.1:{fleet.platform_port}", 0.3, 1000) as platform:
        (one, two), clocks = await make_lease_pair(fleet, platform)
        for step in range(40):
            if step % 7 == 3:
                fleet.arm(fleet.platform, fault, seconds=0.5)
            await asyncio.gather(one.acquire_or_renew(), two.acquire_or_renew())
            assert not (one.is_held() and two.is_held())
            for clock in clocks:
                clock.now += 3.0
