"""Orders to evacuate failure domains, by the versions of the store at which they are told."""

from marjoramspool.engine_state.evacuations import RESTORED_HOLD_S, AllEvacuated, Evacuations
from marjoramspool.store_versions import combine


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def test_an_older_set_never_replaces_a_newer_one():
    evacuations = Evacuations()
    assert evacuations.replace(["a"], combine(1, 20), "store")
    assert not evacuations.replace([], combine(1, 10), "peer")
    evacuations.apply_changes([("a", True)], combine(1, 15))
    assert evacuations.is_evacuated("a")


def test_changes_apply_in_their_order_on_top_of_what_a_peer_told():
    evacuations = Evacuations()
    evacuations.replace(["a"], combine(1, 20), "peer")
    evacuations.apply_changes([("a", False), ("b", False), ("a", True)], combine(1, 30))
    assert evacuations.domains == {"b"}


def test_an_order_that_a_restored_store_lacks_counts_until_it_could_be_repeated():
    clock = Clock()
    evacuations = Evacuations(clock)
    evacuations.replace(["a", "b"], combine(1, 20), "store")
    evacuations.replace(["b"], combine(2, 5), "store")
    assert evacuations.is_evacuated("a")
    clock.now_s = RESTORED_HOLD_S - 0.1
    evacuations.expire()
    assert evacuations.is_evacuated("a")
    clock.now_s = RESTORED_HOLD_S
    evacuations.expire()
    assert not evacuations.is_evacuated("a")
    assert evacuations.is_evacuated("b")


def test_a_repeated_order_is_held_no_longer():
    evacuations = Evacuations()
    evacuations.replace(["a"], combine(1, 20), "store")
    evacuations.replace([], combine(2, 5), "store")
    evacuations.apply_changes([("a", False)], combine(2, 6))
    assert evacuations.domains == {"a"}
    assert not evacuations.held_until


def test_each_domain_that_serves_again_is_announced_once():
    ended = []
    evacuations = Evacuations()
    evacuations.on_ended.append(ended.append)
    evacuations.replace(["a", "b"], combine(1, 20), "store")
    evacuations.replace(["b"], combine(1, 21), "store")
    evacuations.replace([], combine(1, 22), "store")
    assert ended == ["a", "b"]


def test_callers_are_told_to_return_in_time_for_an_answer():
    assert AllEvacuated(30.0, 0.0).retry_after_s == 1.0
    assert AllEvacuated(0.9, 0.5).retry_after_s < 0.31
