"""Guards against two runs of a job at once that no counter shows."""

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import run_watch


def member(run, task=0, state="running", name="j"):
    return link.Member(name, run, job.Cell(task, "w", ()), state)


def test_a_second_run_is_counted_once_while_the_first_is_reported():
    """Guards against a breach that is missed, or counted for each member."""
    state = run_watch.State()
    run_watch.announced(state, "a", (member(1), member(1, 1), member(1, name="k")))
    run_watch.changed(state, "b", member(2))
    run_watch.changed(state, "b", member(2, 1))
    assert state.breaches == 1


def test_runs_one_after_the_other_are_no_breach():
    """Guards against a false alarm after a member stopped or its agent went away."""
    state = run_watch.State()
    run_watch.announced(state, "a", (member(1),))
    run_watch.changed(state, "a", member(1, state="stopped"))
    run_watch.changed(state, "b", member(2))
    run_watch.closed(state, "b")
    run_watch.announced(state, "a", (member(3),))
    run_watch.announced(state, "a", ())
    run_watch.changed(state, "b", member(4))
    run_watch.reset(state)
    run_watch.changed(state, "b", member(5))
    assert state.breaches == 0
