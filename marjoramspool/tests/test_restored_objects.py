"""Documents, claims, leases and audit when the store comes back from an older copy of itself."""

import asyncio

import pytest

from bench.documents import model_document
from bench.local import wait_until
from marjoramspool.audit import KIND as AUDIT
from marjoramspool.audit import AuditLog
from marjoramspool.configuration import KIND as DOCUMENTS
from marjoramspool.lease import Lease
from marjoramspool.recent_claims import RESTORATION_S, RecentClaims
from marjoramspool.storage import Platform

OUTCOME = "Marjoramspool-Outcome"
SERVICE = "grip-model"
LEASE_S = 0.6


async def start_plain(fleet, routers=3):
    executions = await fleet.add_services(2)
    await fleet.add_routers(routers)
    await fleet.apply_plain()
    await fleet.wait_for_peers()
    return executions


async def order(fleet, key, index=0):
    status, headers, _ = await fleet.post_closure("order", index, key)
    return status, headers[OUTCOME]


def stored_text(fleet, name):
    entry = fleet.platform.objects.get(DOCUMENTS, {}).get(name)
    return entry.spec if entry else None


async def test_a_change_that_the_copy_lost_stays_and_is_written_again(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(3)
    await fleet.apply_model(deadline="5s")
    snapshot = fleet.platform.snapshot()
    await fleet.apply(model_document(SERVICE, fleet.engine_ports, deadline="7s"))
    accepted = stored_text(fleet, SERVICE)
    deadlines = []
    for router in fleet.routers:
        router.configuration.changes.subscribe(
            lambda _, r=router: deadlines.append(r.configuration.document(SERVICE).deadline_s)
        )
    await fleet.platform.restore(snapshot)
    assert stored_text(fleet, SERVICE) != accepted
    await wait_until(lambda: stored_text(fleet, SERVICE) == accepted, "it is written again")
    await asyncio.sleep(0.5)
    assert 5.0 not in deadlines
    assert {r.configuration.document(SERVICE).deadline_s for r in fleet.routers} == {7.0}


async def test_a_document_that_the_copy_lacks_is_written_again(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(2)
    snapshot = fleet.platform.snapshot()
    await fleet.apply_model()
    accepted = stored_text(fleet, SERVICE)
    await fleet.platform.restore(snapshot)
    await wait_until(lambda: stored_text(fleet, SERVICE) == accepted, "it is written again")
    assert all(router.configuration.document(SERVICE) for router in fleet.routers)


async def test_a_change_after_the_restoration_is_in_force(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(2)
    await fleet.apply_model(deadline="5s")
    snapshot = fleet.platform.snapshot()
    for number in range(5):
        accepted = stored_text(fleet, SERVICE)
        await fleet.platform.restore(snapshot)
        await wait_until(lambda t=accepted: stored_text(fleet, SERVICE) == t, "written again")
        await fleet.apply(model_document(SERVICE, fleet.engine_ports, deadline=f"{6 + number}s"))
    assert {r.configuration.document(SERVICE).deadline_s for r in fleet.routers} == {10.0}


@pytest.mark.parametrize("is_naive", [False, True])
async def test_an_order_whose_claim_the_copy_forgot_runs_once(fleet, monkeypatch, is_naive):
    """The naive variant neither writes claims again nor waits; it runs the order twice."""
    if is_naive:
        monkeypatch.setattr(RecentClaims, "begin_restoration", lambda self: iter(()))
        monkeypatch.setattr("marjoramspool.claims.PendingOperation.is_outdated", lambda *_: False)
    executions = await start_plain(fleet)
    snapshot = fleet.platform.snapshot()
    assert await order(fleet, "one-key") == (200, "completed")
    # The outcome is recorded behind the answer.
    await asyncio.sleep(0.3)
    await fleet.platform.restore(snapshot)
    loop = asyncio.get_running_loop()
    end = loop.time() + RESTORATION_S + 4.0
    outcomes = []
    while loop.time() < end and (not outcomes or outcomes[-1] != "completed"):
        for index in range(3):
            outcomes.append((await order(fleet, "one-key", index))[1])
        await asyncio.sleep(0.2)
    assert outcomes[-1] == "completed"
    assert executions["order"] == (2 if is_naive else 1)


async def test_new_keys_are_claimed_again_after_the_restoration(fleet):
    executions = await start_plain(fleet)
    await fleet.platform.restore(fleet.platform.snapshot())
    statuses = []
    for number in range(40):
        statuses.append((await order(fleet, f"key-{number}", number % 3))[0])
        if statuses[-1] == 200:
            break
        await asyncio.sleep(0.2)
    assert statuses[-1] == 200
    assert executions["order"] == 1


async def new_lease(fleet, stack, holder):
    platform = await stack.enter_async_context(
        Platform(f"127.0.0.1:{fleet.platform_port}", 0.5, 100.0)
    )
    return Lease("orders", holder, LEASE_S, platform)


async def test_a_lease_of_an_earlier_epoch_is_no_right(fleet):
    first = await new_lease(fleet, fleet.stack, "first")
    second = await new_lease(fleet, fleet.stack, "second")
    assert await second.acquire_or_renew()
    snapshot = fleet.platform.snapshot()
    await second.release()
    assert await first.acquire_or_renew()
    fencing = first.version
    await fleet.platform.restore(snapshot)
    # The copy names the second router, which no longer holds the lease.
    assert not await second.acquire_or_renew()
    await first.platform.read("leases", "orders")
    assert not first.is_held()
    assert await first.acquire_or_renew()
    assert first.version > fencing
    assert not await second.acquire_or_renew()


async def test_a_lease_that_the_copy_lacks_is_not_free_at_once(fleet):
    snapshot = fleet.platform.snapshot()
    first = await new_lease(fleet, fleet.stack, "first")
    second = await new_lease(fleet, fleet.stack, "second")
    assert await first.acquire_or_renew()
    assert not await second.acquire_or_renew()
    second.epoch = first.epoch
    await fleet.platform.restore(snapshot)
    assert not await second.acquire_or_renew()
    await asyncio.sleep(LEASE_S + 0.1)
    assert await second.acquire_or_renew()


async def test_decisions_that_the_copy_lost_are_in_the_audit_trail_again(fleet):
    async with Platform(f"127.0.0.1:{fleet.platform_port}", 0.5, 100.0) as platform:
        audit = AuditLog("router-0", platform)
        audit.record("first")
        await audit.flush()
        snapshot = fleet.platform.snapshot()
        audit.record("second")
        await audit.flush()
        await fleet.platform.restore(snapshot)
        await platform.read(AUDIT, "router-0")
        await audit.flush()
        stored = (await platform.read(AUDIT, "router-0")).value
    assert stored.count("first") == 1
    assert stored.count("second") == 1
