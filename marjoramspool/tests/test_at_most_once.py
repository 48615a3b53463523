"""At-most-once execution and truthful outcomes under target, platform and router faults."""

import asyncio
from itertools import product

import msgspec
import pytest

from bench.local import wait_until
from marjoramspool import ledger

OUTCOME = "Marjoramspool-Outcome"
TARGET_FAULTS = [
    "cut-before-run",
    "cut-after-run",
    "cut-midway",
    "silent",
    "silent-after-run",
    "cross",
    "freeze",
]
PLATFORM_FAULTS = ["outage", "lose-write", "lose-reply", "slow", "stale-read", "silent"]
CLAIMS = "/marjoramspool/objects/claims"
PLATFORM_STEPS = [0, 1, 2, 3]


async def start_fleet(fleet, routers=3, deadline="1s", **options):
    executions = await fleet.add_services(2)
    await fleet.add_routers(routers)
    await fleet.apply_plain(deadline=deadline, **options)
    await fleet.wait_for_peers()
    return executions


async def send_order(fleet, tag, request_id, index=0, key=None):
    """Send a closure order under a request id; return its status, outcome and body."""
    headers = {"X-Request-Id": request_id}
    if key:
        headers["Idempotency-Key"] = key
    status, answer, body = await fleet.post(
        "/services/field-desk/closures", tag.encode(), index, **headers
    )
    return status, answer[OUTCOME], body


def check_outcomes(fleet, executions, tag, outcomes):
    """Check that a tag ran at most once and that each reported outcome is true."""
    assert executions[tag] <= 1
    for request_id, outcome in outcomes.items():
        ran = sum(
            count
            for service in fleet.services
            for attempt, count in service.attempts.items()
            if attempt.startswith(request_id + ".")
        )
        if outcome == "not-run":
            assert ran == 0, f"{request_id} was reported not-run, but ran {ran} times"
        if outcome == "completed":
            assert executions[tag] == 1


@pytest.mark.parametrize(("fault", "keyed"), list(product(TARGET_FAULTS, [True, False])))
async def test_target_faults(fleet, fault, keyed):
    """A target fails before, during or after the run; retries must not run the order twice."""
    executions = await start_fleet(fleet)
    for service in fleet.services:
        fleet.arm(service, fault)
    key = f"key-{fault}" if keyed else None
    outcomes = {"first": (await send_order(fleet, "order", "first", 0, key))[1]}
    if keyed:
        for service in fleet.services:
            fleet.arm(service, "clear")
        for number in range(3):
            name = f"retry-{number}"
            outcomes[name] = (await send_order(fleet, "order", name, number, key))[1]
    await asyncio.sleep(0)
    check_outcomes(fleet, executions, "order", outcomes)
    assert "completed" not in outcomes.values() or executions["order"] == 1


@pytest.mark.parametrize(("fault", "step"), list(product(PLATFORM_FAULTS, PLATFORM_STEPS)))
async def test_platform_faults_at_every_step(fleet, fault, step):
    """The platform fails at one step of a claim; the order must not run twice under its key."""
    executions = await start_fleet(fleet)
    fleet.arm(fleet.platform, fault, skip=step, seconds=0.8, path=CLAIMS)
    outcomes = {}
    for number in range(4):
        name = f"call-{number}"
        outcomes[name] = (await send_order(fleet, "order", name, number % 3, "one-key"))[1]
    check_outcomes(fleet, executions, "order", outcomes)


async def test_concurrent_retries_through_all_routers_run_once(fleet):
    """Routers race for the same key; only one attempt may run, and none is reported not-run."""
    executions = await start_fleet(fleet, routers=4)
    fleet.services[0].work_s = fleet.services[1].work_s = 0.1
    tasks = [send_order(fleet, "order", f"call-{n}", n % 4, "one-key") for n in range(16)]
    results = await asyncio.gather(*tasks)
    assert executions["order"] == 1
    assert "completed" in [outcome for _, outcome, _ in results]
    assert "not-run" not in [outcome for _, outcome, _ in results]
    status, outcome, body = await send_order(fleet, "order", "late", 3, "one-key")
    assert (status, outcome, msgspec.json.decode(body)["count"]) == (200, "completed", 1)


async def test_a_key_with_another_body_is_rejected(fleet):
    executions = await start_fleet(fleet)
    await send_order(fleet, "order", "first", 0, "one-key")
    status, outcome, _ = await send_order(fleet, "other order", "second", 1, "one-key")
    assert (status, outcome) == (422, "not-run")
    assert executions["other order"] == 0


async def test_keys_of_two_accounts_are_separate(fleet):
    executions = await start_fleet(fleet, accounts={"crews": 1, "patrols": 1})
    for account in ("crews", "patrols"):
        headers = {"Authorization": f"Bearer {account}-key", "Idempotency-Key": "one-key"}
        status, _, _ = await fleet.post("/services/field-desk/closures", b"order", **headers)
        assert status == 200
    assert executions["order"] == 2


async def test_a_refused_claim_is_released_so_that_the_key_works_later(fleet):
    """A claim refused in an outage must not block its key after the outage."""
    executions = await start_fleet(fleet)
    fleet.arm(fleet.platform, "outage", times=-1)
    status, outcome, _ = await send_order(fleet, "order", "first", 0, "one-key")
    assert (status, outcome) == (503, "not-run")
    fleet.arm(fleet.platform, "clear")
    assert (await send_order(fleet, "order", "second", 1, "one-key"))[1] == "completed"
    assert executions["order"] == 1


async def test_a_claim_whose_reply_was_lost_in_an_outage_is_released(fleet, monkeypatch):
    """A claim that was written but reported as not-run must not block its key for good."""
    monkeypatch.setattr("marjoramspool.claims.RELEASE_DELAY_S", 0.2)
    executions = await start_fleet(fleet)
    # The claim is written, its reply is lost, and the read-back fails in an outage.
    fleet.arm(fleet.platform, "lose-reply", path=CLAIMS)
    fleet.arm(fleet.platform, "outage", times=-1, skip=2, path=CLAIMS)
    status, outcome, _ = await send_order(fleet, "order", "first", 0, "one-key")
    assert (status, outcome) == (503, "not-run")
    fleet.arm(fleet.platform, "clear")
    for _ in range(100):
        status, outcome, _ = await send_order(fleet, "order", "again", 1, "one-key")
        if outcome == "completed":
            break
        await asyncio.sleep(0.1)
    assert (outcome, executions["order"]) == ("completed", 1)


async def test_a_request_refused_before_dispatch_releases_its_key(fleet):
    executions = await start_fleet(fleet, queue_wait="0s", slots=1, urgent_reserve="0")
    for service in fleet.services:
        service.work_s = 0.5
    busy = [asyncio.create_task(send_order(fleet, f"busy-{n}", f"busy-{n}", 0)) for n in range(2)]
    await wait_until(lambda: sum(s.in_flight for s in fleet.services) == 2, "both targets are busy")
    status, headers, _ = await fleet.post_closure("order", 1, "one-key")
    assert (status, headers[OUTCOME]) == (503, "not-run")
    assert int(headers["Retry-After"]) >= 1
    await asyncio.gather(*busy)
    for _ in range(100):
        outcome = (await send_order(fleet, "order", "again", 2, "one-key"))[1]
        if outcome == "completed":
            break
        await asyncio.sleep(0.05)
    assert (outcome, executions["order"]) == ("completed", 1)


@pytest.mark.parametrize("step", ["before", "during", "after"])
async def test_a_router_crash_around_dispatch(fleet, step):
    """A router stops before, during or after dispatch; retries through others run nothing twice."""
    executions = await start_fleet(fleet, routers=4)
    for service in fleet.services:
        service.work_s = 0.3
    if step == "before":
        fleet.arm(fleet.platform, "slow", times=2, seconds=0.3)
    task = asyncio.create_task(send_order(fleet, "order", "first", 3, "one-key"))
    if step != "before":
        await wait_until(lambda: executions["order"] == 1, "the order runs")
    else:
        await asyncio.sleep(0.1)
    if step == "after":
        await task
    await fleet.remove_router(3)
    await asyncio.gather(task, return_exceptions=True)
    for number in range(3):
        outcome = (await send_order(fleet, "order", f"retry-{number}", number, "one-key"))[1]
        assert outcome in ("unknown", "completed")
    check_outcomes(fleet, executions, "order", {})


async def test_a_caller_disconnect_does_not_cancel_a_claimed_attempt(fleet):
    """A caller disconnects during a claimed attempt; its retry must get the recorded outcome."""
    executions = await start_fleet(fleet)
    for service in fleet.services:
        service.work_s = 0.3
    task = asyncio.create_task(send_order(fleet, "order", "first", 0, "one-key"))
    await wait_until(lambda: executions["order"] == 1, "the order runs")
    task.cancel()
    await asyncio.sleep(0.5)
    status, outcome, body = await send_order(fleet, "order", "retry", 1, "one-key")
    assert (status, outcome, msgspec.json.decode(body)["count"]) == (200, "completed", 1)


async def test_a_retry_waits_for_an_outcome_that_is_being_recorded(fleet, monkeypatch):
    executions = await start_fleet(fleet)

    async def no_answer(router, operation, timeout_s):
        return None

    # Without forwarding, each router writes the shard itself, so the retry can reach the
    # platform before the outcome of the first request is recorded.
    for router in fleet.routers:
        monkeypatch.setattr(router.claims, "forward", no_answer)
    for number in range(4):
        key = f"key-{number}"
        await send_order(fleet, key, f"first-{number}", number % 3, key)
        outcome = (await send_order(fleet, key, f"retry-{number}", (number + 1) % 3, key))[1]
        assert (outcome, executions[key]) == ("completed", 1)


async def test_requests_without_a_key_make_no_platform_call(fleet):
    executions = await start_fleet(fleet)
    writes = fleet.platform.calls["write"]
    for number in range(20):
        assert (await send_order(fleet, f"order-{number}", f"call-{number}", number % 3))[0] == 200
    assert all(executions[f"order-{number}"] == 1 for number in range(20))
    assert fleet.platform.calls["write"] == writes


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
async def test_the_library_resends_nothing_on_a_reused_connection(fleet, method):
    """An HTTP client may resend idempotent methods if a reused connection closes."""
    executions = await start_fleet(fleet)
    headers = {"Authorization": "Bearer crews-key"}
    url = fleet.url() + "/services/field-desk/other"
    async with fleet.session.request(method, url, data=b"warm", headers=headers):
        pass
    for service in fleet.services:
        fleet.arm(service, "cut-after-run", times=2)
    async with fleet.session.request(method, url, data=b"order", headers=headers) as response:
        assert response.headers[OUTCOME] in ("unknown", "completed")
    attempts = [count for service in fleet.services for count in service.attempts.values()]
    assert max(attempts) == 1, "an attempt was sent to a target twice"
    assert executions["order"] >= 1


async def test_many_concurrent_orders_run_once_each(fleet):
    executions = await start_fleet(fleet, deadline="20s")
    # Fewer concurrent orders than an account may queue, regardless of the speed of the machine.
    semaphore = asyncio.Semaphore(60)

    async def send_limited(n):
        async with semaphore:
            return await send_order(fleet, f"order-{n}", f"call-{n}", n % 3, f"key-{n}")

    results = await asyncio.gather(*[send_limited(n) for n in range(200)])
    assert [r for r in results if r[1] != "completed"] == []
    assert all(executions[f"order-{n}"] == 1 for n in range(200))


async def test_claims_are_committed_in_batches(fleet):
    await start_fleet(fleet, routers=1)
    claims = fleet.routers[0].claims
    before = fleet.platform.calls["write"]
    keys = [ledger.claim_key("field-desk", "crews", f"key-{n}") for n in range(200)]
    takes = [ledger.Take(key, "body", f"attempt of {key}") for key in keys]
    results = await asyncio.gather(*[claims.commit_locally(take, 30.0) for take in takes])
    assert all(isinstance(result, ledger.Granted) for result in results)
    assert fleet.platform.calls["write"] - before <= 2 * claims.shard_count


async def test_entries_rolled_into_segments_still_block_their_keys(fleet, monkeypatch):
    """A retry whose key has left the head must get the outcome from the segment, not run again."""
    monkeypatch.setattr("marjoramspool.ledger.MAX_HEAD_LIMIT_ENTRIES", 4)
    executions = await start_fleet(fleet, routers=2)
    for number in range(120):
        await send_order(fleet, f"order-{number}", f"call-{number}", number % 2, f"key-{number}")
    assert fleet.platform.objects["claims-old"]
    for number in range(0, 120, 7):
        name = f"retry-{number}"
        outcome = (
            await send_order(fleet, f"order-{number}", name, (number + 1) % 2, f"key-{number}")
        )[1]
        assert outcome == "completed"
    assert max(executions.values()) == 1


async def test_a_key_is_refused_during_a_known_outage(fleet):
    await start_fleet(fleet)
    fleet.arm(fleet.platform, "outage", times=-1)
    await wait_until(
        lambda: all(r.platform.outage_s() > 1.0 for r in fleet.routers), "the outage is detected"
    )
    status, headers, _ = await fleet.post_closure("order", 0, "one-key")
    assert (status, headers[OUTCOME]) == (503, "not-run")
    assert "Retry-After" in headers


async def test_an_outcome_is_recorded_after_an_outage(fleet):
    executions = await start_fleet(fleet)
    for service in fleet.services:
        service.work_s = 0.3
    task = asyncio.create_task(send_order(fleet, "order", "first", 0, "one-key"))
    await wait_until(lambda: executions["order"] == 1, "the order runs")
    fleet.arm(fleet.platform, "outage", times=-1)
    assert (await task)[1] == "completed"
    await wait_until(lambda: fleet.routers[0].platform.outage_s() > 1.0, "the outage is detected")
    fleet.arm(fleet.platform, "clear")
    for _ in range(100):
        outcome = (await send_order(fleet, "order", "retry", 1, "one-key"))[1]
        if outcome == "completed":
            break
        await asyncio.sleep(0.1)
    assert (outcome, executions["order"]) == ("completed", 1)


async def test_retries_run_more_than_once_without_claims(fleet, monkeypatch):
    """Check the tests above: with claims disabled, the same order runs more than once."""

    async def always_granted(self, operation, timeout_s=0.0):
        return ledger.Granted()

    monkeypatch.setattr("marjoramspool.claims.Claims.commit", always_granted)
    executions = await start_fleet(fleet)
    await asyncio.gather(
        *[send_order(fleet, "order", f"c-{n}", n % 3, "one-key") for n in range(6)]
    )
    assert executions["order"] > 1, (
        "the order ran at most once without claims: these tests would miss a fault"
    )


async def test_a_stale_read_that_misses_a_segment_runs_nothing_twice(fleet, monkeypatch):
    """A new router reads the segments stale; a missing segment must not count as free keys."""
    monkeypatch.setattr("marjoramspool.ledger.MAX_HEAD_LIMIT_ENTRIES", 4)
    executions = await start_fleet(fleet, routers=1)
    for number in range(120):
        await send_order(fleet, f"order-{number}", f"call-{number}", 0, f"key-{number}")
    await fleet.remove_router(0)
    await fleet.add_router("replacement", "domain-0")
    await wait_until(lambda: fleet.routers[0].configuration.is_complete, "the router is ready")
    fleet.arm(fleet.platform, "stale-read", times=12, path="/marjoramspool/objects/claims-old")
    for number in range(120):
        await send_order(fleet, f"order-{number}", f"again-{number}", 0, f"key-{number}")
    assert max(executions.values()) == 1
