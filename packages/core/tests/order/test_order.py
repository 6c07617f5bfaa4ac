"""Tests of due times, run time estimates and the order of waiting jobs."""

import dataclasses
import datetime
import zoneinfo

import pytest

from peridothatch_core.model import job, shape, workclass
from peridothatch_core.order import runtimes, slack

GANG = shape.GangShape(1, shape.TaskShape(1))


def _unix_time(text, zone):
    return (
        datetime.datetime.fromisoformat(text).replace(tzinfo=zoneinfo.ZoneInfo(zone)).timestamp()
    )


@pytest.mark.parametrize(
    ("zone", "submitted", "due"),
    [
        ("Africa/Accra", "2026-03-01T22:00", "2026-03-02T06:00"),
        ("Africa/Accra", "2026-03-01T05:59", "2026-03-01T06:00"),
        ("Africa/Accra", "2026-03-01T06:00", "2026-03-02T06:00"),
        ("Europe/Prague", "2026-03-28T23:00", "2026-03-29T06:00"),
        ("Europe/Prague", "2026-10-24T23:00", "2026-10-25T06:00"),
    ],
)
def test_a_time_of_day_falls_due_at_its_next_occurrence(zone, submitted, due):
    """Guards against due times that are a day off, or an hour off after a clock change."""
    target = workclass.ByTime(6, 0, zone)
    assert slack.due_at(target, _unix_time(submitted, zone)) == _unix_time(due, zone)


def test_a_time_that_clocks_skip_falls_due_once():
    """Guards against a due time in the past if clocks skip the time of day."""
    target = workclass.ByTime(2, 30, "Europe/Prague")
    submitted = _unix_time("2026-03-29T01:00", "Europe/Prague")
    assert slack.due_at(target, submitted) == submitted + 5400
    assert slack.due_at(workclass.Within(60), 5.0) == 65.0


def test_hints_are_used_only_without_a_history():
    """Guards against estimates from declared run times, which are inaccurate."""
    history = runtimes.History()
    assert runtimes.estimate(history, "a", "x") == runtimes.DEFAULT_ESTIMATE_SECONDS
    assert runtimes.estimate(history, "a", "x", 50.0) == 50.0
    for seconds in (100.0, 200.0, 300.0):
        runtimes.record(history, "b", "x", seconds)
    assert runtimes.estimate(history, "a", "x", 50.0) == 300.0
    for _ in range(3):
        runtimes.record(history, "a", "x", 10.0)
    assert runtimes.estimate(history, "a", "x", 50.0) == 10.0
    for _ in range(runtimes.MAX_SAMPLES):
        runtimes.record(history, "a", "x", 70.0)
    assert history.series["a", "x"].ascending == [70.0] * runtimes.MAX_SAMPLES
    assert runtimes.remaining(history, "a", "x", 30.0) == 40.0
    assert runtimes.remaining(history, "a", "x", 90.0) == 90.0


def test_urgent_jobs_come_first_and_late_ones_last():
    """Guards against late jobs that delay other jobs beyond their targets."""
    queue = slack.Queue()
    base = job.Job("", "c", "x", GANG, (), "dc", 0.0, 0.0)
    for name, due, urgent in (("far", 900, 0), ("near", 500, 0), ("late", 90, 0), ("u", 999, 1)):
        one = dataclasses.replace(base, id=name, due_at=due)
        slack.put(queue, one, 50.0, urgent=bool(urgent))
    assert list(slack.start_order(queue, 100.0)) == ["u", "near", "far", "late"]
    slack.remove(queue, "near")
    assert list(slack.start_order(queue, 0.0)) == ["u", "late", "far"]
