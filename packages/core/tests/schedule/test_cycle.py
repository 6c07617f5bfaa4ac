import schedule_harness as harness

from peridothatch_core.model import agents, steps, tables
from peridothatch_core.schedule import cycle, last_attempt, progress, state


def test_a_step_waits_for_the_steps_before_it():
    item = harness.job("a", harness.step(), harness.step(after=(0,)))
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    assert [part.step for part in item.progress if part.runs] == [0]
    harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.DONE)
    assert [part.step for part in item.progress if part.runs] == [1]
    harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.DONE)
    harness.run(own)
    assert item.state is steps.JobState.COMPLETED


def test_a_gang_starts_whole_or_not_at_all():
    item = harness.job("a", harness.step(3, 8, gang=True))
    own = harness.scheduler([item], [harness.agent("n1"), harness.agent("n2")])
    harness.run(own)
    assert not harness.open_runs(item)
    own.agents["n3"] = harness.agent("n3")
    harness.run(own)
    assert {run.attempt for run in harness.open_runs(item)} == {1}
    assert len(harness.open_runs(item)) == 3


def test_workers_are_never_ordered_more_than_they_have():
    items = [harness.job(f"j{number}", harness.step(5, 3)) for number in range(4)]
    nodes = [harness.agent("n1"), harness.agent("n2", capacity=steps.Demand(8_000, 256_000, 8))]
    own = harness.scheduler(items, nodes)
    harness.run(own)
    for node, entries in own.runs.items():
        capacity = own.agents[node].worker.capacity
        demands = [job.steps[part.step].demand for job, part, _ in entries]
        assert sum(demand.accelerators for demand in demands) <= capacity.accelerators
        assert sum(demand.cpu_millis for demand in demands) <= capacity.cpu_millis


def test_a_stopping_run_keeps_its_room_until_its_end():
    # A worker refuses what does not fit while the old run is being killed.
    item = harness.job("a", harness.step(1, 8))
    other = harness.job("b", harness.step(1, 8), submitted_ms=harness.NOW_MS + 1)
    own = harness.scheduler([item, other], [harness.agent("n1")])
    harness.run(own)
    own.cancelled.add("a")
    harness.run(own)
    assert harness.open_runs(item)[0].stopping
    assert not harness.open_runs(other)
    harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.STOPPED)
    assert len(harness.open_runs(other)) == 1


def test_labels_affinity_and_spread_are_kept():
    near = harness.step(2, 1, affinity="r2", spread_limit=1, requires="a")
    item = harness.job("a", near)
    nodes = [
        harness.agent("n1"),
        harness.agent("n2", rack="r2"),
        harness.agent("n3", rack="r2"),
        harness.agent("n4", rack="r2", kind="b"),
    ]
    own = harness.scheduler([item], nodes)
    harness.run(own)
    assert sorted(run.node for run in harness.open_runs(item)) == ["n2", "n3"]


def test_nothing_starts_on_draining_evacuated_foreign_or_silent_workers():
    item = harness.job("a")
    nodes = [
        harness.agent("n1", state=agents.WorkerState.DRAINING),
        harness.agent("n2", zone="tema-b"),
        harness.agent("n3", service="print"),
        harness.agent("n4", hold_until_ms=harness.NOW_MS + 1_000),
    ]
    own = harness.scheduler([item], nodes)
    own.evacuated = frozenset({"tema-b"})
    harness.run(own)
    assert not harness.open_runs(item)


def test_a_job_fails_when_one_task_has_failed_as_often_as_it_may():
    item = harness.job("a", max_attempts=2)
    own = harness.scheduler([item], [harness.agent(f"n{number}") for number in range(4)])
    harness.run(own)
    now_ms = harness.NOW_MS
    for _ in range(2):
        assert item.state is steps.JobState.RUNNING
        harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.FAILED, now_ms=now_ms)
        for _ in range(2):
            now_ms += last_attempt.PROOF_PATIENCE_MS
            harness.renew(own, now_ms)
            harness.run(own, now_ms)
    assert item.state is steps.JobState.FAILED
    assert not harness.open_runs(item)


def test_runs_that_did_not_fail_do_not_count_as_attempts():
    item = harness.job("a", max_attempts=1)
    own = harness.scheduler([item], [harness.agent("n1")])
    now_ms = harness.NOW_MS
    kinds = (steps.EndKind.LOST, steps.EndKind.LAPSED, steps.EndKind.REJECTED)
    for kind in (*kinds, steps.EndKind.STOPPED):
        harness.run(own, now_ms)
        harness.end(own, item, harness.open_runs(item)[0], kind, now_ms=now_ms)
        now_ms += 1_000
        harness.renew(own, now_ms)
    assert item.state is steps.JobState.RUNNING


def test_a_gang_with_two_failed_members_has_failed_once():
    item = harness.job("a", harness.step(2, gang=True), max_attempts=2)
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    for _ in range(2):
        harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.FAILED)
    assert item.progress[0].failures == [1]
    assert item.state is steps.JobState.RUNNING


def test_the_checkpoint_of_an_ended_run_goes_into_the_next_order():
    item = harness.job("a", harness.step(checkpointing=True))
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    changes = harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.STOPPED, saved="c7")
    orders = [value for _, value in changes["a"].writes if isinstance(value, steps.Order)]
    assert [(order.attempt, order.checkpoint) for order in orders] == [(2, "c7")]


def test_a_lapsed_lease_is_declared_before_its_runs_are_started_again():
    # An agent may renew until the declaration is in the store, so the runs stay open till then.
    item = harness.job("a")
    nodes = [harness.agent("n1"), harness.agent("n2", state=agents.WorkerState.ABSENT)]
    own = harness.scheduler([item], nodes)
    harness.run(own)
    later = harness.NOW_MS + 20_000
    own.agents["n2"] = harness.agent("n2", hold_until_ms=later + harness.HOLD_MS)
    harness.run(own, later)
    assert list(own.lapsing) == ["n1"]
    assert [run.node for run in harness.open_runs(item)] == ["n1"]
    own.agents["n1"] = own.lapsing.pop("n1")
    harness.run(own, later)
    assert [(run.node, run.attempt) for run in harness.open_runs(item)] == [("n2", 2)]


def test_a_run_on_a_lapsed_lease_resumes_from_the_reported_checkpoint():
    item = harness.job("a", harness.step(checkpointing=True))
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    report = agents.RunReport("a.0.0.0", 1, "c3", 50)
    own.agents["n1"] = harness.agent("n1", lapses=1, runs=(report,))
    harness.run(own)
    assert item.progress[0].saved == ["c3"]


def test_a_broken_gang_does_not_wait_for_a_reported_member_on_a_silent_agent():
    # The gang of a removed machine waited 11.5 s for the lapse of its agent's lease.
    item = harness.job("a", harness.step(2, 8, gang=True))
    own = harness.scheduler([item], [harness.agent("n1"), harness.agent("n2")])
    harness.run(own)
    gone = next(run for run in harness.open_runs(item) if run.node == "n2")
    task = f"a.0.0.{gone.index}"
    silent = harness.NOW_MS + harness.HOLD_MS - 4_000
    own.agents["n2"] = harness.agent(
        "n2", hold_until_ms=silent, runs=(agents.RunReport(task, 1, "", 10),)
    )
    other = next(run for run in harness.open_runs(item) if run.node == "n1")
    harness.end(own, item, other, steps.EndKind.BROKEN)
    assert not harness.open_runs(item)


def test_an_unreported_member_of_a_broken_gang_is_waited_for():
    # Its start may still be carried out late.
    item = harness.job("a", harness.step(2, 8, gang=True))
    own = harness.scheduler([item], [harness.agent("n1"), harness.agent("n2")])
    harness.run(own)
    silent = harness.NOW_MS + harness.HOLD_MS - 4_000
    own.agents["n2"] = harness.agent("n2", hold_until_ms=silent)
    other = next(run for run in harness.open_runs(item) if run.node == "n1")
    harness.end(own, item, other, steps.EndKind.BROKEN)
    assert [run.node for run in harness.open_runs(item)] == ["n2"]


def test_a_member_whose_own_end_is_known_is_not_told_to_stop():
    # A stop for a run that had ended cost two more calls and a second end.
    item = harness.job("a", harness.step(2, gang=True))
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    for index in range(2):
        task = f"a.0.0.{index}"
        own.ends[f"e/{task}/1"] = steps.End(task, 1, "n1", steps.EndKind.LOST)
    changes = harness.run(own)
    stops = [key for key, _ in changes["a"].writes if key.key.endswith(tables.STOP_SUFFIX)]
    assert not stops
    assert {run.attempt for run in harness.open_runs(item)} == {2}


def test_the_members_of_a_gang_that_lost_one_are_stopped():
    item = harness.job("a", harness.step(2, gang=True))
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.REJECTED)
    assert [run.stopping for run in harness.open_runs(item)] == [True]


def test_occurrences_start_when_they_are_due():
    timetable = steps.Timetable(harness.UNIX_MS + 500, 1_000, 2)
    item = harness.job("a", timetable=timetable)
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    assert not harness.open_runs(item)
    harness.run(own, unix_ms=harness.UNIX_MS + 500)
    assert [part.occurrence for part in item.progress] == [0]
    harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.DONE)
    assert item.state is steps.JobState.RUNNING


def test_long_running_tasks_are_started_again_however_they_end():
    item = harness.job("a", harness.step(long_running=True), max_attempts=1)
    own = harness.scheduler([item], [harness.agent(f"n{number}") for number in range(3)])
    now_ms = harness.NOW_MS
    harness.run(own)
    for kind in (steps.EndKind.FAILED, steps.EndKind.DONE, steps.EndKind.FAILED):
        harness.end(own, item, harness.open_runs(item)[0], kind, now_ms=now_ms)
        now_ms += 1_000
        harness.renew(own, now_ms)
        harness.run(own, now_ms)
        assert len(harness.open_runs(item)) == 1
    assert item.state is steps.JobState.RUNNING


def test_an_end_that_belongs_to_no_open_run_is_removed_and_changes_nothing():
    item = harness.job("a")
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    own.ends["e/a.0.0.0/9"] = steps.End("a.0.0.0", 9, "n1", steps.EndKind.DONE)
    changes = harness.run(own)
    assert changes["a"].spare == [tables.end("a.0.0.0", 9)]
    assert item.state is steps.JobState.RUNNING


def test_ended_jobs_are_removed_when_their_state_has_been_readable_for_long_enough():
    item = harness.job("a", state=steps.JobState.COMPLETED, ended_ms=harness.NOW_MS - 120_001)
    own = harness.scheduler([item])
    assert harness.run(own)["a"].drop


def test_a_worker_on_which_two_jobs_fail_is_left_out_for_a_while():
    items = [harness.job(f"j{number}") for number in range(2)]
    own = harness.scheduler(items, [harness.agent("n1"), harness.agent("n2"), harness.agent("n3")])
    harness.run(own)
    bad = {harness.open_runs(item)[0].node for item in items}
    assert len(bad) == 1
    for item in items:
        harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.FAILED)
    harness.run(own, harness.NOW_MS + 200)
    assert bad.isdisjoint({run.node for item in items for run in harness.open_runs(item)})
    assert set(own.health.until) == bad


LATER_MS = harness.NOW_MS + 1


def _two_racks():
    return [
        harness.agent("n1", rack="r1"),
        harness.agent("n2", rack="r1"),
        harness.agent("n3", rack="r2"),
        harness.agent("n4", rack="r2"),
    ]


def test_a_gang_waits_for_a_rack_rather_than_run_spread_and_slow():
    # Urgent gangs spread over racks took three times as long and were late.
    busy = harness.job("busy", harness.step(2, 8, affinity="r1", spread_limit=1))
    half = harness.job("half", harness.step(1, 8, affinity="r2"))
    gang = harness.job(
        "gang",
        harness.step(2, 8, gang=True, same_rack=True, estimate_ms=10_000),
        submitted_ms=LATER_MS,
    )
    own = harness.scheduler([busy, half, gang], _two_racks())
    own.agents["n5"] = harness.agent("n5", rack="r3")
    harness.run(own)
    assert not harness.open_runs(gang)
    harness.end(own, half, harness.open_runs(half)[0], steps.EndKind.DONE)
    assert {run.node for run in harness.open_runs(gang)} == {"n3", "n4"}


def test_a_gang_is_spread_when_the_wait_has_cost_as_much():
    busy = harness.job("busy", harness.step(2, 8, affinity="r1", spread_limit=1))
    half = harness.job("half", harness.step(1, 8, affinity="r2"))
    gang = harness.job(
        "gang",
        harness.step(2, 8, gang=True, same_rack=True, estimate_ms=4_000),
        submitted_ms=LATER_MS,
    )
    own = harness.scheduler([busy, half, gang], _two_racks())
    own.agents["n5"] = harness.agent("n5", rack="r3")
    harness.run(own)
    later = harness.NOW_MS + 4_000
    harness.renew(own, later)
    harness.run(own, later)
    assert len(harness.open_runs(gang)) == 2


def test_a_gang_larger_than_any_rack_is_spread_at_once():
    gang = harness.job("gang", harness.step(3, 8, gang=True, same_rack=True))
    own = harness.scheduler([gang], _two_racks())
    harness.run(own)
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
    own = harness.scheduler(
        [busy, half, gang], _two_racks(), guaranteed={"ministry": 24, "hotels": 16}
    )
    own.agents["n5"] = harness.agent("n5", rack="r3")
    harness.run(own)
    assert {run.node for run in harness.open_runs(gang)} == {"n4", "n5"}


def test_a_step_that_waits_says_why_but_not_in_every_cycle():
    gang = harness.job("gang", harness.step(2, 8, gang=True))
    own = harness.scheduler([gang], [harness.agent("n1")])
    noted = []
    for now_ms in (0, 100, 200, 2_100):
        cycle.run(own, harness.NOW_MS + now_ms, harness.UNIX_MS)
        noted += [note.detail for note in own.events if note.kind == "waiting"]
        own.events.clear()
    assert len(noted) == 2
    assert "8 accelerators each; 8 are free on 1 workers" in noted[0]


def test_failures_that_follow_each_other_wait_longer_each_time():
    # A gang used up its attempts within a second on workers that failed whatever they started.
    item = harness.job("a", harness.step(2, 4, gang=True))
    own = harness.scheduler([item], [harness.agent(f"n{number}") for number in range(4)])
    harness.run(own)
    now_ms = harness.NOW_MS
    first_ms, second_ms = progress.FAILURE_DELAYS_MS[:2]
    _fail_gang(own, item, now_ms)
    harness.run(own, now_ms + first_ms - 1)
    assert not harness.open_runs(item)
    now_ms += first_ms
    harness.renew(own, now_ms)
    harness.run(own, now_ms)
    assert len(harness.open_runs(item)) == 2
    _fail_gang(own, item, now_ms)
    # The last attempt waits for a worker that has shown itself sound as well.
    for later_ms in (second_ms - 1, second_ms, second_ms + last_attempt.PROOF_PATIENCE_MS - 1):
        harness.renew(own, now_ms + later_ms)
        harness.run(own, now_ms + later_ms)
        assert not harness.open_runs(item)
    now_ms += second_ms + last_attempt.PROOF_PATIENCE_MS
    harness.renew(own, now_ms)
    harness.run(own, now_ms)
    assert len(harness.open_runs(item)) == 2


def test_a_worker_on_which_another_job_has_just_failed_is_used_last():
    first = harness.job("a")
    own = harness.scheduler([first], [harness.agent("n1"), harness.agent("n2")])
    harness.run(own)
    failed_on = harness.open_runs(first)[0].node
    harness.end(own, first, harness.open_runs(first)[0], steps.EndKind.FAILED)
    other = harness.job("b")
    state.add_job(own, other, 9)
    harness.run(own)
    assert harness.open_runs(other)[0].node != failed_on


def _fail_gang(own, item, now_ms):
    first, second = harness.open_runs(item)
    harness.end(own, item, first, steps.EndKind.FAILED, now_ms=now_ms)
    harness.end(own, item, second, steps.EndKind.BROKEN, now_ms=now_ms)


def test_filling_tasks_and_serving_tasks_share_no_worker():
    # A filling task pushes the latency of a serving one on its worker over its target.
    filling = harness.job("fill", harness.step(2, 0, fills=True))
    serving = harness.job("serve", harness.step(1, 0, target_ms=50, long_running=True))
    own = harness.scheduler([serving, filling], [harness.agent("n1"), harness.agent("n2")])
    harness.run(own)
    (served,) = {run.node for run in harness.open_runs(serving)}
    assert served not in {run.node for run in harness.open_runs(filling)}


def test_filling_tasks_make_way_for_a_serving_one_that_has_no_other_place():
    filling = harness.job("fill", harness.step(1, 0, fills=True))
    own = harness.scheduler([filling], [harness.agent("n1")])
    harness.run(own)
    serving = harness.job("serve", harness.step(1, 0, target_ms=50, long_running=True))
    state.add_job(own, serving, 9)
    harness.run(own)
    assert harness.open_runs(filling)[0].stopping
    assert len(harness.open_runs(serving)) == 1


def test_a_gang_uses_the_fewest_workers():
    # Each worker more is one more whose loss ends the whole gang.
    gang = harness.job("gang", harness.step(4, 2, gang=True))
    small = steps.Demand(64_000, 256_000, 2)
    nodes = [harness.agent(f"n{number}", capacity=small) for number in range(3)]
    nodes.append(harness.agent("n3"))
    own = harness.scheduler([gang], nodes)
    harness.run(own)
    assert {run.node for run in harness.open_runs(gang)} == {"n3"}
