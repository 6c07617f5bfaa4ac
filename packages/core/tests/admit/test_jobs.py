"""Guards against accepted jobs that can never run, and refusals that name no accepted value."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.admit import hardware, jobs
from peridothatch_core.message import link
from peridothatch_core.model import config, customer, datacentre, shape, verdict, workclass, worker
from peridothatch_core.place import fleet
from peridothatch_core.place import gang as placing

SNAPSHOT = config.Snapshot(
    customers={"a": customer.Customer("a", 40)},
    classes={"batch": workclass.WorkClass("batch", workclass.Within(100))},
    data_centres={
        "x": datacentre.DataCentre("x", "r"),
        "y": datacentre.DataCentre("y", "r", datacentre.Service.LOST),
    },
)
WORKERS = [worker.Worker(f"w{i}", "x", f"r{i // 3}", 8, 64, 256000) for i in range(4)]
HARDWARE = {
    "x": jobs.hardware_of(WORKERS),
    "y": jobs.hardware_of([worker.Worker("v", "y", "r", 16, 64, 256000)]),
}
VALID_SUBMISSION = jobs.Submission("a", "batch", shape.GangShape(2, shape.TaskShape(8)), ("run",))


def admit(hardware=HARDWARE, **changes):
    submission = dataclasses.replace(VALID_SUBMISSION, **changes)
    return jobs.admit(submission, SNAPSHOT, hardware, "j1", "x", 1000.0)


def gang(tasks, accelerators, adjacency=shape.Adjacency.DATA_CENTRE, cores=1):
    return shape.GangShape(tasks, shape.TaskShape(accelerators, cores), adjacency)


def test_a_valid_job_is_due_by_the_target_of_its_class():
    """Guards against a job that is stored without the due time of its class."""
    assert admit().unwrap().due_at == 1100.0


@pytest.mark.parametrize(
    ("changes", "code", "expected"),
    [
        ({"work_class": "no"}, "invalid", "one of: batch"),
        ({"customer": "no"}, "invalid", "a known customer"),
        ({"command": ()}, "invalid", "at least one word"),
        ({"expected_seconds": float("nan")}, "invalid", "seconds"),
        ({"shape": gang(0, 1)}, "invalid", "1 to 1024"),
        ({"shape": gang(1025, 0)}, "invalid", "1 to 1024"),
        ({"shape": gang(1, -1)}, "invalid", "0 or more"),
        ({"shape": gang(1, 0, cores=0)}, "invalid", "1 or more"),
        ({"shape": gang(6, 8)}, "forbidden", "at most 40 accelerators"),
        ({"shape": gang(5, 8)}, "never_fits", "at most 4 such tasks in one data centre"),
        ({"shape": gang(4, 8, shape.Adjacency.RACK)}, "never_fits", "at most 3 such tasks"),
        ({"shape": gang(3, 3, shape.Adjacency.WORKER)}, "never_fits", "at most 2 such tasks"),
        ({"shape": gang(1, 16)}, "never_fits", "8 accelerators, 64 cores"),
        ({"shape": gang(1, 200)}, "forbidden", "at most 40"),
    ],
)
def test_a_refusal_says_what_is_accepted(changes, code, expected):
    """Guards against a refusal without a field or an accepted value, or with a wrong verdict."""
    refusal = admit(**changes).err()
    assert refusal.code == code
    assert refusal.verdict is verdict.Verdict.NOT_RUN
    assert refusal.field
    assert expected in refusal.expected


def test_unknown_hardware_refuses_nothing():
    """Guards against an entry that refuses all jobs until it knows the hardware."""
    assert admit(hardware={}, shape=gang(1, 16)).is_ok()
    assert admit(hardware={"y": HARDWARE["y"]}, shape=gang(1, 32)).is_ok()


kinds = strategies.builds(
    worker.Worker,
    strategies.uuids().map(str),
    strategies.just("x"),
    strategies.sampled_from(["r1", "r2"]),
    strategies.sampled_from([0, 3, 8]),
    strategies.integers(1, 9),
    strategies.just(4096),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(kinds, min_size=1, max_size=5),
    strategies.integers(1, 9),
    strategies.integers(0, 4),
    strategies.integers(1, 4),
    strategies.sampled_from(list(shape.Adjacency)),
)
def test_a_gang_is_refused_exactly_when_empty_hardware_cannot_hold_it(
    workers, tasks, accelerators, cores, adjacency
):
    """Guards against accepting a shape that never fits, and refusing one that fits."""
    known = {}
    assert hardware.record(known, link.HardwareDigest("x", 2, hardware.racks_of(workers)))
    assert not hardware.record(known, link.HardwareDigest("x", 1, ()))
    empty = fleet.Fleet()
    for one in workers:
        fleet.add_worker(empty, one)
    wanted = gang(tasks, accelerators, adjacency, cores)
    answer = admit(hardware=hardware.for_admission(known), shape=wanted)
    placed = placing.find_cells(empty, wanted) is not None
    assert answer.is_ok() == placed
    assert placed or answer.unwrap_err().code is verdict.Code.NEVER_FITS
