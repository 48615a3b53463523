"""Engine lists that routers take from each other while registrations may be renewed.

Guards against a router that goes on to send requests to an engine that is gone from the store,
since the router from which it took its list was still waiting for a renewal.
"""

import pytest

from marjoramspool.engine_state.cold_engines import ColdEngines
from marjoramspool.engine_state.engine_list import RENEWAL_GRACE_S, Engine, EngineList
from marjoramspool.peers.messages import EngineEntry
from marjoramspool.peers.state_transfer import export_engines, import_engines


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def engine(name):
    return Engine(name, "s", f"1.1.1.1:{ord(name)}", "zone", 8, False, 1)


def names(engines):
    return sorted(e.id for e in engines.usable("s"))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def lists(clock):
    """Return the lists of two routers, which know the same engines."""
    lists = [EngineList(clock), EngineList(clock)]
    for engines in lists:
        engines.replace_all([engine("a"), engine("b")])
    return lists


def take(to, engines, clock, revision):
    import_engines(to, export_engines(engines, ColdEngines(clock=clock)), revision)


def test_an_engine_that_does_not_renew_its_registration_is_gone_at_both_routers(lists, clock):
    teller, taker = lists
    teller.remove("a", clock.now + RENEWAL_GRACE_S)
    clock.now += 1.0
    take(taker, teller, clock, 7)
    assert names(taker) == ["a", "b"]
    clock.now += RENEWAL_GRACE_S - 1.0 + 0.01
    assert names(teller) == ["b"]
    assert names(taker) == ["b"]


def test_an_engine_that_renews_its_registration_stays_at_both_routers(lists, clock):
    teller, taker = lists
    teller.remove("a", clock.now + RENEWAL_GRACE_S)
    take(taker, teller, clock, 7)
    teller.register(engine("a"))
    take(taker, teller, clock, 8)
    clock.now += 2 * RENEWAL_GRACE_S
    assert names(taker) == ["a", "b"]


def test_routers_that_tell_each_other_of_a_lapsed_registration_do_not_keep_it(lists, clock):
    lists[0].remove("a", clock.now + RENEWAL_GRACE_S)
    for revision in range(30):
        teller, taker = lists if revision % 2 == 0 else reversed(lists)
        clock.now += RENEWAL_GRACE_S / 20
        take(taker, teller, clock, revision)
    assert [names(engines) for engines in lists] == [["b"], ["b"]]


@pytest.mark.parametrize("renewal_ms", [-1, 10**12])
def test_a_time_out_of_range_does_not_keep_an_engine(lists, clock, renewal_ms):
    entry = EngineEntry("a", "s", "1.1.1.1:97", "zone", 8, False, 1, renewal_ms=renewal_ms)
    _, taker = lists
    import_engines(taker, (entry,), 7)
    clock.now += RENEWAL_GRACE_S + 0.01
    assert names(taker) == []
