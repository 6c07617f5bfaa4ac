"""Load: wide jobs on a fleet of 160 workers whose claims share one partition of the store."""

import dataclasses

import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.schedule import pacing, state

WORKERS = 160


def _fleet(*jobs):
    return harness.make_scheduler(jobs, [harness.agent(f"n{n:03d}") for n in range(WORKERS)])


def _wide(job_id, count, priority=2, **changes):
    return harness.job(
        job_id, harness.step(count, 8, **changes), priority=priority, max_attempts=3
    )


def _play(scheduler, jobs, claims_per_second, seconds=4.0):
    """Play cycles of 50 ms in which agents claim at the partition's rate, the oldest first.

    Return the number of withdrawn orders and the highest number of agents that waited.
    """
    most = 0
    for number in range(int(seconds * 20)):
        now_ms = harness.NOW_MS + 50 * number
        harness.run(scheduler, now_ms)
        waiting = _unclaimed(scheduler)
        most = max(most, len({node for _, node, _ in waiting}))
        for _, node, key in waiting[: int(claims_per_second / 20)]:
            _claim(scheduler, node, key, now_ms)
    withdrawn = sum(
        attempts > 1 for job in jobs for part in job.progress for attempts in part.attempts
    )
    return withdrawn, most


def _key(job, part, run_):
    return steps.task_name(job.id, part.occurrence, part.step, run_.index), run_.attempt


def _unclaimed(scheduler):
    return sorted(
        (run_.ordered_ms, node, _key(job, part, run_))
        for node, entries in scheduler.runs.items()
        for job, part, run_ in entries
        if _key(job, part, run_) not in scheduler.claimed_runs
    )


def _claim(scheduler, node, key, now_ms):
    old = scheduler.agents[node]
    row = dataclasses.replace(
        old, hold_until_ms=now_ms + harness.HOLD_MS, claimed=(*old.claimed, key)
    )
    state.update_agent(scheduler, row, scheduler.agent_versions[node] + 1)


def test_a_burst_of_wide_jobs_is_ordered_no_faster_than_its_claims_are_applied():
    # On a calm day of 160 workers the claims of a burst queued for a second, 107 orders were
    # withdrawn although their agents were well, and gangs that lost a member began anew.
    jobs = [_wide(f"job-{number}", 50) for number in range(3)]
    scheduler = _fleet(*jobs)
    withdrawn, most = _play(scheduler, jobs, claims_per_second=100)
    assert withdrawn == 0
    assert most <= pacing.max_nodes(scheduler)
    assert sum(len(harness.open_runs(job)) for job in jobs) == 150


def test_urgent_jobs_are_not_held_back():
    lesser, urgent = _wide("a", 100), _wide("b", 40, priority=0)
    scheduler = _fleet(lesser)
    harness.run(scheduler)
    state.add_job(scheduler, urgent, 9)
    harness.run(scheduler, harness.NOW_MS + 50)
    assert len(harness.open_runs(urgent)) == 40


def test_a_gang_wider_than_the_limit_is_ordered_once_no_other_order_waits():
    gang, small = _wide("a", 60, priority=1, gang=True), _wide("b", 30)
    scheduler = _fleet(small)
    harness.run(scheduler)
    state.add_job(scheduler, gang, 9)
    harness.run(scheduler, harness.NOW_MS + 50)
    assert not harness.open_runs(gang)
    for _, node, key in _unclaimed(scheduler):
        _claim(scheduler, node, key, harness.NOW_MS + 100)
    harness.run(scheduler, harness.NOW_MS + 100)
    assert len(harness.open_runs(gang)) == 60


def test_less_urgent_tasks_wait_behind_a_gang_that_is_held_back():
    # They would take the claims that the gang waits for, again and again.
    first, gang = _wide("a", 10), _wide("b", 35, priority=1, gang=True)
    scheduler = _fleet(first)
    harness.run(scheduler)
    later = _wide("c", 20)
    state.add_job(scheduler, gang, 8)
    state.add_job(scheduler, later, 9)
    harness.run(scheduler, harness.NOW_MS + 50)
    assert not harness.open_runs(gang)
    assert not harness.open_runs(later)


def test_the_limit_falls_while_the_store_is_slow():
    scheduler = _fleet()
    full = pacing.max_nodes(scheduler)
    state.record_write_latency(scheduler, 4 * pacing.SLOW_WRITE_MS)
    assert pacing.max_nodes(scheduler) == full // 4
    state.record_write_latency(scheduler, 5.0)
    assert pacing.max_nodes(scheduler) < full
    for _ in range(20):
        state.record_write_latency(scheduler, 5.0)
    assert pacing.max_nodes(scheduler) == full
