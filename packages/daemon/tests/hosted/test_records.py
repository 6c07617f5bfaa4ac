import pytest

from peridothatch_core.model import agents, steps
from peridothatch_daemon.hosted import records

JOB = steps.Job(
    "00000000000000aa", "q", "render", "ministry", 1, 3, 2.0, 500,
    (steps.Step(2, steps.Demand(100, 10, 1), gang=True, after=(0,)),),
    steps.Timetable(1, 2, 3), 1, state=steps.JobState.RUNNING, opened=1,
    progress=[steps.StepProgress(0, 0, [1], [1, 1], [0, 1], 1, 1, ["c1"],
                                 [steps.Run(0, 1, "side-1", 0, 1)])],
)  # fmt: skip
WORKER = agents.Worker(
    "w-1", 1, "render", "accra-a", agents.WorkerState.DRAINING, steps.Demand(1, 2, 3), "a", "r1"
)
AGENT = agents.Agent(
    "side-1", "accra-a", 1, 2, 3, WORKER, (agents.RunReport("00000000000000aa.0.0.0", 1, "c", 4),)
)


@pytest.mark.parametrize(
    ("decoder", "value"),
    [
        (records.JOB, JOB),
        (records.AGENT, AGENT),
        (records.END, steps.End("00000000000000aa.0.0.0", 1, "side-1", steps.EndKind.DONE)),
        (records.ORDER, steps.Order("a", "a.0.0.0", 1, "w-1", 1, 2, ticket="t")),
    ],
)
def test_a_row_round_trips(decoder, value):
    # A field that is dropped or changes its type would be lost with the next write of the row.
    assert records.decode(decoder, records.encode(value)) == value


@pytest.mark.parametrize("text", [b"", b"{", b'{"task": 1}', b'{"task": "a", "attempt": "x"}'])
def test_an_invalid_row_raises_value_error(text):
    # The scheduler logs a ValueError and skips the row; any other exception would stop its task.
    with pytest.raises(ValueError):
        records.decode(records.END, text)
