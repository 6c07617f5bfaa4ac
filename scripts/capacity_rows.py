"""Size and processor time of job rows against the number of tasks of the gang."""

from __future__ import annotations

import json

import capacity_fit

from peridothatch_core.model import job, shape
from peridothatch_daemon.outlet import rows

SIZES = (1, 64, 256, 1_024)
TIMES = 20


def build(tasks: int) -> job.Job:
    """Return a running job whose tasks are on as many workers."""
    cells = tuple(job.Cell(index, f"worker-dc1-{index}", (index % 8,)) for index in range(tasks))
    return job.Job(
        "entry-dc1.8f3a21c4.104729", "team-17", "batch",
        shape.GangShape(tasks, shape.TaskShape(1)),
        ("die-wear-study", "--lot", "104729"), "dc1", 1e9, 1e9, state=job.State.RUNNING, run=3,
        epoch=812, cells=cells,
    )  # fmt: skip


def series() -> list[capacity_fit.Series]:
    """Return the costs of writing and reading a job row."""
    sizes, writes, reads = [], [], []
    for tasks in SIZES:
        held = build(tasks)
        text = json.dumps(rows.encode_job(held))
        sizes.append((tasks, len(text)))
        writes.append((tasks, _write_time(held)))
        reads.append((tasks, _read_time(text)))
    return [
        capacity_fit.Series("job row", "tasks of the gang", "bytes", tuple(sizes)),
        capacity_fit.Series("job row to JSON", "tasks of the gang", "µs", tuple(writes)),
        capacity_fit.Series("job row from JSON", "tasks of the gang", "µs", tuple(reads)),
    ]


def _write_time(held: job.Job) -> float:
    return capacity_fit.microseconds(lambda: json.dumps(rows.encode_job(held)), TIMES)


def _read_time(text: str) -> float:
    return capacity_fit.microseconds(lambda: rows.parse_job(json.loads(text)), TIMES)
