"""Entries of another writer among those of the engines.

Guards against routers that end, that stop to follow the list, or that use the entry as an engine.
"""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.local import wait_until
from bench.platform_fleet import route
from marjoramspool.engine_state.engine_list import EngineList
from marjoramspool.engine_state.registration_checks import find_fault
from marjoramspool.peers.messages import EngineEntry
from marjoramspool.peers.state_transfer import import_engines
from marjoramspool.platform.registry import decode_engine
from marjoramspool.platform.store_bodies import read_changes, read_object, read_page

LOOKUP = route("/lookup/", "idempotent", "desk")
DEPTH = 20_000
# Values that a decoder may reject together with all that is around them.
UNREADABLE = {
    "nested": b"[" * DEPTH + b"]" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"0" + b"}" * DEPTH,
    "half a character": b'"\\ud83d"',
    "no text": b'"\xff"',
    "long number": b"9" * 5000,
    "large number": b"1e9999",
    "not a number": b"NaN",
}
# Where such a value stands: in the entry, in its metadata, or beside them.
PLACES = {
    "field": b'{"metadata":{"name":"i-odd","revision":7},"spec":{"service":%s}}',
    "unknown field": b'{"metadata":{"name":"i-odd","revision":7},"spec":{"x":%s}}',
    "spec": b'{"metadata":{"name":"i-odd","revision":7},"spec":%s}',
    "status": b'{"metadata":{"name":"i-odd","revision":7},"spec":{},"status":%s}',
    "finalizers": b'{"metadata":{"name":"i-odd","revision":7,"finalizers":%s},"spec":{}}',
    "revision": b'{"metadata":{"name":"i-odd","revision":%s},"spec":{}}',
    "name": b'{"metadata":{"name":%s,"revision":7},"spec":{}}',
    "metadata": b'{"metadata":%s,"spec":{}}',
    "beside": b'{"metadata":{"name":"i-odd","revision":7},"spec":{},"x":%s}',
    "object": b"%s",
}
GOOD = b'{"metadata":{"name":"%s","revision":%d},"spec":{"service":"desk"}}'


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE.keys())
@pytest.mark.parametrize("place", PLACES.values(), ids=PLACES.keys())
def test_the_entries_beside_an_odd_one_are_read(place, value):
    odd = place.replace(b"%s", value)
    before, after = GOOD % (b"i-1", 5), GOOD % (b"i-2", 9)
    items = b",".join([before, odd, after])
    page = read_page(b'{"items":[' + items + b'],"more":true,"at":12}', 0)
    names = [stored.name for stored in page.objects if stored.name != "i-odd"]
    assert (names, page.version, page.has_more) == (["i-1", "i-2"], 12, True)
    events = b",".join(b'{"object":' + item + b',"removed":false}' for item in (before, odd, after))
    changes, version = read_changes(b'{"events":[' + events + b'],"at":12}', 0)
    names = [change.object.name for change in changes if change.object.name != "i-odd"]
    assert (names, version) == (["i-1", "i-2"], 12)


@pytest.mark.parametrize("place", ["field", "spec", "status", "finalizers", "beside"])
def test_an_entry_with_readable_metadata_keeps_its_name(place):
    """Guards against an entry that is overwritten by an odd one and stays as it was."""
    odd = PLACES[place].replace(b"%s", UNREADABLE["nested"])
    stored = read_object(odd, 0)
    assert (stored.name, stored.revision) == ("i-odd", 7)


@pytest.mark.parametrize("revision", [b"-1", b"1e3", b"99999999999999999999", b"true", b'"7"'])
def test_a_revision_that_is_none_is_an_error(revision):
    with pytest.raises(msgspec.DecodeError):
        read_object(b'{"metadata":{"name":"a","revision":' + revision + b"}}", 0)
    with pytest.raises(msgspec.DecodeError):
        read_page(b'{"items":[],"at":' + revision + b"}", 0)


async def write_odd(site, value):
    """Write an entry as another writer does, as the very bytes."""
    await site.put("servers", "i-odd", msgspec.Raw(b'{"service":"desk","address":' + value + b"}"))


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_routers_follow_the_engines_beside_an_odd_entry(site, value):
    """One router runs when it is written, one starts later, and one of them restarts."""
    first = await site.add_engine("desk")
    await site.configure(LOOKUP)
    await site.add_router()
    await write_odd(site, value)
    second = await site.add_engine("desk")
    await site.add_router()
    await site.wait_for_peers()
    await site.put("servers", first.id, first.registration(state="draining"))
    for router in site.routers:
        await wait_until(
            lambda r=router: [e.id for e in r.engines.usable("desk")] == [second.id],
            "the router knows what has changed",
            3.0,
        )
    for index in range(2):
        assert (await site.send("/lookup/x", f"q{index}", index))[0] == 200


async def test_routers_follow_the_engines_beside_an_odd_entry_after_lost_history(site):
    engine = await site.add_engine("desk")
    await site.configure(LOOKUP)
    router = await site.add_router()
    await write_odd(site, UNREADABLE["nested"])
    site.store.compact_history()
    await asyncio.sleep(0.1)
    other = await site.add_engine("desk")
    site.store.compact_history()
    await wait_until(lambda: other.id in router.engines.engines, "the new engine is known", 4.0)
    assert engine.id in router.engines.engines


ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1000,
}
TEXT_FIELDS = ("service", "address", "zone", "version", "state")
FIGURES = ("slots", "cold_remaining_ms", "sequence", "born")
NO_TEXT = [None, True, 7, 1.5, 10**30, [], ["a"], {}, {"a": "b"}]
NO_FIGURE = [None, True, "7", "", [], [7], {}, {"a": 7}]
ADDRESSES = [
    "",
    ":8080",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:80800000000000000000",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:8\u00b2",
    "127.0.0.1:\u0663",
    "127.0.0.1: 80",
    "127.0.0.1:80/path",
    "127.0.0.1:80@127.0.0.2:81",
    "127.0.0:80",
    "127.0.0.256:80",
    "localhost:80",
    "[::1]:80",
    "127.0.0.1\r\nX: y:80",
    "a" * 100_000 + ":80",
]
ODD_FIELDS = [
    *(("address", address) for address in ADDRESSES),
    *((name, value) for name in TEXT_FIELDS for value in NO_TEXT),
    *((name, value) for name in FIGURES for value in NO_FIGURE),
    *((name, "x" * 100_000) for name in ("service", "zone", "version")),
    *(("slots", value) for value in (0, -1, 1.5, 10**9, 10**18, 10**30, 10**400, 1e300)),
    *(("born", value) for value in (-1, 0.5, 10**18, 10**30, 10**400)),
    *(("sequence", value) for value in (0.5, 1e300)),
    ("state", "resting"),
    ("state", ""),
]


def decode(entry):
    return decode_engine("i-odd", msgspec.json.encode(entry))


def test_an_entry_with_all_its_fields_names_an_engine():
    assert decode(ENTRY | {"stage": "hybrid", "models": [], "more": {"of": "it"}})


@pytest.mark.parametrize("name", ENTRY)
def test_an_entry_that_lacks_a_field_names_no_engine(name):
    """Guards against orders that are lost to what listens at the address of such an entry."""
    assert decode({key: value for key, value in ENTRY.items() if key != name}) is None


@pytest.mark.parametrize(
    ("name", "value"), ODD_FIELDS, ids=[f"{n}-{str(v)[:20]!a}" for n, v in ODD_FIELDS]
)
def test_an_entry_with_an_odd_field_names_no_engine(name, value):
    assert decode(ENTRY | {name: value}) is None


ODD_NAMES = ["", "a\nb", "a\r\nX-Tenant: crews", "a\0b", "a\x7f", "a\t", "\u2028", "x" * 100_000]


@pytest.mark.parametrize("name", ODD_NAMES, ids=lambda name: ascii(name[:20]))
def test_an_entry_under_a_name_that_no_header_carries_names_no_engine(name):
    assert decode_engine(name, msgspec.json.encode(ENTRY)) is None


@pytest.mark.parametrize("entry", [None, True, 7, "text", [], [ENTRY], {}])
def test_what_is_no_entry_names_no_engine(entry):
    assert decode(entry) is None


FIELDS = st.sampled_from(list(ENTRY))
ODD_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
)


@given(changes=st.dictionaries(FIELDS, ODD_VALUES), extra=ODD_VALUES)
def test_every_entry_names_a_sound_engine_or_none(changes, extra):
    engine = decode(ENTRY | changes | {"extra": extra})
    assert engine is None or find_fault(engine) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 1 << 63},
        {"slots": 0},
        {"address": "127.0.0.1:99999"},
        {"started_ms": -(1 << 62)},
        {"service": "x" * 5000},
        {"id": "i\n1"},
        {"id": ""},
    ],
    ids=str,
)
def test_an_odd_entry_in_the_list_of_another_router_is_left_out(changes):
    """The other router is of an earlier release and lists it."""
    fields = {
        "id": "i-odd",
        "service": "desk",
        "address": "127.0.0.1:8080",
        "failure_domain": "zone-a",
        "slots": 16,
        "is_draining": False,
        "started_ms": 1000,
    }
    engines = EngineList()
    good = EngineEntry(**fields | {"id": "i-1"})
    import_engines(engines, (EngineEntry(**fields | changes), good), 5)
    assert list(engines.engines) == ["i-1"]


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**400},
        {"slots": 10**18},
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:0"},
        {"born": 10**40},
        {"zone": None},
    ],
    ids=lambda change: str(change)[:30],
)
async def test_requests_are_served_beside_an_odd_entry(site, change):
    """Guards against requests that fail, one in three or all, since an entry was odd."""
    for _ in range(2):
        await site.add_engine("desk")
    await site.configure(LOOKUP)
    await site.add_router()
    odd = ENTRY | {"address": "127.0.0.1:1"} | change
    await site.put("servers", "i-odd", msgspec.Raw(msgspec.json.encode(odd)))
    await site.add_router()
    await site.wait_for_peers()
    last = await site.add_engine("desk")
    for router in site.routers:
        await wait_until(lambda r=router: last.id in r.engines.engines, "the list is followed", 3.0)
    for number in range(20):
        status, _, _ = await site.send("/lookup/x", f"q{number}", number % 2, method="GET")
        assert status == 200


async def test_requests_are_served_beside_an_entry_under_an_odd_name(site):
    """Guards against an error for each request that goes to the entry."""
    engine = await site.add_engine("desk")
    await site.configure(LOOKUP)
    await site.put("servers", "a\nb", engine.registration())
    await site.add_router()
    for number in range(20):
        assert (await site.send("/lookup/x", f"q{number}"))[0] == 200


async def test_an_engine_whose_entry_becomes_odd_gets_no_more_requests(site):
    first = await site.add_engine("desk")
    second = await site.add_engine("desk")
    await site.configure(LOOKUP)
    router = await site.add_router()
    await site.put("servers", first.id, first.registration(slots="many"))
    await wait_until(
        lambda: [e.id for e in router.engines.usable("desk")] == [second.id], "it is not used", 2.0
    )
