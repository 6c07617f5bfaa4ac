"""Guards against job rows that are encoded or parsed incorrectly."""

import json

import hypothesis
import pydantic
import pytest
from hypothesis import strategies

from peridothatch_core.model import job, shape
from peridothatch_daemon.outlet import rows

WORDS = strategies.text(max_size=8)
COUNTS = strategies.integers(0, 1000)
MOMENTS = strategies.floats(0, 2e9)
JOBS = strategies.builds(
    job.Job,
    id=WORDS,
    customer=WORDS,
    work_class=WORDS,
    shape=strategies.builds(
        shape.GangShape,
        strategies.integers(1, 1024),
        strategies.builds(shape.TaskShape, COUNTS, COUNTS, COUNTS),
        strategies.sampled_from(shape.Adjacency),
    ),
    command=strategies.lists(WORDS, max_size=3).map(tuple),
    data_centre=WORDS,
    submitted_at=MOMENTS,
    due_at=MOMENTS,
    state=strategies.sampled_from(job.State),
    run=COUNTS,
    cells=strategies.lists(
        strategies.builds(job.Cell, COUNTS, WORDS, strategies.lists(COUNTS).map(tuple)), max_size=3
    ).map(tuple),
    results=strategies.lists(WORDS, max_size=3).map(tuple),
    cancel_requested=strategies.booleans(),
)


@hypothesis.settings(max_examples=100, derandomize=True, deadline=None)
@hypothesis.given(JOBS)
def test_a_job_is_unchanged_by_encoding_and_parsing(original):
    """Guards against a field that is missing from the row model or converted wrongly."""
    value = json.loads(json.dumps(rows.encode_job(original)))
    assert rows.parse_job(value | {"added_later": 1}) == original


@pytest.mark.parametrize("bad", [{"run": -1}, {"state": "?"}, {"cells": [1]}, {"shape": {}}])
def test_an_invalid_row_is_rejected(bad):
    """Guards against a malformed row that is used for decisions."""
    gang_shape = shape.GangShape(1, shape.TaskShape(1))
    original = job.Job("j", "c", "k", gang_shape, ("x",), "dc", 0.0, 1.0)
    with pytest.raises(pydantic.ValidationError):
        rows.parse_job(rows.encode_job(original) | bad)


@pytest.mark.parametrize(
    ("state", "data_centre", "expected"),
    [
        (job.State.RUNNING, "dc", {}),
        (job.State.SUCCEEDED, "dc", {"active/dc/j": False}),
        (job.State.WAITING, "other", {"active/dc/j": False, "active/other/j": True}),
    ],
)
def test_index_rows_follow_the_state_and_data_centre_of_the_job(state, data_centre, expected):
    """Guards against a job that is in no planner's index, or stays in one after it has ended."""
    gang_shape = shape.GangShape(1, shape.TaskShape(1))
    original = job.Job("j", "c", "k", gang_shape, ("x",), data_centre, 0.0, 1.0, state)
    first, *index = rows.job_writes(original, "dc")
    assert first.key == "job/j"
    assert {write.key: write.value is not None for write in index} == expected
