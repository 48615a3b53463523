"""A short soak of one seed, and the generation of faults from seeds."""

from soak.faults import FAULT_KINDS, FIRST_SEEDS, draw_faults
from soak.run import run_seed

SEED = 4
ROUTERS = 3
LENGTH_S = 6.0


async def test_short_soak_violates_no_invariant(tmp_path):
    assert await run_seed(SEED, ROUTERS, LENGTH_S, tmp_path) == []


def test_fault_generation_is_deterministic_and_covers_all_kinds():
    assert draw_faults(SEED, 20.0) == draw_faults(SEED, 20.0)
    for first in {0, *FIRST_SEEDS.values()}:
        drawn = {f.kind for seed in range(first, first + 30) for f in draw_faults(seed, 20.0)}
        assert drawn == {kind for kind in FAULT_KINDS if FIRST_SEEDS.get(kind, 0) <= first}
