"""Guards against explanations that are missing, wrong or not whole sentences."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.message import link
from peridothatch_core.model import config, customer, datacentre, job, shape, workclass
from peridothatch_core.report import explain

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
GANG = shape.GangShape(2, shape.TaskShape(4), shape.Adjacency.RACK)
SNAPSHOT = config.Snapshot(
    1,
    {"kolar": customer.Customer("kolar", 16)},
    {"gold": customer.Guarantee("gold", "kolar", GANG, 1, "", "jana", 0.0)},
    {"lots": workclass.WorkClass("lots", workclass.ByTime(6, 0, "Europe/Prague"), False, "petr")},
    {"brno-hala": datacentre.DataCentre("brno-hala", "brno")},
)
JOB = job.Job("j1", "kolar", "lots", GANG, ("x",), "brno-hala", 0.0, 7200.0)


def digest(free, blocks, in_service=True):
    return {"brno-hala": link.CapacityDigest("brno-hala", 1, free, blocks, 3, in_service)}


def text(item=JOB, digests=None, held=0, snapshot=SNAPSHOT, now=3600.0):
    facts = explain.Facts(snapshot, digests or {}, held, now)
    return " ".join(explain.explain(item, facts))


def with_service(service):
    centre = datacentre.DataCentre("brno-hala", "brno", service)
    return dataclasses.replace(SNAPSHOT, data_centres={"brno-hala": centre})


@pytest.mark.parametrize(
    ("options", "sentence"),
    [
        ({}, "has not reported its free capacity"),
        ({"digests": digest(4, (0, 0, 1))}, "needs 8 accelerators, and 4 are free"),
        ({"digests": digest(9, (9,))}, "0 of its 2 tasks would find adjacent accelerators"),
        ({"digests": digest(16, (0, 0, 0, 2))}, "whole gang must be in one rack"),
        ({"digests": digest(16, (0, 0, 0, 2), False)}, "nothing may start there"),
        ({"held": 12}, "holds 12 of the 16 accelerators of its quota"),
        ({"snapshot": with_service(datacentre.Service.OUT)}, "brno-hala is out of service"),
        ({"snapshot": with_service(datacentre.Service.LOST)}, "brno-hala is declared lost"),
        ({"item": dataclasses.replace(JOB, cancel_requested=True)}, "It was cancelled"),
        ({"now": 7260.0}, "which was 1m ago"),
        ({"item": dataclasses.replace(JOB, run=2, checkpoint="c")}, "starts from its checkpoint"),
        (
            {"item": dataclasses.replace(JOB, failures=2, detail="disk full")},
            "failed so far: 2; the last reason was: disk full",
        ),
    ],
)
def test_the_reason_why_a_job_waits_is_given(options, sentence):
    assert sentence in text(**options)


def test_targets_and_guarantees_name_their_author_and_date():
    said = text()
    assert "completion by 06:00 Europe/Prague; petr set this target at 1970-01-01" in said
    assert (
        "gold (1 x 2 tasks with 4 adjacent accelerators each, in one rack, promised by jana"
        in (said)
    )
    assert "due at 1970-01-01 02:00:00 UTC, in 1h." in said


def test_a_running_job_names_its_workers_and_says_that_it_borrows():
    cells = (job.Cell(0, "w2", (0, 1)), job.Cell(1, "w1", (0, 1)))
    running = dataclasses.replace(JOB, state=job.State.RUNNING, cells=cells, borrowed=True)
    said = text(running)
    assert "on workers w1, w2." in said
    assert "borrowed" in said


@pytest.mark.parametrize(("ended", "when"), [(3600.0, "1h before"), (10800.0, "1h after")])
def test_an_ended_job_is_compared_with_its_target(ended, when):
    done = dataclasses.replace(JOB, state=job.State.SUCCEEDED, ended_at=ended)
    assert f"{when} it was due" in text(done)


@SETTINGS
@hypothesis.given(
    state=strategies.sampled_from(list(job.State)),
    tasks=strategies.integers(1, 1024),
    accelerators=strategies.integers(0, 64),
    blocks=strategies.lists(strategies.integers(0, 9), max_size=7).map(tuple),
    known=strategies.booleans(),
    run=strategies.integers(0, 3),
)
def test_any_job_is_explained_in_whole_sentences(state, tasks, accelerators, blocks, known, run):
    gang = shape.GangShape(tasks, shape.TaskShape(accelerators))
    item = dataclasses.replace(JOB, state=state, shape=gang, run=run)
    free = sum(count * 2**order for order, count in enumerate(blocks))
    snapshot = SNAPSHOT if known else config.Snapshot()
    facts = explain.Facts(snapshot, digest(free, blocks), None, 5000.0)
    sentences = explain.explain(item, facts)
    assert len(sentences) >= 4
    assert all(one.endswith(".") and one[0].isupper() for one in sentences)
