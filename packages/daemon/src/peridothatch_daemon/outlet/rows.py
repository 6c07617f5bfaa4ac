"""Converts job and planner lease rows between validated JSON and data classes."""

from __future__ import annotations

import dataclasses

import pydantic

from peridothatch_core.message import store
from peridothatch_core.model import job, shape
from peridothatch_core.start import planner_lease

JOB_PREFIX = "job/"
ACTIVE_PREFIX = "active/"
PLANNER_PREFIX = "planner/"


class TaskShapeRow(pydantic.BaseModel):
    """Shape of one task in a job row."""

    model_config = pydantic.ConfigDict(extra="ignore")

    accelerators: int = pydantic.Field(ge=0)
    cores: int = pydantic.Field(default=1, ge=0)
    memory_mb: int = pydantic.Field(default=256, ge=0)


class GangShapeRow(pydantic.BaseModel):
    """Shape of a gang in a job row."""

    model_config = pydantic.ConfigDict(extra="ignore")

    tasks: int = pydantic.Field(ge=1, le=shape.MAX_GANG_TASKS)
    task: TaskShapeRow
    adjacency: shape.Adjacency = shape.Adjacency.DATA_CENTRE


class CellRow(pydantic.BaseModel):
    """Cell of a job row: the part of a worker that a task holds."""

    model_config = pydantic.ConfigDict(extra="ignore")

    task: int = pydantic.Field(ge=0)
    worker: str
    accelerators: tuple[int, ...] = ()


class JobRow(pydantic.BaseModel):
    """Row ``job/ID``; fields added by newer versions are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore")

    id: str
    customer: str
    work_class: str
    shape: GangShapeRow
    command: tuple[str, ...]
    data_centre: str
    submitted_at: float
    due_at: float
    state: job.State = job.State.WAITING
    run: int = pydantic.Field(default=0, ge=0)
    epoch: int = pydantic.Field(default=0, ge=0)
    cells: tuple[CellRow, ...] = ()
    checkpointable: bool = False
    checkpoint: str = ""
    expected_seconds: float = 0.0
    borrowed: bool = False
    started_at: float = 0.0
    ended_at: float = 0.0
    failures: int = 0
    results: tuple[str, ...] = ()
    detail: str = ""
    cancel_requested: bool = False
    trace: str = ""


class PlannerRow(pydantic.BaseModel):
    """Row ``planner/DC``: the planner lease of a data centre."""

    model_config = pydantic.ConfigDict(extra="ignore")

    holder: str
    epoch: int = pydantic.Field(ge=0)
    counter: int = pydantic.Field(ge=0)
    incarnation: str = ""


def job_key(job_id: str) -> str:
    """Return the key of a job row."""
    return JOB_PREFIX + job_id


def active_key(data_centre: str, job_id: str) -> str:
    """Return the key of the index row that lists a job until it is final."""
    return f"{ACTIVE_PREFIX}{data_centre}/{job_id}"


def planner_key(data_centre: str) -> str:
    """Return the key of the planner lease row of a data centre."""
    return PLANNER_PREFIX + data_centre


def encode_job(record: job.Job) -> store.Value:
    """Return the value of a job row."""
    return dataclasses.asdict(record)


def parse_job(value: store.Value) -> job.Job:
    """Return the job stored in a row.

    Raises
    ------
    pydantic.ValidationError
        A field of the row is missing or has a wrong type.
    """
    row = JobRow.model_validate(value)
    fields = {name: getattr(row, name) for name in JobRow.model_fields}
    task = shape.TaskShape(**row.shape.task.model_dump())
    fields["shape"] = shape.GangShape(row.shape.tasks, task, row.shape.adjacency)
    fields["cells"] = tuple(job.Cell(**cell.model_dump()) for cell in row.cells)
    return job.Job(**fields)


def encode_planner_lease(record: planner_lease.LeaseRow) -> store.Value:
    """Return the value of a planner lease row."""
    return dataclasses.asdict(record)


def parse_planner_lease(value: store.Value) -> planner_lease.LeaseRow:
    """Return the planner lease stored in a row.

    Raises
    ------
    pydantic.ValidationError
        A field of the row is missing or has a wrong type.
    """
    return planner_lease.LeaseRow(**PlannerRow.model_validate(value).model_dump())


def job_writes(record: job.Job, written_by: str) -> tuple[store.Write, ...]:
    """Return the writes that set a job row and its index rows.

    Parameters
    ----------
    written_by : str
        Data centre of the writing planner. Its index row is deleted when the job ends or moves
        to another data centre.
    """
    writes = [store.Write(job_key(record.id), encode_job(record))]
    ended = record.state in job.FINAL_STATES
    if ended or record.data_centre != written_by:
        writes.append(store.Write(active_key(written_by, record.id), None))
    if not ended and record.data_centre != written_by:
        writes.append(store.Write(active_key(record.data_centre, record.id), {"job": record.id}))
    return tuple(writes)
