"""Service documents become active on every router and never revert to an older version.

Stale reads, lost replies, stalled watches and outages of the platform must not break this.
"""

import asyncio

import msgspec
import pytest

from bench.documents import model_document
from bench.local import wait_until
from marjoramspool.configuration import KIND, Configuration, encode_body
from marjoramspool.operators.client import ConflictError, OperatorClient
from marjoramspool.routers.links import Links
from marjoramspool.storage import PlatformError

# As in production, where it takes many periods to find all others dead.
PROBE_TIMINGS = {"probe_period": "1s", "probe_timeout": "500ms", "suspect": "2s", "watch": "1s"}
# The time after which an accepted document is promised to be in force everywhere.
ACTIVATION_TIMEOUT_S = 3.0


class VersionRecorder:
    """Recorder of the versions that each router activates."""

    def __init__(self):
        self.versions: dict[str, list[int]] = {}

    def record(self, router):
        recorded = self.versions.setdefault(router.settings.name, [])

        def append_version(service):
            recorded.append(router.configuration.versions()[service])

        router.configuration.changes.subscribe(append_version)

    def assert_increasing(self):
        for router, versions in self.versions.items():
            assert versions == sorted(set(versions)), f"{router} reverted: {versions}"


async def start_fleet(fleet, routers=8):
    await fleet.add_engines(1)
    await fleet.add_routers(routers)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    recorder = VersionRecorder()
    for router in fleet.routers:
        recorder.record(router)
    return recorder


def new_operator(fleet):
    return OperatorClient(f"127.0.0.1:{fleet.platform_port}")


def document_text(fleet, seconds):
    return model_document("grip-model", fleet.engine_ports, deadline=f"{seconds}s")


def active_deadlines(fleet):
    return {r.configuration.document("grip-model").deadline_s for r in fleet.routers}


async def test_changes_become_active_on_every_router(fleet):
    recorder = await start_fleet(fleet)
    for seconds in range(10, 16):
        await fleet.apply(document_text(fleet, seconds))
    assert active_deadlines(fleet) == {15.0}
    recorder.assert_increasing()


@pytest.mark.parametrize("fault", ["stale-read", "silent", "outage", "slow"])
async def test_platform_faults_never_revert_a_document(fleet, fault):
    recorder = await start_fleet(fleet, routers=4)
    await fleet.apply(document_text(fleet, 10))
    fleet.arm(fleet.platform, fault, times=20, seconds=0.3, path="/marjoramspool/objects/documents")
    fleet.arm(fleet.platform, fault, times=4, seconds=0.3, path="/watch")
    for router in fleet.routers:
        router.watcher.store_version = -1
    fleet.platform.faults.armed[0].times = 4
    async with new_operator(fleet) as operator:
        version = None
        while version is None:
            try:
                version = await operator.apply(document_text(fleet, 11), "tester", None)
            except (PlatformError, ConflictError):
                await asyncio.sleep(0.05)
    await wait_until(
        lambda: active_deadlines(fleet) == {11.0}, "the change is active on all routers"
    )
    recorder.assert_increasing()


async def test_a_router_that_starts_in_an_outage_is_updated_by_peers(fleet):
    await start_fleet(fleet, routers=3)
    fleet.arm(fleet.platform, "outage", times=-1)
    seed = fleet.routers[0].membership.local_member.address
    router = await fleet.add_router("late", "domain-0", extra=f"seeds = {seed}")
    await wait_until(lambda: router.configuration.is_complete, "the router is ready")
    assert router.configuration.document("grip-model") is not None
    status, _, _ = await fleet.chat("hello", index=3)
    assert status == 200


async def test_a_concurrent_apply_fails_with_the_name_of_the_winner(fleet):
    recorder = await start_fleet(fleet, routers=2)
    async with new_operator(fleet) as one, new_operator(fleet) as other:
        version, _ = await one.get("grip-model")
        results = await asyncio.gather(
            one.apply(document_text(fleet, 20), "anna", version),
            other.apply(document_text(fleet, 30), "bela", version),
            return_exceptions=True,
        )
    conflicts = [result for result in results if isinstance(result, ConflictError)]
    assert len(conflicts) == 1
    winner = "anna" if isinstance(results[1], ConflictError) else "bela"
    assert winner in str(conflicts[0])
    await wait_until(
        lambda: len(active_deadlines(fleet)) == 1, "all routers have the same document"
    )
    assert active_deadlines(fleet) == {20.0 if winner == "anna" else 30.0}
    recorder.assert_increasing()


async def test_an_invalid_stored_document_is_not_activated(fleet):
    recorder = await start_fleet(fleet, routers=3)
    await fleet.apply(document_text(fleet, 10))
    platform = fleet.routers[0].platform
    for value in ("garbage", encode_body("[service]\nname = grip-model\n", [])):
        stored = await platform.read(KIND, "grip-model")
        await platform.write(KIND, "grip-model", value, stored.version)
        await wait_until(
            lambda: all(r.configuration.faults for r in fleet.routers[:2]),
            "the routers report the invalid document",
        )
        assert active_deadlines(fleet) == {10.0}
    await fleet.apply(document_text(fleet, 12))
    assert active_deadlines(fleet) == {12.0}
    assert not any(r.configuration.faults for r in fleet.routers)
    recorder.assert_increasing()


async def test_a_deleted_and_recreated_document(fleet):
    recorder = await start_fleet(fleet, routers=3)
    platform = fleet.routers[0].platform
    stored = await platform.read(KIND, "grip-model")
    await platform.write(KIND, "grip-model", None, stored.version)
    await wait_until(
        lambda: all(r.configuration.document("grip-model") is None for r in fleet.routers),
        "the service is removed on all routers",
    )
    assert (await fleet.chat("hello"))[0] in (401, 404)
    await fleet.apply(document_text(fleet, 40))
    assert active_deadlines(fleet) == {40.0}
    recorder.assert_increasing()


async def test_apply_succeeds_when_its_reply_is_lost(fleet):
    await start_fleet(fleet, routers=1)
    fleet.arm(fleet.platform, "lose-reply", path="/marjoramspool/objects/documents")
    await fleet.apply(document_text(fleet, 50))
    assert active_deadlines(fleet) == {50.0}


async def test_every_change_is_in_the_audit_trail(fleet):
    await start_fleet(fleet, routers=1)
    await fleet.apply(document_text(fleet, 50))
    async with new_operator(fleet) as operator:
        _, body = await operator.get("grip-model")
    assert [change.who for change in body.changes] == ["tester", "tester"]
    assert body.changes[1].from_version > body.changes[0].from_version


def test_an_older_version_is_ignored():
    text = (
        "[service]\nname = s\nkind = plain\n[target t]\naddress = 127.0.0.1:1\n"
        "[account a]\nkey-sha256 = " + "0" * 64
    )
    body = encode_body(text, []).encode()
    configuration = Configuration()
    assert configuration.apply_if_newer("s", 5, body, "test")
    assert not configuration.apply_if_newer("s", 4, None, "test")
    assert not configuration.apply_if_newer("s", 6, msgspec.json.encode("x"), "test")
    assert not configuration.apply_if_newer("s", 6, body, "test"), (
        "a version that was rejected before is ignored"
    )
    assert configuration.versions() == {"s": 5}


async def test_a_router_that_is_cut_off_from_the_others_reads_the_documents_itself(
    fleet, monkeypatch
):
    """Others of its failure domain watch the documents, and it hears nothing from them."""
    await fleet.add_engines(1)
    await fleet.add_routers(6, domains=1, **PROBE_TIMINGS)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    isolated = next(r for r in fleet.routers if not r.watcher.is_designated())
    cut_off = {isolated.settings.name, isolated.membership.local_member.address}
    original_call = Links.call

    async def call_outside_the_cut(self, address, method, request, timeout_s):
        if cut_off & {self.local_name, address}:
            await asyncio.sleep(timeout_s)
            return None
        return await original_call(self, address, method, request, timeout_s)

    monkeypatch.setattr(Links, "call", call_outside_the_cut)
    async with new_operator(fleet) as operator:
        await operator.apply(document_text(fleet, 40), "tester", None)
    await wait_until(
        lambda: active_deadlines(fleet) == {40.0},
        "the change is active on all routers",
        ACTIVATION_TIMEOUT_S,
    )
