"""Incrementally updated rankings agree with full rankings."""

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramspool import hashing
from marjoramspool.placement.ranking import Rankings

names = st.sets(st.sampled_from([f"router-{n}" for n in range(12)]), min_size=1)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(names, min_size=1, max_size=12))
def test_the_top_name_equals_that_of_a_full_ranking(changes):
    rankings = Rankings()
    for present in changes:
        rankings.update(present)
        for key in range(5):
            top = rankings.top_names(key)
            assert top[0] == hashing.rank(key, present)[0]
            assert set(top) <= present


def test_removing_a_name_moves_only_its_own_keys():
    routers = {f"router-{n}" for n in range(10)}
    before = {key: hashing.rank(key, routers)[0] for key in range(500)}
    after = {key: hashing.rank(key, routers - {"router-3"})[0] for key in range(500)}
    moved = [key for key in before if before[key] != after[key]]
    assert {before[key] for key in moved} == {"router-3"}
