"""Admission when cell owners are unavailable, not ready or change."""

import asyncio

import pytest

from bench.local import wait_until
from marjoramspool.admission.admission_control import OwnerUnavailableError
from marjoramspool.configuration import Configuration
from marjoramspool.routers.links import Links

CELL = "grip-model/0"


async def start_fleet(fleet, routers=3, **options):
    await fleet.add_engines(3)
    await fleet.add_routers(routers)
    await fleet.apply_model(**options)
    await fleet.wait_for_peers()
    owner = next(i for i, r in enumerate(fleet.routers) if r.admission_controller.owned_cells())
    return owner, next(i for i in range(routers) if i != owner)


def load_at(router):
    return sum(router.admission_controller.cell(CELL).loads.values())


async def test_an_owner_without_the_document_is_skipped(fleet, monkeypatch):
    owner, requester = await start_fleet(fleet)
    real = Configuration.document

    def without_document(self, name):
        return None if self is fleet.routers[owner].configuration else real(self, name)

    monkeypatch.setattr(Configuration, "document", without_document)
    assert (await fleet.chat("hello", requester))[0] == 200


async def test_admission_is_decided_locally_when_no_owner_answers(fleet, monkeypatch):
    _, requester = await start_fleet(fleet)

    async def unavailable(self, owner, request):
        raise OwnerUnavailableError("no owner answers")

    monkeypatch.setattr(Links, "request_admission", unavailable)
    for number in range(9):
        assert (await fleet.chat(f"question {number}", requester))[0] == 200


async def test_routers_without_their_owner_stay_within_the_slots_together(fleet, monkeypatch):
    await fleet.add_engines(2)
    await fleet.add_routers(3)
    await fleet.apply_model(slots=4, queue_wait="1s", urgent_reserve="0")
    await fleet.wait_for_peers()
    owner = next(i for i, r in enumerate(fleet.routers) if r.admission_controller.owned_cells())
    others = [i for i in range(3) if i != owner]

    async def unavailable(self, owner, request):
        raise OwnerUnavailableError("no owner answers")

    monkeypatch.setattr(Links, "request_admission", unavailable)
    chats = [fleet.chat(f"chat {n}", others[n % 2], max_tokens=40) for n in range(40)]
    statuses = [status for status, _, _ in await asyncio.gather(*chats)]
    assert statuses.count(200) > 4
    assert max(engine.peak for engine in fleet.engines) <= 4


async def test_all_grants_are_released_after_the_owner_is_briefly_unavailable(fleet, monkeypatch):
    owner, requester = await start_fleet(fleet)
    real = Links.request_admission
    calls = []

    async def flaky(self, name, request):
        calls.append(name)
        if len(calls) % 3 == 0:
            raise OwnerUnavailableError("the owner is briefly unavailable")
        return await real(self, name, request)

    monkeypatch.setattr(Links, "request_admission", flaky)
    monkeypatch.setattr("marjoramspool.membership.UNRESPONSIVE_PERIOD_S", 0.1)
    for _ in range(5):
        tasks = [fleet.chat(f"question {n}", requester, max_tokens=8) for n in range(8)]
        assert all(status == 200 for status, _, _ in await asyncio.gather(*tasks))
        await asyncio.sleep(0.15)
    await wait_until(
        lambda: all(load_at(r) == 0 for r in fleet.routers), "all grants are released", 20
    )


async def test_a_draining_router_keeps_its_load_counted(fleet):
    owner, requester = await start_fleet(fleet)
    task = asyncio.create_task(fleet.chat("long", requester, max_tokens=800))
    await wait_until(lambda: load_at(fleet.routers[owner]) == 1, "the owner counts the request")
    stopping = asyncio.create_task(fleet.routers[requester].shut_down())
    name = fleet.routers[requester].settings.name
    members = fleet.routers[owner].membership
    await wait_until(
        lambda: name not in members.responsive_names(), "the owner sees that the router drains"
    )
    assert load_at(fleet.routers[owner]) == 1
    assert (await task)[0] == 200
    assert await stopping


async def test_lost_releases_are_corrected_by_resent_grants(fleet, monkeypatch):
    owner, requester = await start_fleet(fleet)
    monkeypatch.setattr("marjoramspool.router.GRANT_RESEND_PERIOD_S", 0.2)
    real = Links.release
    monkeypatch.setattr(Links, "release", lambda *arguments: None)
    slow = asyncio.create_task(fleet.chat("slow", requester, max_tokens=2000))
    await fleet.chat("quick", requester, max_tokens=1)
    monkeypatch.setattr(Links, "release", real)
    fleet.routers[requester].admission_controller.resend_grants()
    await wait_until(
        lambda: load_at(fleet.routers[owner]) == 1,
        "the owner removes the grant of the lost release",
    )
    await slow


@pytest.mark.parametrize("engines", [3])
async def test_a_service_of_several_cells(fleet, engines):
    await fleet.add_engines(engines)
    await fleet.add_routers(3)
    await fleet.apply_model(cell_engines=1)
    await fleet.wait_for_peers()
    for number in range(30):
        assert (await fleet.chat(f"question {number}", number % 3, max_tokens=1))[0] == 200
    used = [sum(engine.executions.values()) for engine in fleet.engines]
    assert sum(used) == 30
    fleet.engines[0].is_draining = True
    address = f"127.0.0.1:{fleet.engine_ports[0]}"
    await wait_until(
        lambda: all(r.targets.is_draining(address) for r in fleet.routers),
        "all routers see the engine drain",
    )
    before = sum(fleet.engines[0].executions.values())
    for number in range(12):
        assert (await fleet.chat(f"later {number}", number % 3, max_tokens=1))[0] == 200
    assert sum(fleet.engines[0].executions.values()) == before


async def test_a_surge_of_one_account_does_not_affect_others(fleet):
    await fleet.add_engines(2)
    await fleet.add_routers(2)
    await fleet.apply_model(
        accounts={"crews": 1, "patrols": 1}, slots=4, queue_wait="1s", urgent_reserve="0.25"
    )
    await fleet.wait_for_peers()
    surge = [
        asyncio.create_task(fleet.chat(f"surge {n}", n % 2, max_tokens=60)) for n in range(120)
    ]
    await wait_until(
        lambda: any(task.done() for task in surge), "some requests of the surge have ended"
    )
    headers = {"Authorization": "Bearer patrols-key"}
    for number in range(10):
        status, _, _ = await fleet.chat(f"p{number}", number % 2, max_tokens=2, headers=headers)
        assert status == 200, "requests of the other account are served"
    results = await asyncio.gather(*surge)
    refused = [got for status, got, _ in results if status == 503]
    assert refused and all(got["Marjoramspool-Outcome"] == "not-run" for got in refused)
    assert all("Retry-After" in got for got in refused)
    assert max(engine.peak for engine in fleet.engines) <= 4
