"""Guards against targets and guarantees that are missing from a report or wrongly shown as met."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.model import config, customer, datacentre, job, shape, workclass
from peridothatch_core.report import promises

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
GANG = shape.GangShape(1, shape.TaskShape(4))
CENTRES = {name: datacentre.DataCentre(name, "brno") for name in ("hala", "kancl")}
SNAPSHOT = config.Snapshot(
    1,
    {name: customer.Customer(name, 16) for name in ("kolar", "export")},
    {
        "gold": customer.Guarantee("gold", "kolar", GANG, 2, "hala", "jana", 5.0),
        "free": customer.Guarantee("free", "kolar", GANG, 1, "", "jana", 6.0),
    },
    {"lots": workclass.WorkClass("lots", workclass.Within(60.0), False, "petr", 4.0)},
    CENTRES,
)


def make_job(state, ended_at=0.0, work_class="lots", name="kolar"):
    return job.Job(
        "j", name, work_class, GANG, ("x",), "hala", 0.0, 60.0, state, ended_at=ended_at
    )


def report_class(jobs, now=30.0, name="kolar"):
    [found] = promises.report(SNAPSHOT, jobs, {}, now, name).classes
    return found


def test_a_promise_names_its_author_and_date_even_without_jobs():
    found = report_class([])
    assert (found.target, found.promised_by, found.promised_at) == ("within 1m", "petr", 4.0)
    assert found.kept_share is None


@pytest.mark.parametrize(
    ("jobs", "now", "counts"),
    [
        ([make_job(job.State.SUCCEEDED, 60.0)], 99.0, (1, 0, 0, 0)),
        ([make_job(job.State.SUCCEEDED, 60.1)], 99.0, (0, 1, 0, 0)),
        ([make_job(job.State.FAILED, 10.0)], 99.0, (0, 1, 0, 0)),
        ([make_job(job.State.CANCELLED, 99.0)], 99.0, (0, 0, 0, 0)),
        ([make_job(job.State.WAITING)], 60.0, (0, 0, 0, 1)),
        ([make_job(job.State.WAITING), make_job(job.State.RUNNING)], 61.0, (0, 2, 2, 0)),
    ],
)
def test_late_failed_and_overdue_jobs_are_not_kept(jobs, now, counts):
    found = report_class(jobs, now)
    assert (found.kept, found.missed, found.overdue, found.open) == counts


def test_a_report_for_one_customer_holds_nothing_of_another():
    jobs = [make_job(job.State.SUCCEEDED, 1.0, name="kolar")]
    found = promises.report(SNAPSHOT, jobs, {}, 9.0, "export")
    assert [(one.customer, one.kept) for one in found.classes] == [("export", 0)]
    assert found.guarantees == ()


def test_jobs_of_a_deleted_class_are_still_reported():
    found = promises.report(SNAPSHOT, [make_job(job.State.FAILED, 1.0, "old")], {}, 9.0, "kolar")
    assert [(one.work_class, one.target, one.missed) for one in found.classes] == [
        ("lots", "within 1m", 0),
        ("old", "", 1),
    ]


@pytest.mark.parametrize(
    ("short", "gold", "free"),
    [
        ({}, "unknown", "unknown"),
        ({"hala": frozenset()}, "whole", "unknown"),
        ({"hala": frozenset({"gold"})}, "short", "unknown"),
        ({"hala": frozenset(), "kancl": frozenset({"free"})}, "whole", "short"),
        ({"hala": frozenset(), "kancl": frozenset()}, "whole", "whole"),
    ],
)
def test_a_guarantee_is_whole_only_when_every_planner_concerned_says_so(short, gold, free):
    found = promises.report(SNAPSHOT, [], short, 9.0, "kolar").guarantees
    assert {one.name: one.state for one in found} == {"gold": gold, "free": free}


def test_a_guarantee_whose_data_centre_is_out_is_short():
    """Guards against a guarantee shown as whole in a data centre where nothing can start."""
    out = {"hala": datacentre.DataCentre("hala", "brno", datacentre.Service.OUT)}
    moved = dataclasses.replace(SNAPSHOT, data_centres=CENTRES | out)
    found = promises.report(moved, [], {"hala": frozenset()}, 9.0, "kolar").guarantees
    assert {one.name: one.state for one in found}["gold"] == "short"


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.builds(
            make_job,
            strategies.sampled_from(list(job.State)),
            strategies.floats(0.0, 120.0),
            name=strategies.sampled_from(["kolar", "export"]),
        )
    ),
    strategies.floats(0.0, 120.0),
)
def test_every_job_that_was_not_cancelled_is_counted_once(jobs, now):
    found = promises.report(SNAPSHOT, jobs, {}, now).classes
    counted = sum(one.kept + one.missed + one.open for one in found)
    assert counted == sum(one.state is not job.State.CANCELLED for one in jobs)
    assert all(one.overdue <= one.missed for one in found)
