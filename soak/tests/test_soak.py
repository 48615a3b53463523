"""A short soak of one seed, and the draw of the troubles."""

from soak.faults import FAULT_KINDS, draw_faults
from soak.run import run_seed

SEED = 4
ROUTERS = 3
LENGTH_S = 6.0


async def test_a_short_soak_holds_every_promise(tmp_path):
    assert await run_seed(SEED, ROUTERS, LENGTH_S, tmp_path) == []


def test_a_seed_draws_the_same_troubles_again_and_many_seeds_draw_all_kinds():
    assert draw_faults(SEED, 20.0) == draw_faults(SEED, 20.0)
    drawn = {fault.kind for seed in range(20) for fault in draw_faults(seed, 20.0)}
    assert drawn == set(FAULT_KINDS)
