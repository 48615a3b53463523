"""Entries of another writer among those of the engines.

Guards against routers that end, that stop to follow the list, or that use the entry as an engine.
"""

import asyncio

import msgspec
import pytest

from bench.local import wait_until
from bench.platform_fleet import route
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
