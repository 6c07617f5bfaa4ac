from peridothatch_core.model import steps
from peridothatch_core.reception import view


def _job(job_id, ordered_ms=None, **changes):
    fields = {
        "id": job_id, "queue": "q", "service": "render", "customer": "", "priority": 1,
        "max_attempts": 1, "slack_factor": 1.0, "objective_ms": 1, "steps": (steps.Step(1),),
        "timetable": None, "submitted_ms": 1,
    }  # fmt: skip
    item = steps.Job(**fields | changes)
    if ordered_ms is not None:
        run = steps.Run(0, 1, "n1", 0, ordered_ms)
        item.progress.append(steps.StepProgress(0, 0, runs=[run]))
    return item


def test_jobs_count_as_pending_until_their_start_is_certain():
    own = view.View()
    view.replace(own, [_job("waiting"), _job("ordered", 9_000), _job("old", 1_000)])
    view.put(own, _job("begun", 9_000, begun=True))
    view.put(own, _job("gone", state=steps.JobState.CANCELLED))
    view.put(own, _job("other", queue="p"))
    assert view.count_pending(own, "q", 10_000) == 2


def test_a_snapshot_removes_jobs_without_a_row():
    own = view.View()
    view.put(own, _job("a"))
    view.replace(own, [_job("b")])
    assert list(own.jobs) == ["b"]
    assert view.count_pending(own, "q", 0) == 1


def test_a_removed_job_no_longer_counts():
    own = view.View()
    view.put(own, _job("a"))
    view.remove(own, "a")
    assert view.count_pending(own, "q", 0) == 0
