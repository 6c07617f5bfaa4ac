"""Applies single rows of the store to the scheduler's state."""

from __future__ import annotations

import typing

from peridothatch_core.model import tables
from peridothatch_core.schedule import state
from peridothatch_daemon.hosted import log, records

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from peridothatch_core.message import rows
    from peridothatch_core.schedule import writes


def apply_work_row(schedule: state.State, row: rows.Row) -> None:
    """Apply the row of a job that is not known yet, of a cancellation or of the end of a run."""
    if row.value is None:
        return
    try:
        if row.key.startswith(tables.JOB_PREFIX):
            job_id = row.key.removeprefix(tables.JOB_PREFIX)
            # Once a job is known to the leader, only the leader writes its row.
            if job_id not in schedule.jobs:
                state.add_job(schedule, records.decode_row(row), row.version)
        elif row.key.startswith(tables.CANCEL_PREFIX):
            schedule.cancelled.add(row.key.removeprefix(tables.CANCEL_PREFIX))
        elif row.key.startswith(tables.END_PREFIX):
            schedule.ends[row.key] = records.decode_row(row)
    except ValueError as error:
        log.unreadable("scheduler", row.key, str(error))


def outdated_job(
    schedule: state.State, in_flight: Sequence[writes.Batch], row: rows.Row
) -> str | None:
    """Return the job whose row has changed without the leader's knowledge, or ``None``.

    Parameters
    ----------
    in_flight : sequence of Batch
        Transactions without a known outcome. A row that they write is not judged: it is their
        result, or they fail on its new version.
    """
    if not row.key.startswith(tables.JOB_PREFIX):
        return None
    job_id = row.key.removeprefix(tables.JOB_PREFIX)
    if row.version <= schedule.job_versions.get(job_id, row.version):
        return None
    if any(job_id in (*batch.saved_jobs, *batch.deleted_jobs) for batch in in_flight):
        return None
    return job_id


def apply_agent_row(schedule: state.State, row: rows.Row) -> None:
    """Apply an agent's row if it is newer than the known one."""
    if not row.key.startswith(tables.AGENT_PREFIX) or row.value is None:
        return
    node = row.key.removeprefix(tables.AGENT_PREFIX)
    if row.version <= schedule.agent_versions.get(node, 0):
        return
    try:
        state.update_agent(schedule, records.decode_row(row), row.version)
    except ValueError as error:
        log.unreadable("scheduler", row.key, str(error))
