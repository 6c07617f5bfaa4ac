"""Validates submitted jobs."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

import result

from peridothatch_core.model import config, datacentre, job, shape, verdict, worker
from peridothatch_core.order import slack
from peridothatch_core.place import block

MAX_EXPECTED_SECONDS = 366 * 86400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as its customer submits it."""

    customer: str
    work_class: str
    shape: shape.GangShape
    command: tuple[str, ...]
    checkpointable: bool = False
    expected_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Capacity of a worker that runs nothing."""

    accelerators: int
    cores: int
    memory_mb: int


Hardware = tuple[Mapping[WorkerCapacity, int], ...]
"""The racks of a data centre, each as the number of workers by capacity."""


def hardware_of(workers: Iterable[worker.Worker]) -> Hardware:
    """Group the workers of one data centre by rack."""
    racks: dict[str, collections.Counter[WorkerCapacity]] = {}
    for item in workers:
        capacity = WorkerCapacity(item.accelerators, item.cores, item.memory_mb)
        racks.setdefault(item.rack, collections.Counter())[capacity] += 1
    return tuple(racks.values())


def admit(
    submission: Submission,
    snapshot: config.Snapshot,
    hardware: Mapping[str, Hardware],
    job_id: str,
    data_centre: str,
    now: float,
) -> result.Result[job.Job, verdict.Refusal]:
    """Return the job to store, or a refusal with the verdict ``not_run``.

    Parameters
    ----------
    hardware : mapping of str to Hardware
        Racks by data centre. While the racks of one data centre are unknown, no shape is refused
        as too large, because it may fit there.
    data_centre : str
        The data centre that is to plan the job.
    now : float
        Seconds since 1970-01-01 UTC.
    """
    refusal = (
        _check_names(submission, snapshot)
        or _check_shape(submission)
        or _check_quota(submission, snapshot)
        or _check_fit(submission.shape, _usable_hardware(hardware, snapshot))
    )
    if refusal is not None:
        return result.Err(refusal)
    target = snapshot.classes[submission.work_class].target
    return result.Ok(
        job.Job(
            id=job_id,
            customer=submission.customer,
            work_class=submission.work_class,
            shape=submission.shape,
            command=submission.command,
            data_centre=data_centre,
            submitted_at=now,
            due_at=slack.due_at(target, now),
            checkpointable=submission.checkpointable,
            expected_seconds=submission.expected_seconds,
        )
    )


def largest_gang(wanted: shape.GangShape, hardware: Iterable[Hardware]) -> int:
    """Return how many tasks of a shape fit on empty hardware within the shape's adjacency."""
    largest = 0
    for racks in hardware:
        per_rack = [
            sum(
                _tasks_per_worker(capacity, wanted.task) * count
                for capacity, count in rack.items()
            )
            for rack in racks
        ]
        if wanted.adjacency is shape.Adjacency.DATA_CENTRE:
            largest = max(largest, sum(per_rack))
        elif wanted.adjacency is shape.Adjacency.RACK:
            largest = max([largest, *per_rack])
        else:
            largest = max(
                [
                    largest,
                    *(
                        _tasks_per_worker(capacity, wanted.task)
                        for rack in racks
                        for capacity in rack
                    ),
                ]
            )
    return min(largest, shape.MAX_GANG_TASKS)


def _usable_hardware(
    hardware: Mapping[str, Hardware], snapshot: config.Snapshot
) -> list[Hardware]:
    """Return the hardware of all data centres that are not lost.

    A data centre that is out of service counts, because it will return. The result is empty while
    the hardware of any of these data centres is unknown.
    """
    centres = snapshot.data_centres
    if any(
        name not in hardware and centre.service is not datacentre.Service.LOST
        for name, centre in centres.items()
    ):
        return []
    return [
        racks
        for name, racks in hardware.items()
        if racks and not (name in centres and centres[name].service is datacentre.Service.LOST)
    ]


def _check_names(submission: Submission, snapshot: config.Snapshot) -> verdict.Refusal | None:
    if submission.customer not in snapshot.customers:
        return verdict.invalid("customer", submission.customer, "a known customer")
    if submission.work_class not in snapshot.classes:
        known = ", ".join(sorted(snapshot.classes)) or "none yet"
        return verdict.invalid("work_class", submission.work_class, f"one of: {known}")
    if not submission.command:
        return verdict.invalid("command", list(submission.command), "at least one word")
    if not 0 <= submission.expected_seconds <= MAX_EXPECTED_SECONDS:
        expected = f"0 to {MAX_EXPECTED_SECONDS:.0f} seconds"
        return verdict.invalid("expected_seconds", submission.expected_seconds, expected)
    return None


def _check_shape(submission: Submission) -> verdict.Refusal | None:
    gang, task = submission.shape, submission.shape.task
    if not 1 <= gang.tasks <= shape.MAX_GANG_TASKS:
        return verdict.invalid("shape.tasks", gang.tasks, f"1 to {shape.MAX_GANG_TASKS}")
    amounts = {"accelerators": task.accelerators, "memory_mb": task.memory_mb}
    for name, amount in amounts.items():
        if amount < 0:
            return verdict.invalid(f"shape.task.{name}", amount, "0 or more")
    if task.cores < 1:
        return verdict.invalid("shape.task.cores", task.cores, "1 or more")
    return None


def _check_quota(submission: Submission, snapshot: config.Snapshot) -> verdict.Refusal | None:
    wanted = shape.total_accelerators(submission.shape)
    quota = snapshot.customers[submission.customer].quota_accelerators
    if wanted <= quota:
        return None
    expected = f"at most {quota} accelerators, the quota of {submission.customer}"
    detail = f"the gang needs {wanted} accelerators at once; expected {expected}"
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN, verdict.Code.FORBIDDEN, detail, "shape", str(wanted), expected
    )


def _check_fit(wanted: shape.GangShape, hardware: list[Hardware]) -> verdict.Refusal | None:
    if not hardware:
        return None
    largest = largest_gang(wanted, hardware)
    if wanted.tasks <= largest:
        return None
    if largest:
        place = {"worker": "on one worker", "rack": "in one rack"}.get(
            wanted.adjacency.value, "in one data centre"
        )
        expected = f"at most {largest} such tasks {place}"
    else:
        capacities = {capacity for racks in hardware for rack in racks for capacity in rack}
        expected = "a task within one worker: " + "; ".join(
            f"{capacity.accelerators} accelerators, {capacity.cores} cores, "
            f"{capacity.memory_mb} MB"
            for capacity in sorted(capacities, key=dataclasses.astuple)[-3:]
        )
    detail = f"no data centre can ever run this gang; expected {expected}"
    size = f"{wanted.tasks} x {dataclasses.astuple(wanted.task)}"
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN, verdict.Code.NEVER_FITS, detail, "shape", size, expected
    )


def _tasks_per_worker(capacity: WorkerCapacity, task: shape.TaskShape) -> int:
    counts = []
    if task.accelerators:
        if task.accelerators > 1 << block.MAX_ORDER:
            return 0
        mask = block.full_mask(capacity.accelerators)
        counts.append(block.allocatable(mask)[block.order_of(task.accelerators)])
    if task.cores:
        counts.append(capacity.cores // task.cores)
    if task.memory_mb:
        counts.append(capacity.memory_mb // task.memory_mb)
    return min(counts, default=shape.MAX_GANG_TASKS)
