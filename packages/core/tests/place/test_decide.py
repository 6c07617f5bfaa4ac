"""Guards the invariants of placement under random histories, and the rules of preemption."""

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


def play(steps):
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
    """Guards against accelerators given twice, gangs in part, quotas exceeded and promises broken.

    At the end each guaranteed shape that is not in use must start after borrowed work stopped.
    """
    play(steps)


@pytest.mark.parametrize("guard", ["everything is covered", "slots move without a check"])
def test_a_broken_guard_is_found(monkeypatch, guard):
    """Guards against checks that pass whatever the code does."""

    def broken_cover(ledger, job_id, owner, cells, task):  # noqa: ARG001
        return True

    if guard == "everything is covered":
        monkeypatch.setattr(guarantees, "allocate", broken_cover)
    else:
        monkeypatch.setattr(slots, "is_idle", lambda ledger, slot: True)  # noqa: ARG005
    without_shrinking = hypothesis.settings(SETTINGS, phases=[hypothesis.Phase.generate])
    with pytest.raises(AssertionError):
        without_shrinking(hypothesis.given(STEPS)(play))()


def fill(planner, checkpointable=False):
    """Fill all workers with borrowed work of customer c; return the jobs."""
    jobs = [planner.submit("c", "batch", history.SHAPES[3], checkpointable) for _ in range(5)]
    planner.decide()
    return jobs


def preempted(decisions):
    return [one.job_id for one in decisions if isinstance(one, decide.Preempt)]


def test_least_work_lost_is_stopped_first():
    """Guards against stopping work without a checkpoint while other work has one."""
    planner = history.Planner(5)
    jobs = fill(planner)
    state = planner.state
    saved, able = jobs[1], jobs[3]
    state.running[saved] = dataclasses.replace(state.running[saved], checkpoint="k")
    state.running[able] = dataclasses.replace(state.running[able], checkpointable=True)
    planner.submit("b", "batch", history.GUARANTEES[1].shape)
    assert preempted(planner.decide()) == [saved]
    planner.let_stop()
    assert "j6" in {one.job_id for one in planner.decide() if isinstance(one, decide.Place)}


def test_a_job_preempted_lately_is_spared():
    """Guards against stopping the same job again and again while another could stop."""
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
    """Guards against an urgent job that waits behind batch work or breaks a promise."""
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


def test_urgent_work_is_not_held_up_by_its_customers_quota():
    """Guards against a notice that waits while batch work of its customer uses up the quota."""
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
    """Guards against small jobs that take each freed accelerator before a large gang."""
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


def test_a_data_centre_that_is_out_moves_borrowed_work_first():
    """Guards against starts in a data centre that is out, and against its order of leaving."""
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
    """Guards against promises that count twice after a planner has taken over."""
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


def test_a_lost_rack_leaves_promises_short_and_reported():
    """Guards against a promise that is not kept and not reported."""
    planner = history.Planner(3)
    for number in (0, 1):
        decide.record_worker_lost(planner.state, f"w{number}", planner.now)
    assert [s.guarantee for s in guarantees.shortfalls(planner.state.ledger)] == ["g-a"]
    decide.record_worker_joined(planner.state, history.machine(0), planner.now)
    planner.now += 10
    planner.decide()
    planner.check()


def test_bad_workers_are_ejected_and_bad_jobs_end():
    """Guards against a worker that fails all it starts, and against a job that fails anywhere."""
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
    assert not state.fleet.machines["w4"].cordoned, "more than the share is ejected"
    planner.now += 601
    planner.decide()
    assert not state.fleet.machines["w2"].cordoned


def test_a_retry_avoids_the_worker_on_which_it_failed():
    """Guards against a worker that fails at once and therefore always looks free."""
    planner = history.Planner(3)
    job_id = planner.submit("c", "batch", history.SHAPES[0])
    planner.decide()
    bad = planner.state.running[job_id].cells[0].worker
    decide.record_failed(planner.state, job_id, (bad,), planner.now)
    planner.requeue(job_id)
    planner.decide()
    assert planner.state.running[job_id].cells[0].worker != bad


def test_would_hold_says_what_would_fit():
    """Guards against accepting a promise that the hardware cannot keep."""
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


def test_a_job_that_can_never_run_here_goes_elsewhere():
    """Guards against a job that waits for ever for hardware that is not there."""
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
    """Guards against the pause after a search in vain that holds up a job which now fits."""
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
