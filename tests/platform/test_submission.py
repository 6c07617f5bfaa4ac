import json

import hypothesis
import pytest
import result
from hypothesis import strategies

from peridothatch_core.model import steps, verdict
from peridothatch_platform import submission

FULL = {
    "spec": "s",
    "times": 2,
    "start_ms": 5,
    "period_ms": 7,
    "phases": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimate_ms": 900, "gang": True,
         "same_rack": True, "requires": "a", "affinity": "r1-3", "anti_affinity": 2,
         "checkpointing": True, "speculative": True, "long_running": True, "image": "i",
         "target_ms": 40, "fill_ratio": True, "max_unavailable": 1},
        {"count": 1, "after": [0]},
    ],
}  # fmt: skip


def test_every_field_of_a_job_is_read():
    spec, parts, timetable = submission.decode(json.dumps(FULL).encode()).ok_value
    assert spec == "s"
    assert timetable == steps.Timetable(5, 7, 2)
    assert parts[0] == steps.Step(
        4, steps.Demand(500, 256, 1), 900, (), True, True, "a", "r1-3", 2, True, True, True, "i",
        40, True, 1,
    )  # fmt: skip
    assert parts[1] == steps.Step(1, after=(0,))


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({"phases": []}, "phases"),
        ({"phases": [{"cpu": 1}]}, "phases.0.count"),
        ({"phases": [{"count": "many"}]}, "phases.0.count"),
        ({"phases": [{"count": 0}]}, "phases.0.count"),
        ({"phases": [{"count": 1, "cpu": -1}]}, "phases.0.cpu"),
        ({"phases": [{"count": 1}], "spec": "x" * 4001}, "spec"),
        ({"phases": [{"count": 1, "gang": "maybe"}]}, "phases.0.gang"),
    ],
)
def test_an_invalid_field_is_named_and_refused_as_not_run(body, field):
    refusal = submission.decode(json.dumps(body).encode()).err_value
    assert (refusal.verdict, refusal.code) == (verdict.Verdict.NOT_RUN, verdict.Code.INVALID)
    assert refusal.field == field


def test_a_step_may_depend_only_on_earlier_steps():
    body = json.dumps({"phases": [{"count": 1, "after": [0]}]}).encode()
    assert isinstance(submission.decode(body), result.Err)


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_refused(body):
    assert isinstance(submission.decode(body), (result.Ok, result.Err))
