"""Transactions that write the decisions of a scheduling cycle to the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import tables

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from peridothatch_core.schedule import state as states

MAX_ENTRIES = 96
"""Maximum number of conditions and writes in one transaction; the store accepts 100."""

Encode = typing.Callable[[typing.Any], bytes]
"""Encodes a data class as the value of a row."""


@dataclasses.dataclass(slots=True)
class Batch:
    """One transaction and the changes to apply to the state once it has committed.

    Attributes
    ----------
    saved_jobs : list of str
        Jobs whose rows are written.
    deleted_jobs : list of str
        Jobs whose rows are deleted.
    lapsed_nodes : list of str
        Nodes whose agents' leases are declared lapsed.
    """

    transaction: rows.Transaction
    saved_jobs: list[str] = dataclasses.field(default_factory=list)
    deleted_jobs: list[str] = dataclasses.field(default_factory=list)
    lapsed_nodes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _OpenBatch:
    conditions: list[rows.Condition] = dataclasses.field(default_factory=list)
    writes: list[tuple[rows.Key, bytes | None]] = dataclasses.field(default_factory=list)
    saved_jobs: list[str] = dataclasses.field(default_factory=list)
    deleted_jobs: list[str] = dataclasses.field(default_factory=list)
    lapsed_nodes: list[str] = dataclasses.field(default_factory=list)

    @property
    def size(self) -> int:
        """Number of entries, including the condition on the epoch."""
        return 1 + len(self.conditions) + len(self.writes)


def build_batches(state: states.State, epoch_version: int, encode: Encode) -> list[Batch]:
    """Return the pending changes as transactions, each conditional on the leader's epoch.

    A job's row and its orders are always written in the same transaction, so that the next leader
    never sees a run without an order.
    """
    batches: list[Batch] = []
    current = _OpenBatch()

    def flush() -> None:
        nonlocal current
        if current.writes:
            batches.append(_finish(current, epoch_version))
        current = _OpenBatch()

    for node, agent in state.lapsing.items():
        if current.size + 2 > MAX_ENTRIES:
            flush()
        key = tables.agent_key(node)
        current.conditions.append(rows.Condition(key, state.agent_versions.get(node, 0)))
        current.writes.append((key, encode(agent)))
        current.lapsed_nodes.append(node)
    for node in state.renewal_requests:
        if current.size + 1 > MAX_ENTRIES:
            flush()
        current.writes.append((tables.renewal_key(node), encode({"epoch_version": epoch_version})))
    state.renewal_requests.clear()
    deferred_deletes: list[rows.Key] = []
    for job_id, change in state.changes.items():
        deferred_deletes.extend(change.deferred_deletes)
        if not (change.save_job or change.delete_job) or job_id not in state.jobs:
            continue
        if current.size + 2 + len(change.writes) + len(change.conditions) > MAX_ENTRIES:
            flush()
            for key, value in _split_off_stops(change):
                if current.size + 1 > MAX_ENTRIES:
                    flush()
                current.writes.append((key, None if value is None else encode(value)))
            if current.size + 2 + len(change.writes) + len(change.conditions) > MAX_ENTRIES:
                flush()
        _add_job(state, current, job_id, change, encode)
    state.changes.clear()
    _add_deferred_deletes(deferred_deletes, lambda: current, flush)
    flush()
    return batches


def _split_off_stops(change: states.JobChange) -> list[tuple[rows.Key, typing.Any]]:
    """Remove and return the stops that do not fit into the transaction of a job's row.

    They are written before the job's row. If the leader is lost in between, the stopped runs end,
    and the next leader starts them again, so the intermediate state is safe.
    """
    excess = len(change.writes) + len(change.conditions) + 3 - MAX_ENTRIES
    if excess <= 0:
        return []
    stops = [item for item in change.writes if item[0].key.endswith(tables.STOP_SUFFIX)]
    split_off = stops[:excess]
    taken = {key for key, _ in split_off}
    change.writes = [item for item in change.writes if item[0] not in taken]
    return split_off


def _add_job(
    state: states.State, current: _OpenBatch, job_id: str, change: states.JobChange, encode: Encode
) -> None:
    key = tables.job_key(job_id)
    current.conditions.append(rows.Condition(key, state.job_versions[job_id]))
    current.conditions += [
        condition for condition in change.conditions if condition not in current.conditions
    ]
    if change.delete_job:
        current.writes.append((key, None))
        current.deleted_jobs.append(job_id)
    else:
        current.writes.append((key, encode(state.jobs[job_id])))
        current.saved_jobs.append(job_id)
    for other_key, value in change.writes:
        current.writes.append((other_key, None if value is None else encode(value)))


def _add_deferred_deletes(
    deferred_deletes: list[rows.Key], current: Callable[[], _OpenBatch], flush: Callable[[], None]
) -> None:
    for key in dict.fromkeys(deferred_deletes):
        if current().size + 1 > MAX_ENTRIES:
            flush()
        current().writes.append((key, None))


def _finish(current: _OpenBatch, epoch_version: int) -> Batch:
    conditions = (rows.Condition(tables.EPOCH_KEY, epoch_version), *current.conditions)
    transaction = rows.Transaction(conditions, tuple(current.writes))
    return Batch(transaction, current.saved_jobs, current.deleted_jobs, current.lapsed_nodes)
