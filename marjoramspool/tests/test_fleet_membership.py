"""Tests of membership: incarnations, gossip, partitions and replacement of routers."""

import asyncio
import time

from bench.chats import Chat, take_turn
from bench.local import wait_until
from marjoramspool.membership import Member, Membership, State
from marjoramspool.routers.links import Links


def member(name, incarnation=1, state=State.ALIVE):
    return Member(name, f"{name}:1", "domain", f"{name}:2", incarnation, state)


def test_update_that_declares_this_router_dead_is_refuted():
    membership = Membership(member("me", 5))
    membership.merge(member("me", 5, State.DEAD))
    assert membership.local_member.incarnation == 6
    assert membership.local_member in membership.next_updates()


def test_update_with_an_older_incarnation_is_ignored():
    membership = Membership(member("me"))
    membership.merge(member("other", 7))
    assert not membership.merge(member("other", 6, State.DEAD))
    assert membership.merge(member("other", 7, State.DEAD))
    assert not membership.merge(member("other", 7))
    assert membership.merge(member("other", 8))
    assert [m.name for m in membership.live_peers()] == ["other"]


def test_updates_are_sent_a_bounded_number_of_times():
    membership = Membership(member("me"))
    for number in range(100):
        membership.merge(member(f"router-{number}"))
    messages = 0
    while membership.next_updates():
        messages += 1
    assert messages < 400
    assert max(len(membership.next_updates()) for _ in range(3)) <= 8


async def start_fleet(fleet, routers, engines=3):
    await fleet.add_engines(engines)
    await fleet.add_routers(routers)
    await fleet.apply_model()
    await fleet.wait_for_peers()


async def test_dead_router_is_detected_by_all(fleet):
    await start_fleet(fleet, 5)
    await fleet.remove_router(4)
    await wait_until(
        lambda: all(len(r.membership.live_peers()) == 3 for r in fleet.routers),
        "every remaining router has detected the death",
    )


async def test_requests_are_served_during_a_partition_that_heals(fleet, monkeypatch):
    await start_fleet(fleet, 4)
    sides = {r.membership.local_member.address: i // 2 for i, r in enumerate(fleet.routers)}
    names = {r.settings.name: i // 2 for i, r in enumerate(fleet.routers)}
    original_call = Links.call

    async def call_within_side(self, address, method, request, timeout_s):
        if sides[address] != names[self.local_name]:
            return None
        return await original_call(self, address, method, request, timeout_s)

    monkeypatch.setattr(Links, "call", call_within_side)
    await wait_until(
        lambda: all(len(r.membership.live_peers()) == 1 for r in fleet.routers),
        "each router sees only its own side",
    )
    for index in range(4):
        assert (await fleet.chat(f"question {index}", index))[0] == 200
    monkeypatch.setattr(Links, "call", original_call)
    await wait_until(
        lambda: all(len(r.membership.live_peers()) == 3 for r in fleet.routers),
        "all routers see each other again",
    )


async def send_turns_until_stopped(fleet, stop, turns):
    """Send the first turns of new chats one after another through the current routers."""
    number = 0
    while not stop.is_set():
        router = fleet.routers[number % len(fleet.routers)]
        url = f"http://127.0.0.1:{router.settings.callers_port}"
        turns.append(await take_turn(fleet.session, url, Chat(f"c{number}"), "grip-model", 4))
        number += 1
        await asyncio.sleep(0.005)


async def test_rolling_replacement_of_all_routers_under_traffic(fleet):
    await start_fleet(fleet, 3)
    stop = asyncio.Event()
    turns = []
    clients = [asyncio.create_task(send_turns_until_stopped(fleet, stop, turns)) for _ in range(3)]
    for number in range(3):
        await fleet.add_router(f"new-{number}", f"domain-{number}")
        await wait_until(
            lambda: fleet.routers[-1].configuration.is_complete, "the new router is ready"
        )
        # Each replacement takes place under traffic, however fast the machine is.
        target = 7 * (number + 1)
        await wait_until(lambda t=target: len(turns) >= t, "turns end between replacements")
        old = fleet.routers.pop(0)
        await old.shut_down()
        await old.__aexit__(None, None, None)
    stop.set()
    await asyncio.gather(*clients)
    assert len(turns) > 20
    assert [turn for turn in turns if not turn.is_complete] == []


async def test_requests_are_served_after_most_routers_die_at_once(fleet):
    await start_fleet(fleet, 6)
    await asyncio.gather(*[fleet.remove_router(1) for _ in range(4)])
    for number in range(6):
        assert (await fleet.chat(f"question {number}", number % 2))[0] == 200
    owners = [
        name for router in fleet.routers for name in router.admission_controller.owned_cells()
    ]
    assert owners.count("grip-model/0") >= 1


async def test_new_owner_counts_the_grants_of_other_routers(fleet):
    await start_fleet(fleet, 4, engines=2)
    owner = next(i for i, r in enumerate(fleet.routers) if r.admission_controller.owned_cells())
    requester = (owner + 1) % 4
    tasks = [
        asyncio.create_task(fleet.chat(f"long {n}", requester, max_tokens=1500)) for n in range(6)
    ]
    cell = fleet.routers[owner].admission_controller.cell("grip-model/0")
    await wait_until(lambda: sum(cell.loads.values()) == 6, "the owner counts six grants")
    survivors = [r for i, r in enumerate(fleet.routers) if i != owner]
    await fleet.remove_router(owner)

    def new_owner_counts_all():
        owners = [r for r in survivors if r.admission_controller.owned_cells()]
        return (
            len(owners) == 1
            and sum(owners[0].admission_controller.cell("grip-model/0").loads.values()) == 6
        )

    await wait_until(new_owner_counts_all, "the new owner counts six grants")
    assert all(status == 200 for status, _, _ in await asyncio.gather(*tasks))
    await wait_until(
        lambda: all(
            sum(r.admission_controller.cell("grip-model/0").loads.values()) == 0 for r in survivors
        ),
        "all grants are released",
    )


async def test_probe_traffic_per_period_is_bounded(fleet):
    await start_fleet(fleet, 6, engines=1)
    started = time.monotonic()
    initial_bytes = [r.links.total_bytes() + r.servicer.bytes for r in fleet.routers]
    await asyncio.sleep(1.0)
    final_bytes = [r.links.total_bytes() + r.servicer.bytes for r in fleet.routers]
    periods = (time.monotonic() - started) / 0.1
    bytes_per_period = [
        (after - first) / periods for first, after in zip(initial_bytes, final_bytes, strict=True)
    ]
    assert max(bytes_per_period) < 1500, "bytes per probe period"
