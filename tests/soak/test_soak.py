"""A short seeded run of the soak, and the plan that a seed gives."""

import soak_plan
import soak_run

SEED = 3


def test_a_seed_gives_the_same_plan_each_time():
    assert soak_plan.make(SEED) == soak_plan.make(SEED)
    assert soak_plan.make(SEED) != soak_plan.make(SEED + 1)


async def test_promises_are_kept_under_faults(tmp_path):
    seen = await soak_run.run(SEED, tmp_path, soak_plan.make(SEED, faults=4, jobs=6))
    assert seen.breaches == []
    assert seen.accepted
    assert seen.starts
