import dataclasses

import schedule_harness as harness

from peridothatch_core.model import desired, steps
from peridothatch_core.schedule import preemption, state


def _with_borrowed_work(checkpointing=(False, False)):
    """Return a scheduler whose two workers are fully used by borrowed work, and its jobs."""
    jobs = [
        harness.job(f"low{number}", harness.step(1, 8, checkpointing=saves))
        for number, saves in enumerate(checkpointing)
    ]
    scheduler = harness.make_scheduler(
        jobs, [harness.agent("n1"), harness.agent("n2")], {"ministry": 8, "hotels": 0}
    )
    harness.run(scheduler)
    assert all(len(harness.open_runs(job)) == 1 for job in jobs)
    return scheduler, jobs


def _urgent(job_id="urgent", customer="ministry", accelerators=8):
    return harness.job(
        job_id, harness.step(1, accelerators), priority=0, customer=customer,
        submitted_ms=harness.NOW_MS + 10,
    )  # fmt: skip


def _add_job(scheduler, job):
    state.add_job(scheduler, job, 50)


def test_a_guaranteed_job_stops_borrowed_work_and_starts_when_it_has_ended():
    scheduler, jobs = _with_borrowed_work()
    urgent = _urgent()
    _add_job(scheduler, urgent)
    harness.run(scheduler)
    stopping = [run for job in jobs for run in harness.open_runs(job) if run.stopping]
    assert len(stopping) == 1
    victim = next(job for job in jobs if harness.open_runs(job)[0].stopping)
    harness.end(scheduler, victim, harness.open_runs(victim)[0], steps.EndKind.STOPPED)
    assert len(harness.open_runs(urgent)) == 1
    assert not harness.open_runs(victim)


def test_work_that_resumes_from_a_checkpoint_is_stopped_first():
    scheduler, jobs = _with_borrowed_work(checkpointing=(False, True))
    _add_job(scheduler, _urgent())
    harness.renew(scheduler, harness.NOW_MS + 2_000)
    harness.run(scheduler, harness.NOW_MS + 2_000)
    assert [harness.open_runs(job)[0].stopping for job in jobs] == [False, True]


def test_later_cycles_stop_no_more_runs_while_one_is_stopping():
    scheduler, jobs = _with_borrowed_work()
    _add_job(scheduler, _urgent())
    for _ in range(3):
        harness.run(scheduler)
    assert sum(harness.open_runs(job)[0].stopping for job in jobs) == 1


def test_an_urgent_job_beyond_the_guarantee_stops_less_urgent_work_with_a_small_loss():
    # Otherwise urgent jobs wait for work of lower priority that has just begun, up to 24 s.
    scheduler, jobs = _with_borrowed_work()
    _add_job(scheduler, _urgent(customer="hotels"))
    harness.renew(scheduler, harness.NOW_MS + 2_000)
    harness.run(scheduler, harness.NOW_MS + 2_000)
    assert sum(harness.open_runs(job)[0].stopping for job in jobs) == 1


def test_an_urgent_job_beyond_the_guarantee_causes_no_large_loss():
    scheduler, jobs = _with_borrowed_work()
    _add_job(scheduler, _urgent(customer="hotels"))
    harness.renew(scheduler, harness.NOW_MS + 15_000)
    harness.run(scheduler, harness.NOW_MS + 15_000)
    assert not any(harness.open_runs(job)[0].stopping for job in jobs)


def test_an_urgent_job_beyond_the_guarantee_stops_no_other_urgent_one():
    scheduler = harness.make_scheduler([], [harness.agent("n1")], {"hotels": 0})
    first = _urgent("first", customer="hotels")
    _add_job(scheduler, first)
    harness.run(scheduler)
    _add_job(scheduler, _urgent("second", customer="hotels"))
    harness.run(scheduler)
    assert not harness.open_runs(first)[0].stopping


def test_a_job_of_lower_priority_stops_nothing():
    scheduler, jobs = _with_borrowed_work()
    _add_job(scheduler, harness.job("third", harness.step(1, 8)))
    harness.run(scheduler)
    assert not any(harness.open_runs(job)[0].stopping for job in jobs)


def test_urgent_jobs_within_the_guarantee_are_not_stopped_for_each_other():
    scheduler, _ = _with_borrowed_work()
    first = _urgent("first", accelerators=4)
    _add_job(scheduler, first)
    second = _urgent("second", accelerators=4)
    _add_job(scheduler, second)
    assert preemption.protected_jobs(scheduler) == {"first", "second"}
    _add_job(scheduler, _urgent("third", accelerators=4))
    assert preemption.protected_jobs(scheduler) == {"first", "second"}


def test_a_job_beyond_the_guarantee_takes_it_from_no_earlier_one():
    # Guards against guaranteed jobs that wait, or are stopped for jobs of other customers, because
    # their customer submits more: none of its jobs was guaranteed then.
    scheduler, jobs = _with_borrowed_work()
    first = _urgent("first", accelerators=8)
    later = harness.job("later", harness.step(1, 8), priority=0, submitted_ms=harness.NOW_MS + 11)
    for job in (first, later):
        _add_job(scheduler, job)
    now_ms = harness.NOW_MS + 15_000
    harness.renew(scheduler, now_ms)
    harness.run(scheduler, now_ms)
    # Work of 15 s is stopped for guaranteed jobs only.
    assert sum(harness.open_runs(job)[0].stopping for job in jobs) == 1
    assert preemption.protected_jobs(scheduler) == {"first"}


def test_a_job_that_fits_is_guaranteed_beside_an_earlier_one_that_exceeds_the_guarantee():
    scheduler = harness.make_scheduler([], [], {"ministry": 8})
    for job in (
        harness.job("wide", harness.step(2, 8), priority=0, submitted_ms=1),
        harness.job("small", harness.step(1, 8), priority=0, submitted_ms=2),
    ):
        _add_job(scheduler, job)
    assert preemption.protected_jobs(scheduler) == {"small"}


def test_a_running_job_that_exceeds_the_guarantee_uses_it():
    wide = harness.job("wide", harness.step(2, 8), priority=0, submitted_ms=1)
    nodes = [harness.agent("n1"), harness.agent("n2")]
    scheduler = harness.make_scheduler([wide], nodes, {"ministry": 8})
    harness.run(scheduler)
    _add_job(scheduler, harness.job("small", harness.step(1, 1), priority=0, submitted_ms=2))
    assert len(harness.open_runs(wide)) == 2
    assert preemption.protected_jobs(scheduler) == set()


def test_resources_freed_by_a_preemption_are_not_taken_by_less_urgent_work():
    scheduler, jobs = _with_borrowed_work()
    small = harness.job("small", harness.step(1, 1), submitted_ms=harness.NOW_MS + 5)
    scheduler.agents["n3"] = harness.agent("n3", capacity=steps.Demand(64_000, 256_000, 4))
    _add_job(scheduler, small)
    wide = harness.job("wide", harness.step(1, 8), priority=0, submitted_ms=harness.NOW_MS + 10)
    _add_job(scheduler, wide)
    harness.run(scheduler)
    assert [run.node for run in harness.open_runs(small)] == ["n3"]
    victim = next(job for job in jobs if harness.open_runs(job)[0].stopping)
    harness.end(scheduler, victim, harness.open_runs(victim)[0], steps.EndKind.STOPPED)
    assert len(harness.open_runs(wide)) == 1


def test_a_gang_is_stopped_whole():
    gang = harness.job("gang", harness.step(2, 8, gang=True))
    scheduler = harness.make_scheduler(
        [gang], [harness.agent("n1"), harness.agent("n2")], {"ministry": 8}
    )
    harness.run(scheduler)
    _add_job(scheduler, _urgent())
    harness.run(scheduler)
    assert [run.stopping for run in harness.open_runs(gang)] == [True, True]


def _with_small_tasks(**changes):
    """Return a scheduler whose worker is fully used by small tasks of the lowest priority."""
    small = harness.job("small", harness.step(12, 1, **changes), priority=2)
    scheduler = harness.make_scheduler([small], [harness.agent("n1")])
    harness.run(scheduler)
    assert len(harness.open_runs(small)) == 8
    return scheduler, small


def test_less_urgent_work_does_not_take_resources_reserved_for_a_wide_task():
    # Gangs waited for 18 s while small tasks of lower priority took all freed resources.
    scheduler, small = _with_small_tasks()
    wide = harness.job("wide", harness.step(1, 8, estimate_ms=4_000), submitted_ms=1)
    _add_job(scheduler, wide)
    now_ms = harness.NOW_MS + 10_000
    harness.renew(scheduler, now_ms)
    harness.run(scheduler, now_ms)
    for run in harness.open_runs(small):
        assert not run.stopping
        harness.end(scheduler, small, run, steps.EndKind.DONE, now_ms=now_ms)
    assert len(harness.open_runs(wide)) == 1


def _idle_fleet():
    nodes = [harness.agent(f"n{number}") for number in range(10)]
    return harness.make_scheduler([], nodes, {"ministry": 0})


def _add_urgent_queue(scheduler):
    queue = desired.Queue("urgent", "h", "/u/", "render", 0, 3, 1.5, 500)
    scheduler.desired = dataclasses.replace(scheduler.desired, queues=(queue,))


def test_work_of_the_lowest_priority_leaves_headroom_for_urgent_jobs():
    # Without headroom small tasks fill all workers, and each urgent job has to stop some of them.
    scheduler = _idle_fleet()
    _add_urgent_queue(scheduler)
    small = harness.job("small", harness.step(200, 1), priority=2)
    _add_job(scheduler, small)
    for _ in range(4):
        harness.run(scheduler)
    left = 80 - len(harness.open_runs(small))
    assert left == 8
    urgent = harness.job("urgent", harness.step(1, 8), priority=0, submitted_ms=1)
    _add_job(scheduler, urgent)
    harness.run(scheduler)
    assert len(harness.open_runs(urgent)) == 1
    assert not any(run.stopping for run in harness.open_runs(small))


def test_without_urgent_queues_there_is_no_headroom():
    scheduler = _idle_fleet()
    small = harness.job("small", harness.step(200, 1), priority=2)
    _add_job(scheduler, small)
    for _ in range(4):
        harness.run(scheduler)
    assert len(harness.open_runs(small)) == 80


def test_a_gang_that_needs_all_workers_starts_on_an_idle_fleet():
    scheduler = _idle_fleet()
    _add_urgent_queue(scheduler)
    everything = harness.job("all", harness.step(10, 8, gang=True))
    _add_job(scheduler, everything)
    harness.run(scheduler)
    assert len(harness.open_runs(everything)) == 10


def test_a_waiting_gang_reserves_resources_only_once():
    # The resources in one rack were reserved, and then those of a plan for all workers as well.
    racks = {"n1": "r1", "n2": "r1", "n3": "r2", "n4": "r2"}
    nodes = [harness.agent(node, rack=rack) for node, rack in racks.items()]
    scheduler = harness.make_scheduler([], nodes, {"ministry": 0})
    low = [harness.job(f"low{number}", harness.step(1, 4), priority=2) for number in range(8)]
    for job in low:
        _add_job(scheduler, job)
    harness.run(scheduler)
    assert all(harness.open_runs(job) for job in low)
    gang = harness.step(2, 8, gang=True, same_rack=True, estimate_ms=1)
    _add_job(scheduler, harness.job("wide", gang, submitted_ms=1))
    small = harness.job("small", harness.step(1, 4), priority=2)
    _add_job(scheduler, small)
    for now_ms in (harness.NOW_MS + 20_000, harness.NOW_MS + 21_000):
        harness.renew(scheduler, now_ms)
        harness.run(scheduler, now_ms)
    # One rack is reserved; resources freed in the other rack are available to less urgent work.
    for node in ("n1", "n3"):
        job = next(job for job in low if harness.open_runs(job)[0].node == node)
        harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.DONE, now_ms=now_ms)
        low.remove(job)
    assert len(harness.open_runs(small)) == 1


def test_an_avoided_worker_is_preempted_if_the_others_cost_too_much():
    scheduler, jobs = _with_borrowed_work(checkpointing=(False, True))
    cheap = harness.open_runs(jobs[1])[0]
    scheduler.health.by_worker[cheap.node] = {"another": harness.NOW_MS / 1000.0}
    _add_job(scheduler, _urgent(customer="hotels"))
    now_ms = harness.NOW_MS + 15_000
    harness.renew(scheduler, now_ms)
    harness.run(scheduler, now_ms)
    assert [harness.open_runs(job)[0].stopping for job in jobs] == [False, True]


def test_nothing_stops_for_an_urgent_job_while_agents_have_not_answered_a_new_leader():
    # A new leader that knows only some of the agents may stop work although others are idle.
    scheduler, jobs = _with_borrowed_work()
    scheduler.unconfirmed = {"n9"}
    scheduler.confirmations_requested_ms = harness.NOW_MS
    _add_job(scheduler, _urgent())
    harness.run(scheduler, harness.NOW_MS + state.CONFIRM_TIMEOUT_MS - 1)
    assert not any(harness.open_runs(job)[0].stopping for job in jobs)
    harness.run(scheduler, harness.NOW_MS + state.CONFIRM_TIMEOUT_MS)
    assert sum(harness.open_runs(job)[0].stopping for job in jobs) == 1
