"""The order of waiting jobs in a full fleet, with and without a few large customers."""

import random

import pytest
import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.order import fair_share
from peridothatch_core.schedule import expected, state, turns

UNEQUAL = {"large": 64, "small": 8, "other": 8}
SECONDS = 10.0


def _add(scheduler, *jobs):
    for job in jobs:
        state.add_job(scheduler, job, 50)
    return jobs


def _wide(job_id, customer, submitted_ms, accelerators=8, **changes):
    return harness.job(
        job_id, harness.step(1, accelerators), priority=changes.pop("priority", 2),
        customer=customer, submitted_ms=submitted_ms, **changes,
    )  # fmt: skip


def _scheduler(workers=0, guaranteed=UNEQUAL, learned=True):
    """Return a scheduler that has learned that tasks of each customer take ten seconds."""
    scheduler = harness.make_scheduler([], [harness.agent("teacher")], guaranteed)
    for customer in (*UNEQUAL, "without") if learned else ():
        like = harness.job("", customer=customer)
        harness.learn(scheduler, like, 3 * [SECONDS], harness.NOW_MS - 30_000)
    nodes = [harness.agent(f"n{number}") for number in range(workers)]
    scheduler.jobs.clear()
    scheduler.agents = {row.node: row for row in nodes}
    return scheduler


def _names(scheduler, protected=()):
    """Return the jobs in the order in which they are offered workers; there are no workers."""
    harness.run(scheduler)
    assert all(job.progress for job in scheduler.jobs.values())
    return [job.id for job in turns.by_urgency(scheduler, set(protected), harness.NOW_MS)]


@pytest.mark.parametrize("guaranteed", [{}, {"large": 64}, {"large": 16, "small": 8, "other": 8}])
def test_without_a_few_large_customers_jobs_start_in_order_of_arrival(guaranteed):
    # Deployments with customers of similar size must be served exactly as before.
    rng = random.Random(7)
    scheduler = _scheduler(guaranteed=guaranteed)
    for number in range(200):
        customer = rng.choice([*UNEQUAL, "without"])
        submitted_ms = harness.NOW_MS - rng.randrange(200_000)
        priority = rng.randrange(3)
        _add(scheduler, _wide(f"j{number}", customer, submitted_ms, priority=priority))
    protected = set(rng.sample(sorted(scheduler.jobs), 10))
    expected = sorted(
        scheduler.jobs.values(),
        key=lambda job: (job.id not in protected, job.priority, job.submitted_ms, job.id),
    )
    assert _names(scheduler, protected=protected) == [job.id for job in expected]


def test_a_small_customer_takes_the_next_room_after_the_burst_of_a_large_one():
    # A burst took all workers for as long as it lasted, because jobs started as they arrived.
    scheduler = _scheduler(workers=8)
    burst = _add(
        scheduler, *(_wide(f"l{number}", "large", harness.NOW_MS) for number in range(30))
    )
    harness.run_renewed(scheduler, harness.NOW_MS)
    now_ms = harness.NOW_MS + 2_000
    (small,) = _add(scheduler, _wide("small", "small", now_ms))
    running = [job for job in burst if harness.open_runs(job)]
    assert len(running) == 8
    harness.renew(scheduler, now_ms)
    harness.run(scheduler, now_ms)
    run = harness.open_runs(running[0])[0]
    harness.end(scheduler, running[0], run, steps.EndKind.DONE, now_ms=now_ms + 1_000)
    assert [run.node for run in harness.open_runs(small)] == [run.node]


def test_jobs_within_their_customers_guarantee_come_first():
    scheduler = _scheduler()
    _add(
        scheduler,
        _wide("first", "small", harness.NOW_MS - 20, priority=0),
        _wide("earlier", "large", harness.NOW_MS - 10, priority=0),
        _wide("later", "large", harness.NOW_MS - 5, priority=0),
    )
    assert _names(scheduler, protected=["earlier", "later"]) == ["earlier", "later", "first"]
    assert _names(scheduler) == ["first", "earlier", "later"]


def test_with_a_few_large_customers_late_jobs_come_last_and_small_customers_first():
    scheduler = _scheduler()
    _add(
        scheduler,
        _wide("late", "small", harness.NOW_MS - 40_000),
        *(_wide(f"large{number}", "large", harness.NOW_MS - 9 + number) for number in range(3)),
        _wide("small", "small", harness.NOW_MS),
    )
    assert _names(scheduler) == ["large0", "small", "large1", "large2", "late"]


def test_priorities_come_before_turns():
    scheduler = _scheduler()
    _add(
        scheduler,
        _wide("wide", "small", harness.NOW_MS),
        _wide("middle", "large", harness.NOW_MS, priority=1),
    )
    assert _names(scheduler) == ["middle", "wide"]


@pytest.mark.parametrize(
    ("waited_ms", "prospect", "is_due"),
    [
        (0, fair_share.Prospect.ON_TIME, False),
        (20_400, fair_share.Prospect.ON_TIME, False),
        (20_600, fair_share.Prospect.LATE, False),
        (70_000, fair_share.Prospect.LATE, False),
        (72_000, fair_share.Prospect.LATE, True),
        (82_000, fair_share.Prospect.TOO_LATE, True),
    ],
)
def test_the_prospect_of_a_job_follows_from_its_expected_run_time(
    waited_ms, prospect, is_due, monkeypatch
):
    # An objective of 30.5 s and 10 s of work leave 20.5 s; after 81.5 s the job ends too late.
    # The run time is exact here; a learned one is known up to the width of its bin.
    monkeypatch.setattr(expected, "run_seconds", lambda *_: SECONDS)
    scheduler = _scheduler()
    (job,) = _add(scheduler, _wide("job", "small", harness.NOW_MS - waited_ms))
    harness.run(scheduler)
    waiting = turns.describe(scheduler, job, 8, harness.NOW_MS)
    assert waiting.prospect is prospect
    assert waiting.is_due is is_due
    assert waiting.latest_start_ms == pytest.approx(job.submitted_ms + 20_500)


def test_a_job_whose_run_time_is_not_known_counts_as_on_time():
    # A declared duration may be a tenth of the true one, so that the job would seem late.
    scheduler = _scheduler(learned=False)
    step = harness.step(1, 8, estimate_ms=10)
    (job,) = _add(scheduler, harness.job("job", step, submitted_ms=harness.NOW_MS - 50_000))
    waiting = turns.describe(scheduler, job, 8, harness.NOW_MS)
    assert waiting.prospect is fair_share.Prospect.ON_TIME
    assert not waiting.is_due


def test_work_of_lower_priority_does_not_count_as_used():
    scheduler = _scheduler(workers=8)
    _add(
        scheduler,
        _wide("wide", "small", harness.NOW_MS),
        _wide("middle", "small", harness.NOW_MS, 4, priority=1),
        _wide("late", "large", harness.NOW_MS - 25_000, 2),
    )
    harness.run(scheduler)
    assert turns.usage(scheduler, 1).accelerators == {"small": 4}
    assert turns.accelerators_in_use(scheduler) == {"small": 12, "large": 2}
    usage = turns.usage(scheduler, 2)
    assert usage.accelerators == {"small": 12, "large": 2}
    assert usage.guaranteed == UNEQUAL
    assert usage.out_of_turn == {"large"}
    assert usage.late_runs
