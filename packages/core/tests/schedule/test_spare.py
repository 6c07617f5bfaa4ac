"""A full fleet of work with slack in which urgent gangs arrive that need whole workers."""

import dataclasses
import random

import pytest
import schedule_harness as harness

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import cycle, state

URGENT_SECONDS = 5.0
MIDDLE_SECONDS = 13.6
WIDE_SECONDS = 12.2
TICK_MS = 250


def _urgent(job_id, submitted_ms, count=5, **changes):
    return harness.job(
        job_id, harness.step(count, 8, cpu=15_000, gang=True), priority=0, queue="urgent",
        customer="hotels", slack_factor=1.5, submitted_ms=submitted_ms, **changes,
    )  # fmt: skip


def _middle(job_id, submitted_ms, count=1, accelerators=8, **changes):
    changes.setdefault("objective_ms", 1_200)
    step = harness.step(
        count, accelerators, cpu=52_000, gang=count > 1,
        checkpointing=changes.pop("checkpointing", False),
    )  # fmt: skip
    return harness.job(
        job_id, step, priority=1, queue="middle", submitted_ms=submitted_ms, **changes
    )


def _wide(job_id, submitted_ms, checkpointing):
    step = harness.step(8, 1, cpu=5_000, checkpointing=checkpointing)
    return harness.job(
        job_id, step, priority=2, queue="wide", submitted_ms=submitted_ms, objective_ms=3_000
    )


def _scheduler(workers, guaranteed=None):
    nodes = [harness.agent(f"n{number}") for number in range(workers)]
    return harness.make_scheduler([], nodes, guaranteed or {"ministry": 0, "hotels": 0})


def _learn_all(scheduler, rng=None, now_ms=harness.NOW_MS):
    for like, seconds in (
        (_urgent("", 0), URGENT_SECONDS),
        (_middle("", 0), MIDDLE_SECONDS),
        (_wide("", 0, False), WIDE_SECONDS),
    ):
        spread = [rng.uniform(0.9, 1.1) if rng else 1.0 for _ in range(8)]
        now_ms = harness.learn(scheduler, like, [seconds * factor for factor in spread], now_ms)
    return now_ms


def _add(scheduler, job):
    state.add_job(scheduler, job, 50)
    return job


def _is_stopping(job):
    return any(run.stopping for run in harness.open_runs(job))


def _full_fleet(scheduler, rng, now_ms):
    """Fill 28 workers with middle gangs and 4 with wide jobs; return the jobs and the time."""
    saves = [True, True, False, False]
    rng.shuffle(saves)
    jobs = [
        *(
            _middle(f"middle-{number}", 0, 7, checkpointing=each)
            for number, each in enumerate(saves)
        ),
        *(_wide(f"wide-{number}", 0, rng.random() < 0.45) for number in range(4)),
    ]
    rng.shuffle(jobs)
    for job in jobs:
        job.submitted_ms = now_ms
        _add(scheduler, job)
        harness.run_renewed(scheduler, now_ms)
        assert harness.open_runs(job)
        now_ms += rng.randrange(400, 800)
    return jobs, now_ms


def _play(scheduler, rng, now_ms, end_ms):
    """Let runs end after about the learned time, and stopped runs a moment after their stop."""
    seconds = {"urgent": URGENT_SECONDS, "middle": MIDDLE_SECONDS, "wide": WIDE_SECONDS}
    due_ms, saved_ms = {}, {}
    while now_ms < end_ms:
        now_ms += TICK_MS
        harness.run_renewed(scheduler, now_ms)
        for entries in list(scheduler.runs.values()):
            for job, _, run in list(entries):
                key = (job.id, run.index)
                whole = 1000 * seconds[job.queue] * rng.uniform(0.95, 1.05)
                due = due_ms.setdefault(
                    (*key, run.attempt), run.ordered_ms + whole - saved_ms.get(key, 0)
                )
                if run.stopping:
                    if job.steps[0].checkpointing:
                        saved_ms[key] = saved_ms.get(key, 0) + now_ms - run.ordered_ms
                    harness.end(scheduler, job, run, steps.EndKind.STOPPED, "saved", now_ms)
                elif now_ms >= due:
                    harness.end(scheduler, job, run, steps.EndKind.DONE, now_ms=now_ms)
        harness.renew(scheduler, now_ms)


def _is_on_time(job):
    objective_ms = 1000 * job.slack_factor * {
        "urgent": URGENT_SECONDS, "middle": MIDDLE_SECONDS, "wide": WIDE_SECONDS
    }[job.queue] + job.objective_ms  # fmt: skip
    return (
        job.state is steps.JobState.COMPLETED and job.ended_ms - job.submitted_ms <= objective_ms
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_burst_of_urgent_gangs_meets_its_objectives_at_the_expense_of_work_with_slack(seed):
    # Urgent gangs waited up to 7.7 s because too much work would have been lost, although the
    # objectives of that work were tens of seconds away.
    rng = random.Random(seed)
    scheduler = _scheduler(32)
    now_ms = _learn_all(scheduler, rng)
    jobs, now_ms = _full_fleet(scheduler, rng, now_ms)
    urgent = [_add(scheduler, _urgent(f"urgent-{number}", now_ms)) for number in range(2)]
    _play(scheduler, rng, now_ms, now_ms + 60_000)
    assert [job.id for job in urgent if not _is_on_time(job)] == []
    assert [job.id for job in jobs if not _is_on_time(job)] == []


def _learned_scheduler(workers, guaranteed=None, rng=None):
    scheduler = _scheduler(workers, guaranteed)
    return scheduler, _learn_all(scheduler, rng)


def _start_all(scheduler, jobs, now_ms):
    for job in jobs:
        _add(scheduler, job)
    harness.run_renewed(scheduler, now_ms)
    assert all(harness.open_runs(job) for job in jobs)


def _five_workers_of_work(scheduler, now_ms, waited_ms):
    """Fill five workers; 1624 core-seconds are lost 1.8 s later, of a gang that needs 1975."""
    jobs = [_middle(f"middle-{number}", now_ms - waited_ms) for number in range(5)]
    _start_all(scheduler, jobs, now_ms)
    _add(scheduler, _urgent("urgent", now_ms + 2_200))
    harness.run_renewed(scheduler, now_ms + 2_200)
    return jobs


def test_more_work_may_be_lost_if_its_owners_still_meet_their_objectives():
    scheduler, now_ms = _learned_scheduler(5)
    jobs = _five_workers_of_work(scheduler, now_ms, waited_ms=0)
    assert all(_is_stopping(job) for job in jobs)


def test_the_log_tells_that_work_stops_on_account_of_its_slack():
    scheduler, now_ms = _learned_scheduler(1)
    _start_all(scheduler, [_middle("middle", now_ms)], now_ms)
    _add(scheduler, _urgent("urgent", now_ms, count=1))
    scheduler.events.clear()
    cycle.run(scheduler, now_ms, harness.UNIX_MS)
    kinds = [event.kind for event in scheduler.events if event.job in ("urgent", "middle")]
    assert kinds == ["preempting on slack", "stopping"]


def test_no_more_work_than_before_is_lost_if_an_owner_would_miss_its_objective():
    scheduler, now_ms = _learned_scheduler(5)
    jobs = _five_workers_of_work(scheduler, now_ms, waited_ms=25_000)
    assert not any(_is_stopping(job) for job in jobs)


def test_no_more_work_than_before_is_lost_without_finished_runs():
    # A declaration may be wrong by a factor of ten, so that it proves no slack.
    jobs = _five_workers_of_work(_scheduler(5), harness.NOW_MS, waited_ms=0)
    assert not any(_is_stopping(job) for job in jobs)


def test_no_more_work_than_before_is_lost_for_a_job_that_is_late_anyway():
    scheduler, now_ms = _learned_scheduler(5)
    jobs = [_middle(f"middle-{number}", now_ms) for number in range(5)]
    _start_all(scheduler, jobs, now_ms)
    _add(scheduler, _urgent("urgent", now_ms - 1_000))
    harness.run_renewed(scheduler, now_ms + 1_800)
    assert not any(_is_stopping(job) for job in jobs)


def test_a_gang_is_lost_as_a_whole():
    # The loss of one member on a worker looks small, but the work of all five is lost.
    scheduler, now_ms = _learned_scheduler(5)
    gang = _middle("gang", now_ms, count=5)
    _start_all(scheduler, [gang], now_ms)
    _add(scheduler, _urgent("urgent", now_ms + 1_000, count=1))
    harness.run_renewed(scheduler, now_ms + 1_000)
    assert not _is_stopping(gang)


def _with_work_about_to_end(guaranteed=None, rng=None):
    """Return a scheduler with an urgent job, and work that ends in 1 s and in 13 s."""
    scheduler, now_ms = _learned_scheduler(2, guaranteed, rng)
    ending, begun = _middle("ending", now_ms), _middle("begun", now_ms + 11_600)
    _start_all(scheduler, [ending], now_ms)
    now_ms += 11_600
    _start_all(scheduler, [begun], now_ms)
    now_ms += 1_000
    urgent = _add(scheduler, _urgent("urgent", now_ms, count=1))
    harness.run_renewed(scheduler, now_ms)
    return scheduler, now_ms, ending, begun, urgent


def test_work_that_ends_in_time_for_an_urgent_job_is_left_to_end_and_its_place_is_kept():
    scheduler, now_ms, ending, begun, urgent = _with_work_about_to_end()
    assert not _is_stopping(ending)
    assert not _is_stopping(begun)
    _add(scheduler, _wide("wide", 1, checkpointing=False))
    run = harness.open_runs(ending)[0]
    harness.end(scheduler, ending, run, steps.EndKind.DONE, now_ms=now_ms + 1_000)
    assert [run.node for run in harness.open_runs(urgent)] == [run.node]


def test_other_work_is_stopped_once_an_urgent_job_can_wait_no_longer():
    scheduler, now_ms, ending, begun, _ = _with_work_about_to_end()
    harness.run_renewed(scheduler, now_ms + 2_200)
    assert not _is_stopping(ending)
    assert _is_stopping(begun)


def test_work_that_reports_to_be_complete_is_not_awaited_for_ever():
    # No time remains by its report, however long it hangs.
    scheduler, now_ms, ending, begun, _ = _with_work_about_to_end()
    run = harness.open_runs(ending)[0]
    reports = (agents.RunReport("ending.0.0.0", run.attempt, "", 100),)
    scheduler.agents[run.node] = dataclasses.replace(scheduler.agents[run.node], runs=reports)
    harness.run_renewed(scheduler, now_ms + 1_000)
    assert not _is_stopping(begun)
    harness.run_renewed(scheduler, now_ms + 1_990)
    assert _is_stopping(begun)


def test_a_guaranteed_job_does_not_wait_for_work_that_is_about_to_end():
    # All tasks of a job within its guarantee must begin within 2.7 s, whatever runs.
    _, _, ending, begun, _ = _with_work_about_to_end({"hotels": 8})
    assert _is_stopping(begun) or _is_stopping(ending)


def test_a_gang_that_makes_room_on_many_workers_is_stopped_rather_than_dearer_single_tasks():
    # Worker by worker, the single tasks are cheaper, but together they exceed the limit.
    scheduler, now_ms = _learned_scheduler(12)
    gang = _middle("gang", now_ms, count=7, checkpointing=True)
    wide = [_wide(f"wide-{number}", now_ms, checkpointing=False) for number in range(5)]
    _start_all(scheduler, [gang, *wide], now_ms)
    _add(scheduler, _urgent("urgent", now_ms + 3_000))
    harness.run_renewed(scheduler, now_ms + 3_000)
    assert _is_stopping(gang)
    assert not any(_is_stopping(job) for job in wide)
