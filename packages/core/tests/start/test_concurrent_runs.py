"""Tests of the detection of concurrent runs of a job."""

from peridothatch_core.message import link
from peridothatch_core.model import job
from peridothatch_core.start import concurrent_runs


def member(run, task=0, state="running", name="j"):
    return link.Member(name, run, job.Cell(task, "w", ()), state)


def test_a_concurrent_run_is_counted_once():
    """Guards against a breach that is missed or counted once per member."""
    state = concurrent_runs.State()
    concurrent_runs.record_announcement(state, "a", (member(1), member(1, 1), member(1, name="k")))
    concurrent_runs.record_change(state, "b", member(2))
    concurrent_runs.record_change(state, "b", member(2, 1))
    assert state.breaches == 1


def test_consecutive_runs_are_no_breach():
    """Guards against a false positive after a member stopped or its agent disconnected."""
    state = concurrent_runs.State()
    concurrent_runs.record_announcement(state, "a", (member(1),))
    concurrent_runs.record_change(state, "a", member(1, state="stopped"))
    concurrent_runs.record_change(state, "b", member(2))
    concurrent_runs.record_disconnect(state, "b")
    concurrent_runs.record_announcement(state, "a", (member(3),))
    concurrent_runs.record_announcement(state, "a", ())
    concurrent_runs.record_change(state, "b", member(4))
    concurrent_runs.reset(state)
    concurrent_runs.record_change(state, "b", member(5))
    assert state.breaches == 0
