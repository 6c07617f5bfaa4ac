"""Seeded arrivals and faults at the current fleet size, for measure_jobs.py."""

from __future__ import annotations

import dataclasses
import math
import random

from peridothatch_core.model import config, customer, datacentre, job, shape, workclass, worker
from peridothatch_core.order import slack

HOUR = 3600.0
START = 1_780_000_000.0
"""Start of each simulation as a Unix time (2026-05-28 20:26:40 UTC)."""

ARRIVALS_SECONDS = 24 * HOUR
TAKEN_OUT_AT, PUT_BACK_AT = START + 10 * HOUR, START + 12 * HOUR
"""When data centre y is taken out of service and put back."""

ABSENCE_WINDOW = (TAKEN_OUT_AT, PUT_BACK_AT + HOUR)
"""Period in which completed work is counted, around the absence of data centre y."""

RACK, ANY = shape.Adjacency.RACK, shape.Adjacency.DATA_CENTRE


def gang(tasks: int, accelerators: int, adjacency: shape.Adjacency = ANY) -> shape.GangShape:
    """Return a gang shape."""
    return shape.GangShape(tasks, shape.TaskShape(accelerators, 2, 4096), adjacency)


CLASSES = {
    "notice": workclass.WorkClass("notice", workclass.Within(120), urgent=True),
    "inspection": workclass.WorkClass("inspection", workclass.Within(8 * HOUR)),
    "overnight": workclass.WorkClass("overnight", workclass.ByTime(6, 0, "Europe/Prague")),
    "study": workclass.WorkClass("study", workclass.Within(72 * HOUR)),
}
CUSTOMERS = {"large-1": 48, "large-2": 40, "small-1": 16, "small-2": 12}
ARRIVAL_SHARES = {"large-1": 0.4, "large-2": 0.35, "small-1": 0.15, "small-2": 0.1}
GUARANTEES = (
    customer.Guarantee("pair-1", "large-1", gang(2, 8, RACK), 1, "x"),
    customer.Guarantee("pair-2", "large-2", gang(2, 8, RACK), 1, "z"),
    customer.Guarantee("quarter", "small-1", gang(1, 4), 2, "y"),
)
ARRIVAL_PARAMETERS = {
    "notice": (10.0, 30.0, 0.3, (gang(1, 1),)),
    "inspection": (12.0, 1800.0, 0.8, (gang(1, 1), gang(1, 2), gang(1, 4), gang(2, 2, RACK))),
    "overnight": (2.5, 3600.0, 0.8, (gang(1, 4), gang(1, 8), gang(2, 4, RACK), gang(1, 3))),
    "study": (0.3, 3 * HOUR, 0.8, (gang(2, 8, RACK), gang(3, 8, RACK), gang(4, 8), gang(1, 8))),
}
"""Arrivals per hour, median and log-normal deviation of the run time in seconds, and shapes."""


@dataclasses.dataclass(slots=True)
class SimulatedJob:
    """A job with its real run time and whether it always fails; policies see only ``row``."""

    row: job.Job
    seconds: float
    faulty: bool


def workers() -> list[worker.Worker]:
    """Return 10 workers of 8 accelerators, three to a rack, in data centres x, y and z."""
    found = []
    for name, count in (("x", 4), ("y", 3), ("z", 3)):
        found += [
            worker.Worker(f"{name}{i}", name, f"{name}-r{i // 3}", 8, 64, 262144)
            for i in range(count)
        ]
    return found


def snapshot(*, y_is_out: bool) -> config.Snapshot:
    """Return the configuration."""
    service = {"y": datacentre.Service.OUT} if y_is_out else {}
    return config.Snapshot(
        customers={n: customer.Customer(n, quota) for n, quota in CUSTOMERS.items()},
        guarantees={one.name: one for one in GUARANTEES},
        classes=CLASSES,
        data_centres={
            n: datacentre.DataCentre(n, "r", service.get(n, datacentre.Service.IN)) for n in "xyz"
        },
    )


def arrivals(seed: int) -> list[SimulatedJob]:
    """Return the jobs of one day in order of arrival; some come in bursts, 2 % always fail."""
    source = random.Random(seed)
    times: list[tuple[float, str]] = []
    for kind, (rate, *_rest) in ARRIVAL_PARAMETERS.items():
        at = START
        while (at := at + source.expovariate(rate / HOUR)) < START + ARRIVALS_SECONDS:
            times.append((at, kind))
    for kind, bursts, size in (("notice", 2, 20), ("inspection", 3, 15)):
        for _ in range(bursts):
            at = START + source.uniform(0, ARRIVALS_SECONDS)
            times += [(at + source.uniform(0, 5), kind) for _ in range(size)]
    return [
        _simulated_job(source, number, at, kind) for number, (at, kind) in enumerate(sorted(times))
    ]


def faults(seed: int) -> list[tuple[float, str, str]]:
    """Return (time, event, worker) of lost and rejoining workers and of one faulty worker."""
    source = random.Random(seed + 1000)
    names = [one.id for one in workers()]
    events = []
    for _ in range(3):
        at, name = START + source.uniform(0, ARRIVALS_SECONDS), source.choice(names)
        events += [(at, "lost", name), (at + source.uniform(600, 1800), "joined", name)]
    at, name = START + source.uniform(HOUR, 8 * HOUR), source.choice(names)
    events += [(at, "bad", name), (at + HOUR, "good", name)]
    return sorted(events)


def _simulated_job(source: random.Random, number: int, at: float, kind: str) -> SimulatedJob:
    _, median, deviation, shapes = ARRIVAL_PARAMETERS[kind]
    owner = source.choices(list(ARRIVAL_SHARES), list(ARRIVAL_SHARES.values()))[0]
    seconds = median * math.exp(source.gauss(0, deviation))
    fitting = [s for s in shapes if shape.total_accelerators(s) <= CUSTOMERS[owner]]
    row = job.Job(
        id=f"j{number:04}",
        customer=owner,
        work_class=kind,
        shape=source.choice(fitting),
        command=("run",),
        data_centre="",
        submitted_at=at,
        due_at=slack.due_at(CLASSES[kind].target, at),
        checkpointable=kind != "notice" and source.random() < 0.6,
        expected_seconds=seconds * math.exp(source.gauss(0, 1.0)),
    )
    return SimulatedJob(row, seconds, source.random() < 0.02)
