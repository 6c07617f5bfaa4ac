import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.schedule import state


def _urgent_gang(job_id, accelerators, submitted_ms):
    gang = harness.step(2, accelerators, gang=True, same_rack=True)
    return harness.job(job_id, gang, priority=0, submitted_ms=submitted_ms)


def _full_racks():
    """Return a scheduler with two racks that are full of borrowed work, and their jobs."""
    low = [harness.job(f"low{number}", harness.step(8, 1), priority=2) for number in (1, 2)]
    nodes = [harness.agent("n1", rack="r1"), harness.agent("n2", rack="r2")]
    scheduler = harness.make_scheduler(low, nodes, {"ministry": 12})
    harness.run(scheduler)
    assert [{run.node for run in harness.open_runs(job)} for job in low] == [{"n1"}, {"n2"}]
    return scheduler, low


def _stopping(jobs):
    return [run for job in jobs for run in harness.open_runs(job) if run.stopping]


def _with_two_waiting_gangs():
    """Return a scheduler in which work is being stopped for two guaranteed gangs, and all jobs."""
    scheduler, low = _full_racks()
    first, second = _urgent_gang("first", 2, 1), _urgent_gang("second", 4, 2)
    for job in (first, second):
        state.add_job(scheduler, job, 50)
        harness.run(scheduler)
    assert [run.node for run in _stopping(low)] == ["n1"] * 4 + ["n2"] * 8
    return scheduler, low, first, second


def test_room_freed_for_one_guaranteed_gang_is_not_taken_by_another():
    # Guards against urgent jobs that begin late in a burst: in each cycle, a gang could plan on
    # the room that was being freed for another one, which then stopped more work and waited again.
    scheduler, low, first, second = _with_two_waiting_gangs()
    ended = next(run for run in harness.open_runs(low[0]) if not run.stopping)
    harness.end(scheduler, low[0], ended, steps.EndKind.DONE)
    assert len(_stopping(low)) == 12
    for job in low:
        for run in [run for run in harness.open_runs(job) if run.stopping]:
            harness.end(scheduler, job, run, steps.EndKind.STOPPED)
    assert {run.node for run in harness.open_runs(first)} == {"n1"}
    assert {run.node for run in harness.open_runs(second)} == {"n2"}


def test_room_is_freed_elsewhere_when_the_worker_is_lost():
    scheduler, low, first, second = _with_two_waiting_gangs()
    del scheduler.agents["n2"]
    harness.run(scheduler)
    assert [run.node for run in _stopping(low[:1])] == ["n1"] * 4
    scheduler.agents["n3"] = harness.agent("n3", rack="r3")
    harness.run(scheduler)
    # The first gang fits on the new worker at once; its room goes to the second one.
    assert {run.node for run in harness.open_runs(first)} == {"n3"}
    assert not harness.open_runs(second)
    assert [run.node for run in _stopping(low[:1])] == ["n1"] * 8


def test_a_guaranteed_job_may_take_the_room_that_is_freed_for_another_job():
    scheduler, low = _full_racks()
    borrowing = harness.job(
        "borrowing", harness.step(1, 8), priority=0, customer="hotels", submitted_ms=1
    )
    state.add_job(scheduler, borrowing, 50)
    harness.run(scheduler)
    (node,) = {run.node for run in _stopping(low)}
    state.add_job(scheduler, harness.job("urgent", harness.step(1, 8), priority=0), 51)
    harness.run(scheduler)
    for run in _stopping(low):
        if run.node == node:
            job = next(job for job in low if run in harness.open_runs(job))
            harness.end(scheduler, job, run, steps.EndKind.STOPPED)
    assert [run.node for run in harness.open_runs(scheduler.jobs["urgent"])] == [node]


def test_a_cancelled_job_keeps_no_room():
    scheduler, low, first, second = _with_two_waiting_gangs()
    scheduler.cancelled.add("second")
    harness.run(scheduler)
    assert [key[0] for key in scheduler.reservations] == ["first"]
