"""Odd objects of another writer among the records that routers share through the store.

Guards against routers that stop to report to each other, or to serve, since a record was odd.
"""

import asyncio

import msgspec
import pytest

from bench.local import wait_until
from bench.platform_fleet import route
from marjoramspool.bounds import Bounds
from marjoramspool.engine_state.poison_parts import PoisonDetector
from marjoramspool.engine_state.quarantine_store import KIND as QUARANTINES
from marjoramspool.engine_state.quarantine_store import read_records
from marjoramspool.peers.directory import Directory
from marjoramspool.peers.discovery import KIND as ROUTERS
from marjoramspool.peers.discovery import Discovery
from marjoramspool.peers.messages import QuarantineReport, decode_datagram, encode
from marjoramspool.platform.store import Store
from marjoramspool.store_replicas.stored_objects import StoredObject

LOOKUP = route("/lookup/", "idempotent", "desk")
NESTED = msgspec.Raw(b"[" * 20_000 + b"]" * 20_000)
NULL = msgspec.Raw(b"null")
SPEC = {"address": "127.0.0.50", "failure_domain": "zone-a", "operators": "", "link_mbps": 1000}


def stored(name, spec):
    return StoredObject(name, 1, msgspec.Raw(msgspec.json.encode(spec)), NULL)


@pytest.mark.parametrize(
    "spec",
    [
        SPEC | {"address": "nowhere"},
        SPEC | {"address": "x" * 70 + ".example"},
        SPEC | {"address": "127.0.0.1:5000"},
        SPEC | {"address": ""},
        SPEC | {"address": 7},
        SPEC | {"link_mbps": 10**30},
        SPEC | {"link_mbps": -1},
        SPEC | {"failure_domain": "z" * 1000},
        NESTED,
        None,
    ],
    ids=range(10),
)
def test_a_registration_to_which_nothing_can_be_sent_is_no_router(spec):
    directory = Directory("127.0.0.11", "zone-a", 1000)
    discovery = Discovery(Store("127.0.0.1:1", 0.5), "front-1", directory)
    discovery.add_peers([stored("odd", spec), stored("front-2", SPEC)])
    assert list(directory.peers) == ["127.0.0.50"]


@pytest.mark.parametrize("name", ["-5", "0x1f", "1_0", "0bad", "BAD", "f" * 17, "9" * 5000, " 1"])
def test_a_quarantine_of_no_part_is_ignored(name):
    assert list(read_records([stored(name, {"probes": 1}), stored("bad", {})])) == [(0xBAD, (1, 0))]


@pytest.mark.parametrize("probes", [-1, 10**9, 10**30, 1.5, "many", NESTED])
def test_a_quarantine_with_odd_probes_is_ignored(probes):
    assert not list(read_records([stored("bad", {"probes": probes})]))


def test_every_quarantine_that_is_read_can_be_told_to_other_routers():
    detector = PoisonDetector()
    for part, (_, probes) in read_records([stored("f" * 16, {"probes": 1_000_000})]):
        detector.adopt(part, probes)
    (quarantine,) = detector.quarantined.values()
    assert encode(QuarantineReport(quarantine.part, quarantine.probes))


def test_a_datagram_that_is_nested_too_deeply_is_malformed():
    with pytest.raises(msgspec.MsgspecError):
        decode_datagram(b"\x91" * 50_000 + b"\xc0")


async def test_routers_hear_each_other_beside_odd_records(site):
    """Each kind of record that routers read has an odd one, before they start and later."""
    site.bounds = Bounds(shutdown_grace_s=3.0, evacuation_s=2.0)

    async def write(number):
        odd_address = SPEC | {"address": "x" * 70 + ".example"}
        await site.put(ROUTERS, f"odd-{number}", odd_address)
        await site.put(ROUTERS, f"nested-{number}", NESTED)
        await site.put(QUARANTINES, "f" * (20 + number), {"probes": 10**30})
        await site.put(QUARANTINES, f"nested-{number}", NESTED)
        await site.put("evacuations", "z" * (60_000 + number), NESTED)

    await site.add_engine("desk")
    await site.configure(LOOKUP)
    await write(0)
    for _ in range(2):
        await site.add_router()
    await write(1)
    await site.put("evacuations", "zone-b", {})
    await site.add_router()
    await site.wait_for_peers()
    for router in site.routers:
        await wait_until(
            lambda r=router: r.engines.evacuations.domains == {"zone-b"}, "it is evacuated", 3.0
        )
    await asyncio.sleep(1.0)
    counts = [len(router.directory.live_peers()) for router in site.routers]
    assert counts == [2, 2, 2]
    for index in range(3):
        assert (await site.send("/lookup/x", f"q{index}", index))[0] == 200


@pytest.mark.parametrize("era", ["²", "9" * 5000, "-1", "1.5", "x", "99999", ""])
async def test_a_malformed_epoch_is_ignored(site, era):
    site.store.era = era
    await site.add_engine("desk")
    await site.configure(LOOKUP)
    router = await site.add_router()
    assert router.store.epoch == 0
    assert (await site.send("/lookup/x", "q"))[0] == 200
