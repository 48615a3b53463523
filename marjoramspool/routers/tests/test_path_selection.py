"""Which router is asked by one of the product's own interface that reaches no target."""

import pytest

from marjoramspool.membership import Member, Membership, State
from marjoramspool.routers.path_selection import (
    AVOIDED_S,
    MAX_OUTSTANDING,
    UNSUPPORTED_S,
    WITHOUT_PATH_S,
    PathSelection,
)

SERVICE = "s"


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def member(number, domain, state=State.ALIVE):
    return Member(f"r{number}", f"127.0.0.1:{number}", domain, "", 1, state)


@pytest.fixture
def selection():
    clock = FakeClock()
    membership = Membership(member(0, "near"), clock)
    for number in range(1, 7):
        membership.merge(member(number, "near" if number < 4 else "far"))
    return PathSelection(membership, clock)


def peer(selection, number):
    return selection.membership.members[f"r{number}"]


def selected(selection, exclude=()):
    chosen = [selection.select(SERVICE, set(exclude)) for _ in range(60)]
    return {peer.name for peer in chosen if peer}


def test_routers_of_the_own_domain_go_first(selection):
    assert selected(selection) == {"r1", "r2", "r3"}


def test_routers_with_much_to_do_are_relieved(selection):
    for number in range(1, 4):
        selection.record_accepted(peer(selection, number), 30)
    assert selected(selection) == {"r4", "r5", "r6"}


def test_a_domain_whose_routers_have_no_path_is_left_for_another(selection):
    selection.record_without_path(peer(selection, 1), SERVICE)
    assert selected(selection) == {"r4", "r5", "r6"}
    assert selection.select("another service", set()).name in {"r1", "r2", "r3"}
    selection.clock.now += WITHOUT_PATH_S
    assert selected(selection) == {"r1", "r2", "r3"}


def test_routers_of_a_domain_without_a_path_are_asked_if_no_other_is_left(selection):
    selection.record_without_path(peer(selection, 1), SERVICE)
    assert selected(selection, ["r4", "r5", "r6"]) == {"r2", "r3"}


def test_targets_that_are_down_for_everyone_are_not_sought_on_and_on(selection):
    for number in (1, 4, 5):
        selection.record_without_path(peer(selection, number), SERVICE)
    assert selected(selection) == set()


def test_routers_that_cannot_serve_are_passed_over_for_a_time(selection):
    selection.record_unreachable(peer(selection, 1))
    selection.record_unsupported(peer(selection, 2))
    selection.outstanding["r3"] = MAX_OUTSTANDING
    selection.membership.merge(member(4, "far", State.LEFT))
    assert selected(selection, ["r5"]) == {"r6"}
    selection.clock.now += AVOIDED_S
    assert selected(selection) == {"r1"}
    selection.clock.now += UNSUPPORTED_S
    assert selected(selection) == {"r1", "r2"}
