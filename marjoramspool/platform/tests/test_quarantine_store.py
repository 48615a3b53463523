"""Quarantines outlast all routers, and one router of the fleet tries a part again."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from marjoramspool.engine_state import quarantine_store
from marjoramspool.engine_state.poison_parts import PoisonDetector
from marjoramspool.engine_state.quarantine_store import KIND, QuarantineStore
from marjoramspool.platform.store import Store

PART = 0xBAD
PARTS = (PART, 7)
CHAT = route("/chat/", "streaming", "model")
HEADERS = {"X-Model": "m", "X-Token-Count": "50,5", "X-Prompt-Prefix": "bad:40,7:10"}


@pytest.fixture(autouse=True)
def short_periods(monkeypatch):
    monkeypatch.setattr(quarantine_store, "MAX_WRITE_DELAY_S", 0.1)
    monkeypatch.setattr(quarantine_store, "CHECK_PERIOD_S", 0.05)
    monkeypatch.setattr(quarantine_store, "LIST_PERIOD_WHILE_QUARANTINED_S", 0.3)
    monkeypatch.setattr(quarantine_store, "LIST_PERIOD_S", 0.3)


@pytest.fixture
async def replicas(site):
    """Yield three replicas of the records, each with a detector of its own."""
    async with AsyncExitStack() as stack:
        made = []
        for _ in range(3):
            store = await stack.enter_async_context(Store(f"127.0.0.1:{site.store_port}", 0.5))
            replica = QuarantineStore(store, PoisonDetector())
            task = asyncio.create_task(replica.run())
            stack.callback(task.cancel)
            made.append(replica)
        yield made


def stored_names(site):
    return list(site.store.objects.get(KIND, {}))


async def test_a_quarantine_is_written_once_and_read_by_the_others(site, replicas):
    for replica in replicas:
        replica.detector.quarantine(PART)
    await wait_until(lambda: stored_names(site) == ["bad"], "the record is written")
    writes = site.store.calls["write"]
    await asyncio.sleep(0.5)
    assert site.store.calls["write"] == writes
    assert all(PART in replica.detector.quarantined for replica in replicas)


async def test_a_quarantine_is_known_after_all_routers_restarted(site):
    engine = await site.add_engine("model", is_stream=True)
    await site.configure(CHAT)
    router = await site.add_router()
    router.selector.poison.quarantine(PART)
    await wait_until(lambda: stored_names(site) == ["bad"], "the record is written")
    await site.routers.pop().__aexit__(None, None, None)
    await site.add_router()
    status, headers, _ = await site.send("/chat/x", "r1", headers=HEADERS)
    assert status == 503
    assert float(headers["Retry-After"]) > 1.0
    assert not engine.arrivals


async def test_a_quarantine_is_written_again_after_the_store_lost_it(site, replicas):
    snapshot = site.store.snapshot()
    replicas[0].detector.quarantine(PART)
    await wait_until(lambda: stored_names(site) == ["bad"], "the record is written")
    await site.store.restore(snapshot)
    await wait_until(lambda: stored_names(site) == ["bad"], "the record is written again")
    assert PART in replicas[0].detector.quarantined


async def test_one_router_tries_the_part_again_when_that_is_due(site, replicas):
    for replica in replicas:
        replica.detector.quarantine(PART)
    await wait_until(lambda: all(r.revisions for r in replicas), "all know the record")
    passed = 0
    for replica in replicas:
        replica.detector.quarantined[PART].probe_at = 0.0
    for _ in range(20):
        await asyncio.sleep(0.05)
        passed += sum(r.detector.find_quarantine(PARTS) is None for r in replicas)
    assert passed == 1
    assert {r.detector.quarantined[PART].probes for r in replicas} == {1}


async def test_an_answer_removes_the_record_and_the_quarantine_everywhere(site, replicas):
    replicas[0].detector.quarantine(PART)
    await wait_until(
        lambda: all(PART in r.detector.quarantined for r in replicas), "all have taken it over"
    )
    replicas[1].detector.record_answer(PARTS)
    await wait_until(lambda: not stored_names(site), "the record is removed")
    await wait_until(
        lambda: not any(r.detector.quarantined for r in replicas), "all have lifted it"
    )


async def test_a_record_that_names_no_part_is_passed_over(site, replicas):
    await site.put(KIND, "not-hex", {"probes": 0})
    await site.put(KIND, "c0", "junk")
    await site.put(KIND, "bad", {"probes": 2})
    replica = replicas[0]
    await wait_until(lambda: PART in replica.detector.quarantined, "the valid record is read")
    assert replica.detector.quarantined.keys() == {PART}
