"""Checks the invariants of placement under random histories, and the rules of preemption."""

import dataclasses
import importlib.util
import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.model import datacentre, job, shape
from peridothatch_core.place import decide, guarantees, slots

_spec = importlib.util.spec_from_file_location(
    "history", pathlib.Path(__file__).parent / "history.py"
)
history = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(history)

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
SUBMIT = strategies.tuples(
    strategies.just("submit"),
    strategies.sampled_from(sorted(history.QUOTAS)),
    strategies.sampled_from(["batch", "batch", "batch", "notice"]),
    strategies.sampled_from(history.SHAPES),
    strategies.booleans(),
)
OTHER = strategies.tuples(
    strategies.sampled_from(
        ["decide", "end", "end", "fail", "stop", "lose", "join", "out", "wait", "refuse"]
    ),
    strategies.integers(0, 50),
)
STEPS = strategies.lists(SUBMIT | OTHER, min_size=5, max_size=60)


def apply(planner, step):
    """Apply one step of a random history."""
    state = planner.state
    running = sorted(state.running)
    match step:
        case ("submit", owner, work_class, gang, checkpointable):
            planner.submit(owner, work_class, gang, checkpointable)
        case ("end", number) if running:
            decide.record_ended(state, running[number % len(running)], planner.now, succeeded=True)
        case ("fail", number) if running:
            job_id = running[number % len(running)]
            cell = state.running[job_id].cells[0]
            if decide.record_failed(state, job_id, (cell.worker,), planner.now):
                planner.requeue(job_id)
            else:
                decide.record_ended(state, job_id, planner.now)
        case ("refuse", number) if running:
            planner.requeue(running[number % len(running)])
        case ("stop", _):
            planner.let_stop()
        case ("lose", number):
            held = decide.record_worker_lost(state, f"w{number % 6}", planner.now)
            for job_id in held[: number % 2]:
                planner.requeue(job_id)
        case ("join", number):
            decide.record_worker_joined(state, history.machine(number % 6), planner.now)
        case ("out", number):
            service = datacentre.Service.OUT if number < 10 else datacentre.Service.IN
            decide.record_config(state, history.snapshot(service), planner.now)
        case ("wait", number):
            planner.now += 60.0 * number
    if step[0] in ("submit", "decide", "wait", "stop"):
        planner.decide()


def run_history(steps):
    """Play a random history and check the invariants after each step."""
    planner = history.Planner()
    for step in steps:
        apply(planner, step)
        planner.check()
    decide.record_config(planner.state, history.snapshot(), planner.now)
    planner.check_reclaimable()


@SETTINGS
@hypothesis.given(STEPS)
def test_random_histories_keep_the_invariants(steps):
    """Guards against double allocation, partly placed gangs, and broken quotas and guarantees.

    At the end, a gang of each idle slot's shape must start after only borrowed work has stopped.
    """
    run_history(steps)


@pytest.mark.parametrize("guard", ["everything fits in slots", "slots in use are rebound"])
def test_a_broken_guard_is_found(monkeypatch, guard):
    """Guards against checks that pass regardless of what the code does."""

    def allocate_anything(ledger, job_id, owner, cells, task):  # noqa: ARG001
        return True

    if guard == "everything fits in slots":
        monkeypatch.setattr(guarantees, "allocate", allocate_anything)
    else:
        monkeypatch.setattr(slots, "is_idle", lambda ledger, slot: True)  # noqa: ARG005
    without_shrinking = hypothesis.settings(SETTINGS, phases=[hypothesis.Phase.generate])
    with pytest.raises(AssertionError):
        without_shrinking(hypothesis.given(STEPS)(run_history))()


def fill(planner, checkpointable=False):
    """Fill all workers with borrowed jobs of customer c; return the jobs."""
    jobs = [planner.submit("c", "batch", history.SHAPES[3], checkpointable) for _ in range(5)]
    planner.decide()
    return jobs


def preempted(decisions):
    return [one.job_id for one in decisions if isinstance(one, decide.Preempt)]


def test_the_job_that_loses_the_least_work_is_preempted_first():
    """Guards against preempting a job without a checkpoint while another job has one."""
    planner = history.Planner(5)
    jobs = fill(planner)
    state = planner.state
    saved, checkpointable_job = jobs[1], jobs[3]
    state.running[saved] = dataclasses.replace(state.running[saved], checkpoint="k")
    state.running[checkpointable_job] = dataclasses.replace(
        state.running[checkpointable_job], checkpointable=True
    )
    planner.submit("b", "batch", history.GUARANTEES[1].shape)
    assert preempted(planner.decide()) == [saved]
    planner.let_stop()
    assert "j6" in {one.job_id for one in planner.decide() if isinstance(one, decide.Place)}


def test_a_recently_preempted_job_is_not_preempted_again():
    """Guards against preempting the same job repeatedly while another one could be stopped."""
    planner = history.Planner(5)
    jobs = fill(planner)
    state = planner.state
    state.running[jobs[0]] = dataclasses.replace(state.running[jobs[0]], checkpoint="k")
    state.preempted_at[jobs[0]] = planner.now - 500
    planner.submit("b", "batch", history.GUARANTEES[1].shape)
    stopped = preempted(planner.decide())
    assert len(stopped) == 1
    assert stopped != [jobs[0]]


def test_urgent_work_stops_borrowed_work_but_not_guaranteed_work():
    """Guards against an urgent job that waits for batch jobs, or that preempts guaranteed work."""
    planner = history.Planner(2)
    kept = planner.submit("a", "batch", history.SHAPES[4])
    planner.decide()
    assert not planner.state.running[kept].borrowed
    planner.submit("c", "notice", history.SHAPES[0])
    assert planner.decide() == []
    planner = history.Planner(2)
    fill(planner)
    planner.submit("c", "notice", history.SHAPES[0])
    assert len(preempted(planner.decide())) == 1


def test_urgent_work_does_not_wait_for_its_customers_quota():
    """Guards against an urgent job that waits while its customer's batch jobs use up the quota."""
    planner = history.Planner(6)
    jobs = [planner.submit("c", "batch", history.SHAPES[3]) for _ in range(5)]
    planner.decide()
    urgent = planner.submit("c", "notice", history.SHAPES[0])
    assert len(preempted(planner.decide())) == 1
    assert urgent not in planner.state.running
    planner.let_stop()
    planner.decide()
    assert urgent in planner.state.running
    assert len(set(jobs) & set(planner.state.running)) == 4
    planner.check()


def test_a_large_job_does_not_starve():
    """Guards against small jobs that get each freed accelerator ahead of a large gang."""
    planner = history.Planner(3)
    large = planner.submit("c", "batch", shape.GangShape(3, shape.TaskShape(8), history.RACK))
    small = []
    state = planner.state
    decide.record_waiting(state, dataclasses.replace(state.waiting[large]), planner.now)
    for _ in range(24):
        small.append(planner.submit("c", "notice", history.SHAPES[0]))
    planner.decide()
    assert large not in state.running
    for _ in range(200):
        planner.now += 30
        planner.submit("c", "batch", history.SHAPES[0])
        if small:
            decide.record_ended(state, small.pop(0), planner.now, succeeded=True)
        small += [d.job_id for d in planner.decide() if isinstance(d, decide.Place)]
        if large in state.running:
            return
    pytest.fail("the large job did not start")


def test_a_data_centre_out_of_service_evacuates_borrowed_work_first():
    """Guards against starts in a data centre out of service, and a wrong order of evacuation."""
    planner = history.Planner(6)
    planner.submit("a", "batch", history.SHAPES[4])
    planner.decide()
    borrowed = [planner.submit("c", "batch", history.SHAPES[0]) for _ in range(4)]
    planner.decide()
    waiting = planner.submit("c", "batch", history.SHAPES[0])
    state = planner.state
    state.others = {"x": decide.OtherCentre(True, 8, (0, 0, 0, 1))}
    decide.record_config(state, history.snapshot(datacentre.Service.OUT), planner.now)
    out = planner.decide()
    assert [one.job_id for one in out if isinstance(one, decide.Evacuate)] == borrowed
    assert decide.Transfer(waiting, "the data centre is out of service", "x") in out
    planner.let_stop()
    later = planner.decide()
    assert [one.job_id for one in later if isinstance(one, decide.Evacuate)] == ["j1"]


def test_a_new_planner_finds_guaranteed_work_in_its_slots():
    """Guards against a new planner that binds slots to other cells than their running work."""
    before = history.Planner(6)
    before.submit("a", "batch", history.SHAPES[4])
    before.submit("b", "batch", history.SHAPES[0])
    before.decide()
    after = history.Planner(0)
    for one in before.state.running.values():
        decide.record_started(after.state, one, after.now)
    for number in reversed(range(6)):
        decide.record_worker_joined(after.state, history.machine(number), after.now)
        after.now += 1
        after.decide()
    assert all(not one.borrowed for one in after.state.running.values())
    after.check()
    after.check_reclaimable()


def test_a_guarantee_that_lost_its_workers_is_reported_as_short():
    """Guards against a guarantee that cannot be kept and is not reported."""
    planner = history.Planner(3)
    for number in (0, 1):
        decide.record_worker_lost(planner.state, f"w{number}", planner.now)
    assert [s.guarantee for s in guarantees.shortfalls(planner.state.ledger)] == ["g-a"]
    decide.record_worker_joined(planner.state, history.machine(0), planner.now)
    planner.now += 10
    planner.decide()
    planner.check()


def test_faulty_workers_are_ejected_and_faulty_jobs_are_not_retried():
    """Guards against a worker on which every job fails, and a job that fails on every worker."""
    planner = history.Planner(6)
    state = planner.state
    for number in range(3):
        assert decide.record_failed(state, f"x{number}", ("w2",), planner.now)
    planner.decide()
    assert state.fleet.machines["w2"].cordoned
    assert decide.record_failed(state, "y", ("w0",), planner.now)
    assert decide.record_failed(state, "y", ("w1",), planner.now)
    assert not decide.record_failed(state, "y", ("w3",), planner.now)
    for name in ("w0", "w1", "w3"):
        assert "y" not in state.faults.by_worker.get(name, {})
    for number in range(3):
        decide.record_failed(state, f"z{number}", ("w4",), planner.now)
    planner.decide()
    assert not state.fleet.machines["w4"].cordoned, "more than the allowed share is ejected"
    planner.now += 601
    planner.decide()
    assert not state.fleet.machines["w2"].cordoned


def test_a_retry_avoids_the_worker_on_which_it_failed():
    """Guards against a faulty worker that attracts retries because its jobs fail at once."""
    planner = history.Planner(3)
    job_id = planner.submit("c", "batch", history.SHAPES[0])
    planner.decide()
    bad = planner.state.running[job_id].cells[0].worker
    decide.record_failed(planner.state, job_id, (bad,), planner.now)
    planner.requeue(job_id)
    planner.decide()
    assert planner.state.running[job_id].cells[0].worker != bad


def test_a_refused_guarantee_states_what_would_fit():
    """Guards against accepting a guarantee that the hardware cannot keep."""
    planner = history.Planner(6)
    planner.decide()
    ledger = planner.state.ledger
    cells = {slot.id: slot.cells for slot in ledger.slots.values()}
    wanted = dataclasses.replace(history.GUARANTEES[1], name="new", count=9)
    refusal = guarantees.check_feasible(ledger, wanted).err()
    assert refusal.expected == "a count of at most 6"
    assert guarantees.check_feasible(ledger, dataclasses.replace(wanted, count=6)).is_ok()
    large = dataclasses.replace(wanted, count=1, shape=shape.GangShape(9, shape.TaskShape(8)))
    assert "a gang of at most 3" in guarantees.check_feasible(ledger, large).err().expected
    assert {slot.id: slot.cells for slot in ledger.slots.values()} == cells


def test_a_job_that_can_never_run_here_is_transferred():
    """Guards against a job that waits forever for hardware that does not exist."""
    planner = history.Planner(2)
    decide.record_waiting(
        planner.state,
        job.Job("big", "c", "batch", shape.GangShape(1, shape.TaskShape(16)), ("x",), "dc", 0, 9),
        planner.now,
    )
    assert planner.decide() == []
    planner.now += 20
    reason = "the workers of the data centre can never hold this gang"
    assert planner.decide() == [decide.Transfer("big", reason)]
    assert planner.decide() == []


def test_a_guaranteed_shape_starts_as_soon_as_its_slot_is_idle():
    """Guards against a pause after a failed search that delays a job although it fits by now."""
    planner = history.Planner()
    first = planner.submit("a", "batch", history.SHAPES[0])
    planner.decide()
    borrowed = planner.submit("a", "batch", history.SHAPES[4])
    planner.decide()
    planner.submit("a", "batch", history.SHAPES[4])
    planner.decide()
    decide.record_ended(planner.state, first, planner.now, succeeded=True)
    assert preempted(planner.decide()) == [borrowed]
    planner.let_stop()
    planner.decide()
    planner.check_reclaimable()
