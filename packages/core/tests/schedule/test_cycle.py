import schedule_harness as harness

from peridothatch_core.model import agents, steps, tables
from peridothatch_core.schedule import cycle, last_attempt, progress, state


def test_a_step_waits_for_the_steps_before_it():
    job = harness.job("a", harness.step(), harness.step(after=(0,)))
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    assert [part.step for part in job.progress if part.runs] == [0]
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.DONE)
    assert [part.step for part in job.progress if part.runs] == [1]
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.DONE)
    harness.run(scheduler)
    assert job.state is steps.JobState.COMPLETED


def test_a_gang_starts_whole_or_not_at_all():
    job = harness.job("a", harness.step(3, 8, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1"), harness.agent("n2")])
    harness.run(scheduler)
    assert not harness.open_runs(job)
    scheduler.agents["n3"] = harness.agent("n3")
    harness.run(scheduler)
    assert {run.attempt for run in harness.open_runs(job)} == {1}
    assert len(harness.open_runs(job)) == 3


def test_orders_never_exceed_the_capacity_of_a_worker():
    jobs = [harness.job(f"j{number}", harness.step(5, 3)) for number in range(4)]
    nodes = [harness.agent("n1"), harness.agent("n2", capacity=steps.Demand(8_000, 256_000, 8))]
    scheduler = harness.make_scheduler(jobs, nodes)
    harness.run(scheduler)
    for node, entries in scheduler.runs.items():
        capacity = scheduler.agents[node].worker.capacity
        demands = [job.steps[part.step].demand for job, part, _ in entries]
        assert sum(demand.accelerators for demand in demands) <= capacity.accelerators
        assert sum(demand.cpu_millis for demand in demands) <= capacity.cpu_millis


def test_a_stopping_run_keeps_its_resources_until_its_end():
    # A worker rejects runs that do not fit while the previous run is being killed.
    job = harness.job("a", harness.step(1, 8))
    other = harness.job("b", harness.step(1, 8), submitted_ms=harness.NOW_MS + 1)
    scheduler = harness.make_scheduler([job, other], [harness.agent("n1")])
    harness.run(scheduler)
    scheduler.cancelled.add("a")
    harness.run(scheduler)
    assert harness.open_runs(job)[0].stopping
    assert not harness.open_runs(other)
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.STOPPED)
    assert len(harness.open_runs(other)) == 1


def test_labels_affinity_and_spread_limits_are_respected():
    step = harness.step(2, 1, affinity="r2", spread_limit=1, requires="a")
    job = harness.job("a", step)
    nodes = [
        harness.agent("n1"),
        harness.agent("n2", rack="r2"),
        harness.agent("n3", rack="r2"),
        harness.agent("n4", rack="r2", kind="b"),
    ]
    scheduler = harness.make_scheduler([job], nodes)
    harness.run(scheduler)
    assert sorted(run.node for run in harness.open_runs(job)) == ["n2", "n3"]


def test_nothing_starts_on_draining_evacuated_foreign_or_silent_workers():
    job = harness.job("a")
    nodes = [
        harness.agent("n1", state=agents.WorkerState.DRAINING),
        harness.agent("n2", zone="tema-b"),
        harness.agent("n3", service="print"),
        harness.agent("n4", hold_until_ms=harness.NOW_MS + 1_000),
    ]
    scheduler = harness.make_scheduler([job], nodes)
    scheduler.evacuated = frozenset({"tema-b"})
    harness.run(scheduler)
    assert not harness.open_runs(job)


def test_a_job_fails_when_a_task_has_used_up_its_attempts():
    job = harness.job("a", max_attempts=2)
    scheduler = harness.make_scheduler([job], [harness.agent(f"n{number}") for number in range(4)])
    harness.run(scheduler)
    now_ms = harness.NOW_MS
    for _ in range(2):
        assert job.state is steps.JobState.RUNNING
        harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.FAILED, now_ms=now_ms)
        for _ in range(2):
            now_ms += last_attempt.HEALTHY_WORKER_WAIT_MS
            harness.renew(scheduler, now_ms)
            harness.run(scheduler, now_ms)
    assert job.state is steps.JobState.FAILED
    assert not harness.open_runs(job)


def test_runs_that_did_not_fail_do_not_count_as_attempts():
    job = harness.job("a", max_attempts=1)
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    now_ms = harness.NOW_MS
    kinds = (steps.EndKind.LOST, steps.EndKind.LAPSED, steps.EndKind.REJECTED)
    for kind in (*kinds, steps.EndKind.STOPPED):
        harness.run(scheduler, now_ms)
        harness.end(scheduler, job, harness.open_runs(job)[0], kind, now_ms=now_ms)
        now_ms += 1_000
        harness.renew(scheduler, now_ms)
    assert job.state is steps.JobState.RUNNING


def test_a_gang_with_two_failed_members_has_failed_once():
    job = harness.job("a", harness.step(2, gang=True), max_attempts=2)
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    for _ in range(2):
        harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.FAILED)
    assert job.progress[0].failures == [1]
    assert job.state is steps.JobState.RUNNING


def test_the_checkpoint_of_an_ended_run_goes_into_the_next_order():
    job = harness.job("a", harness.step(checkpointing=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    changes = harness.end(
        scheduler, job, harness.open_runs(job)[0], steps.EndKind.STOPPED, saved="c7"
    )
    orders = [value for _, value in changes["a"].writes if isinstance(value, steps.Order)]
    assert [(order.attempt, order.checkpoint) for order in orders] == [(2, "c7")]


def test_a_lapsed_lease_is_declared_before_its_runs_are_started_again():
    # The agent may renew its lease until the lapse is committed, so its runs stay open until then.
    job = harness.job("a")
    nodes = [harness.agent("n1"), harness.agent("n2", state=agents.WorkerState.ABSENT)]
    scheduler = harness.make_scheduler([job], nodes)
    harness.run(scheduler)
    later = harness.NOW_MS + 20_000
    scheduler.agents["n2"] = harness.agent("n2", hold_until_ms=later + harness.HOLD_MS)
    harness.run(scheduler, later)
    assert list(scheduler.lapsing) == ["n1"]
    assert [run.node for run in harness.open_runs(job)] == ["n1"]
    scheduler.agents["n1"] = scheduler.lapsing.pop("n1")
    harness.run(scheduler, later)
    assert [(run.node, run.attempt) for run in harness.open_runs(job)] == [("n2", 2)]


def test_a_run_on_a_lapsed_lease_resumes_from_the_reported_checkpoint():
    job = harness.job("a", harness.step(checkpointing=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    report = agents.RunReport("a.0.0.0", 1, "c3", 50)
    scheduler.agents["n1"] = harness.agent("n1", lapses=1, runs=(report,))
    harness.run(scheduler)
    assert job.progress[0].saved == ["c3"]


def test_a_broken_gang_does_not_wait_for_a_reported_member_on_a_silent_agent():
    # Otherwise a gang waits for the lease of a removed machine to lapse, which took 11.5 s.
    job = harness.job("a", harness.step(2, 8, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1"), harness.agent("n2")])
    harness.run(scheduler)
    lost_member = next(run for run in harness.open_runs(job) if run.node == "n2")
    task = f"a.0.0.{lost_member.index}"
    silent = harness.NOW_MS + harness.HOLD_MS - 4_000
    scheduler.agents["n2"] = harness.agent(
        "n2", hold_until_ms=silent, runs=(agents.RunReport(task, 1, "", 10),)
    )
    other = next(run for run in harness.open_runs(job) if run.node == "n1")
    harness.end(scheduler, job, other, steps.EndKind.BROKEN)
    assert not harness.open_runs(job)


def test_an_unreported_member_of_a_broken_gang_is_waited_for():
    # Its agent may still carry out the start late.
    job = harness.job("a", harness.step(2, 8, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1"), harness.agent("n2")])
    harness.run(scheduler)
    silent = harness.NOW_MS + harness.HOLD_MS - 4_000
    scheduler.agents["n2"] = harness.agent("n2", hold_until_ms=silent)
    other = next(run for run in harness.open_runs(job) if run.node == "n1")
    harness.end(scheduler, job, other, steps.EndKind.BROKEN)
    assert [run.node for run in harness.open_runs(job)] == ["n2"]


def test_no_stop_is_sent_to_a_member_whose_own_end_is_known():
    # A stop of an ended run would cost two more calls and record a second end.
    job = harness.job("a", harness.step(2, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    for index in range(2):
        task = f"a.0.0.{index}"
        scheduler.ends[f"e/{task}/1"] = steps.End(task, 1, "n1", steps.EndKind.LOST)
    changes = harness.run(scheduler)
    stops = [key for key, _ in changes["a"].writes if key.key.endswith(tables.STOP_SUFFIX)]
    assert not stops
    assert {run.attempt for run in harness.open_runs(job)} == {2}


def test_the_members_of_a_gang_that_lost_one_are_stopped():
    job = harness.job("a", harness.step(2, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.REJECTED)
    assert [run.stopping for run in harness.open_runs(job)] == [True]


def test_occurrences_start_when_they_are_due():
    timetable = steps.Timetable(harness.UNIX_MS + 500, 1_000, 2)
    job = harness.job("a", timetable=timetable)
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    assert not harness.open_runs(job)
    harness.run(scheduler, unix_ms=harness.UNIX_MS + 500)
    assert [part.occurrence for part in job.progress] == [0]
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.DONE)
    assert job.state is steps.JobState.RUNNING


def test_long_running_tasks_are_started_again_however_they_end():
    job = harness.job("a", harness.step(long_running=True), max_attempts=1)
    scheduler = harness.make_scheduler([job], [harness.agent(f"n{number}") for number in range(3)])
    now_ms = harness.NOW_MS
    harness.run(scheduler)
    for kind in (steps.EndKind.FAILED, steps.EndKind.DONE, steps.EndKind.FAILED):
        harness.end(scheduler, job, harness.open_runs(job)[0], kind, now_ms=now_ms)
        now_ms += 1_000
        harness.renew(scheduler, now_ms)
        harness.run(scheduler, now_ms)
        assert len(harness.open_runs(job)) == 1
    assert job.state is steps.JobState.RUNNING


def test_an_end_that_belongs_to_no_open_run_is_removed_and_changes_nothing():
    job = harness.job("a")
    scheduler = harness.make_scheduler([job], [harness.agent("n1")])
    harness.run(scheduler)
    scheduler.ends["e/a.0.0.0/9"] = steps.End("a.0.0.0", 9, "n1", steps.EndKind.DONE)
    changes = harness.run(scheduler)
    assert changes["a"].deferred_deletes == [tables.end_key("a.0.0.0", 9)]
    assert job.state is steps.JobState.RUNNING


def test_final_jobs_are_deleted_after_the_retention_time():
    job = harness.job("a", state=steps.JobState.COMPLETED, ended_ms=harness.NOW_MS - 120_001)
    scheduler = harness.make_scheduler([job])
    assert harness.run(scheduler)["a"].delete_job


def test_a_worker_on_which_two_jobs_fail_is_ejected():
    jobs = [harness.job(f"j{number}") for number in range(2)]
    scheduler = harness.make_scheduler(
        jobs, [harness.agent("n1"), harness.agent("n2"), harness.agent("n3")]
    )
    harness.run(scheduler)
    bad = {harness.open_runs(job)[0].node for job in jobs}
    assert len(bad) == 1
    for job in jobs:
        harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.FAILED)
    harness.run(scheduler, harness.NOW_MS + 200)
    assert bad.isdisjoint({run.node for job in jobs for run in harness.open_runs(job)})
    assert set(scheduler.health.ejected_until) == bad


LATER_MS = harness.NOW_MS + 1


def _two_racks():
    return [
        harness.agent("n1", rack="r1"),
        harness.agent("n2", rack="r1"),
        harness.agent("n3", rack="r2"),
        harness.agent("n4", rack="r2"),
    ]


def test_a_gang_waits_for_a_rack_rather_than_run_spread_and_slow():
    # Urgent gangs that are spread over racks take three times as long and miss their objectives.
    busy = harness.job("busy", harness.step(2, 8, affinity="r1", spread_limit=1))
    half = harness.job("half", harness.step(1, 8, affinity="r2"))
    gang = harness.job(
        "gang",
        harness.step(2, 8, gang=True, same_rack=True, estimate_ms=10_000),
        submitted_ms=LATER_MS,
    )
    scheduler = harness.make_scheduler([busy, half, gang], _two_racks())
    scheduler.agents["n5"] = harness.agent("n5", rack="r3")
    harness.run(scheduler)
    assert not harness.open_runs(gang)
    harness.end(scheduler, half, harness.open_runs(half)[0], steps.EndKind.DONE)
    assert {run.node for run in harness.open_runs(gang)} == {"n3", "n4"}


def test_a_gang_is_spread_after_its_locality_wait():
    busy = harness.job("busy", harness.step(2, 8, affinity="r1", spread_limit=1))
    half = harness.job("half", harness.step(1, 8, affinity="r2"))
    gang = harness.job(
        "gang",
        harness.step(2, 8, gang=True, same_rack=True, estimate_ms=4_000),
        submitted_ms=LATER_MS,
    )
    scheduler = harness.make_scheduler([busy, half, gang], _two_racks())
    scheduler.agents["n5"] = harness.agent("n5", rack="r3")
    harness.run(scheduler)
    later = harness.NOW_MS + 4_000
    harness.renew(scheduler, later)
    harness.run(scheduler, later)
    assert len(harness.open_runs(gang)) == 2


def test_a_gang_larger_than_any_rack_is_spread_at_once():
    gang = harness.job("gang", harness.step(3, 8, gang=True, same_rack=True))
    scheduler = harness.make_scheduler([gang], _two_racks())
    harness.run(scheduler)
    assert len(harness.open_runs(gang)) == 3


def test_a_guaranteed_gang_does_not_wait_for_a_rack():
    busy = harness.job("busy", harness.step(2, 8, spread_limit=1, affinity="r1"), priority=0)
    half = harness.job("half", harness.step(1, 8, affinity="r2"), priority=0)
    gang = harness.job(
        "gang",
        harness.step(2, 8, gang=True, same_rack=True),
        priority=0,
        customer="hotels",
        submitted_ms=LATER_MS,
    )
    scheduler = harness.make_scheduler(
        [busy, half, gang], _two_racks(), guaranteed={"ministry": 24, "hotels": 16}
    )
    scheduler.agents["n5"] = harness.agent("n5", rack="r3")
    harness.run(scheduler)
    assert {run.node for run in harness.open_runs(gang)} == {"n4", "n5"}


def test_waiting_steps_are_logged_with_the_reason_at_a_limited_rate():
    gang = harness.job("gang", harness.step(2, 8, gang=True))
    scheduler = harness.make_scheduler([gang], [harness.agent("n1")])
    details = []
    for now_ms in (0, 100, 200, 2_100):
        cycle.run(scheduler, harness.NOW_MS + now_ms, harness.UNIX_MS)
        details += [note.detail for note in scheduler.events if note.kind == "waiting"]
        scheduler.events.clear()
    assert len(details) == 2
    assert "8 accelerators each; 8 are free on 1 workers" in details[0]


def test_the_retry_delay_grows_with_each_failure():
    # Without growing delays a gang uses up its attempts on faulty workers within a second.
    job = harness.job("a", harness.step(2, 4, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent(f"n{number}") for number in range(4)])
    harness.run(scheduler)
    now_ms = harness.NOW_MS
    first_ms, second_ms = progress.FAILURE_DELAYS_MS[:2]
    _fail_gang(scheduler, job, now_ms)
    harness.run(scheduler, now_ms + first_ms - 1)
    assert not harness.open_runs(job)
    now_ms += first_ms
    harness.renew(scheduler, now_ms)
    harness.run(scheduler, now_ms)
    assert len(harness.open_runs(job)) == 2
    _fail_gang(scheduler, job, now_ms)
    # The last attempt also waits for a healthy worker.
    for later_ms in (
        second_ms - 1,
        second_ms,
        second_ms + last_attempt.HEALTHY_WORKER_WAIT_MS - 1,
    ):
        harness.renew(scheduler, now_ms + later_ms)
        harness.run(scheduler, now_ms + later_ms)
        assert not harness.open_runs(job)
    now_ms += second_ms + last_attempt.HEALTHY_WORKER_WAIT_MS
    harness.renew(scheduler, now_ms)
    harness.run(scheduler, now_ms)
    assert len(harness.open_runs(job)) == 2


def test_a_worker_on_which_another_job_has_just_failed_is_used_last():
    first = harness.job("a")
    scheduler = harness.make_scheduler([first], [harness.agent("n1"), harness.agent("n2")])
    harness.run(scheduler)
    failed_on = harness.open_runs(first)[0].node
    harness.end(scheduler, first, harness.open_runs(first)[0], steps.EndKind.FAILED)
    other = harness.job("b")
    state.add_job(scheduler, other, 9)
    harness.run(scheduler)
    assert harness.open_runs(other)[0].node != failed_on


def _fail_gang(scheduler, job, now_ms):
    first, second = harness.open_runs(job)
    harness.end(scheduler, job, first, steps.EndKind.FAILED, now_ms=now_ms)
    harness.end(scheduler, job, second, steps.EndKind.BROKEN, now_ms=now_ms)


def test_filling_tasks_and_serving_tasks_share_no_worker():
    # A filling task pushes the latency of a serving task on the same worker over its target.
    filling = harness.job("fill", harness.step(2, 0, fills=True))
    serving = harness.job("serve", harness.step(1, 0, target_ms=50, long_running=True))
    scheduler = harness.make_scheduler(
        [serving, filling], [harness.agent("n1"), harness.agent("n2")]
    )
    harness.run(scheduler)
    (served,) = {run.node for run in harness.open_runs(serving)}
    assert served not in {run.node for run in harness.open_runs(filling)}


def test_filling_tasks_stop_for_a_serving_task_that_fits_nowhere_else():
    filling = harness.job("fill", harness.step(1, 0, fills=True))
    scheduler = harness.make_scheduler([filling], [harness.agent("n1")])
    harness.run(scheduler)
    serving = harness.job("serve", harness.step(1, 0, target_ms=50, long_running=True))
    state.add_job(scheduler, serving, 9)
    harness.run(scheduler)
    assert harness.open_runs(filling)[0].stopping
    assert len(harness.open_runs(serving)) == 1


def test_a_gang_uses_the_fewest_workers():
    # The loss of any one of its workers ends the whole gang.
    gang = harness.job("gang", harness.step(4, 2, gang=True))
    small = steps.Demand(64_000, 256_000, 2)
    nodes = [harness.agent(f"n{number}", capacity=small) for number in range(3)]
    nodes.append(harness.agent("n3"))
    scheduler = harness.make_scheduler([gang], nodes)
    harness.run(scheduler)
    assert {run.node for run in harness.open_runs(gang)} == {"n3"}


def test_an_end_without_an_open_run_is_reported():
    # A discarded end left no trace in the log, so a job that lost one could not be explained.
    job = harness.job("a")
    scheduler = harness.make_scheduler([job])
    task = steps.task_name("a", 0, 0, 0)
    scheduler.ends["e"] = steps.End(task, 2, "n1", steps.EndKind.DONE)
    cycle.run(scheduler, harness.NOW_MS, harness.UNIX_MS)
    found = [event for event in scheduler.events if event.kind == "unmatched end"]
    assert [(event.job, event.task, event.attempt) for event in found] == [("a", task, 2)]
