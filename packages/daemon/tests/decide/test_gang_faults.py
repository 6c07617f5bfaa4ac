"""Guards against broken gangs, double runs and late starts under faults of every kind.

Two entries plan one data centre with three workers, against a table service, with virtual time.
Faults come at drawn moments: late messages, cut links, pauses, restarts, lost commit answers, a
store that is down, a data centre that is taken out, cancellations. The checks are in conftest.py,
where tasks really start and run.
"""

import hypothesis
from hypothesis import strategies

from peridothatch_core.model import job

FAULTS_END = 120.0
KINDS = ["pause", "restart", "reboot", "cut", "store", "out"]
KINDS += ["cancel", "slow", "island", "split", "flap"]

FAULTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0, FAULTS_END).map(lambda x: round(x, 1)),
        strategies.sampled_from(KINDS),
        strategies.integers(0, 29),
        strategies.sampled_from((1, 4, 8, 15, 30, 70)),
    ),
    max_size=8,
)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32), FAULTS)
def test_jobs_run_whole_and_end(simulate, seed, faults):
    """Guards against any breach under faults, and against a job that never ends after them."""
    world = simulate(seed, faults)
    cancelled = {f"j{target % 6}" for _, kind, target, _ in faults if kind == "cancel"}
    for name in world.seconds:
        found = world.job(name)
        allowed = {job.State.SUCCEEDED} | ({job.State.CANCELLED} if name in cancelled else set())
        assert found.state in allowed, (found, world.counters())
