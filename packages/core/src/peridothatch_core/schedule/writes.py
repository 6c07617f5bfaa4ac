"""Transactions that write the decisions of a scheduling cycle to the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.commit import limits
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import preemption, write_limits

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from peridothatch_core.schedule import state as states

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
    stopped_jobs : list of str
        Jobs whose row is written by a later batch, and some of whose stops are in this one.
    renewal_sent_at : float or None
        Local time at which the transaction was last sent with a renewal of the leader's lease.
    """

    transaction: rows.Transaction
    saved_jobs: list[str] = dataclasses.field(default_factory=list)
    deleted_jobs: list[str] = dataclasses.field(default_factory=list)
    lapsed_nodes: list[str] = dataclasses.field(default_factory=list)
    stopped_jobs: list[str] = dataclasses.field(default_factory=list)
    renewal_sent_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """Entries that belong into the same transaction, and the changes that they stand for."""

    transaction: rows.Transaction
    saved_job: str | None = None
    deleted_job: str | None = None
    lapsed_node: str | None = None
    stopped_job: str | None = None


@dataclasses.dataclass(slots=True)
class _Packing:
    """Batches that are full, and the parts of the next one with the size of its entries."""

    epoch: rows.Condition
    batches: list[Batch] = dataclasses.field(default_factory=list)
    parts: list[_Part] = dataclasses.field(default_factory=list)
    entries: int = 0
    size_bytes: int = 0


def build_batches(state: states.State, epoch_version: int, encode: Encode) -> list[Batch]:
    """Return the pending changes as transactions, each conditional on the leader's epoch.

    A job's row and its orders are always written in the same transaction, so that the next leader
    never sees a run without an order. Transactions are written one after another; see
    ``_write_order``.
    """
    packing = _Packing(rows.Condition(tables.EPOCH_KEY, epoch_version))
    for part in _lapses(state, encode):
        _add(packing, part)
    for node in state.renewal_requests:
        _add(packing, _write(tables.renewal_key(node), encode({"epoch_version": epoch_version})))
    state.renewal_requests.clear()
    changed = [
        job_id
        for job_id, change in state.changes.items()
        if (change.save_job or change.delete_job) and job_id in state.jobs
    ]
    for job_id in sorted(changed, key=lambda job_id: _write_order(state, job_id)):
        is_alone = job_id in state.written_alone
        if is_alone:
            _flush(packing)
        for part in _job_parts(state, job_id, state.changes[job_id], encode):
            _add(packing, part)
        if is_alone:
            _flush(packing)
    deferred_deletes = [
        key for change in state.changes.values() for key in change.deferred_deletes
    ]
    state.changes.clear()
    for key in dict.fromkeys(deferred_deletes):
        _add(packing, _write(key, None))
    _flush(packing)
    return packing.batches


def _write_order(state: states.State, job_id: str) -> tuple[bool, int]:
    """Return the sort key of a changed job.

    Conditional changes come first: if a withdrawal fails, nothing may have been ordered in the
    room that it would have freed. Then come the starts of urgent jobs and the stops that make room
    for them, which would otherwise wait for the transactions of all other jobs.
    """
    change = state.changes[job_id]
    is_urgent = state.jobs[job_id].priority == preemption.URGENT_PRIORITY
    has_stops = any(key.key.endswith(tables.STOP_SUFFIX) for key, _ in change.writes)
    rank = 0 if change.conditions else 1 if is_urgent or has_stops else 2
    return job_id in state.written_alone, rank


def _lapses(state: states.State, encode: Encode) -> Iterator[_Part]:
    for node, agent in state.lapsing.items():
        key = tables.agent_key(node)
        condition = rows.Condition(key, state.agent_versions.get(node, 0))
        transaction = rows.Transaction((condition,), ((key, encode(agent)),))
        yield _Part(transaction, lapsed_node=node)


def _write(key: rows.Key, value: bytes | None) -> _Part:
    return _Part(rows.Transaction((), ((key, value),)))


def _job_parts(
    state: states.State, job_id: str, change: states.JobChange, encode: Encode
) -> Iterator[_Part]:
    """Yield the stops of a job that do not fit beside its row, then its row with the rest."""
    key = tables.job_key(job_id)
    for stop_key, stop in _split_off_stops(change):
        transaction = rows.Transaction((), ((stop_key, encode(stop)),))
        yield _Part(transaction, stopped_job=job_id)
    saved = None if change.delete_job else encode(state.jobs[job_id])
    others = [(key, None if value is None else encode(value)) for key, value in change.writes]
    transaction = rows.Transaction(
        (rows.Condition(key, state.job_versions[job_id]), *change.conditions),
        ((key, saved), *others),
    )
    if change.delete_job:
        yield _Part(transaction, deleted_job=job_id)
    else:
        yield _Part(transaction, saved_job=job_id)


def _split_off_stops(change: states.JobChange) -> list[tuple[rows.Key, typing.Any]]:
    """Remove and return the stops that do not fit into the transaction of a job's row.

    They are written before the job's row. If the leader is lost in between, the stopped runs end,
    and the next leader starts them again, so the intermediate state is safe.
    """
    entries = len(change.writes) + len(change.conditions)
    excess = write_limits.ROW_ENTRIES + entries - limits.MAX_ENTRIES
    if excess <= 0:
        return []
    stops = [item for item in change.writes if item[0].key.endswith(tables.STOP_SUFFIX)]
    split_off = stops[:excess]
    taken = {key for key, _ in split_off}
    change.writes = [item for item in change.writes if item[0] not in taken]
    return split_off


def _add(packing: _Packing, part: _Part) -> None:
    """Add a part to the next batch, or to a new one if it does not fit."""
    entries = limits.count_entries(part.transaction)
    size_bytes = limits.estimate_bytes(part.transaction)
    if (
        1 + packing.entries + entries > limits.MAX_ENTRIES
        or packing.size_bytes + size_bytes > limits.MAX_BYTES
    ):
        _flush(packing)
    packing.parts.append(part)
    packing.entries += entries
    packing.size_bytes += size_bytes


def _flush(packing: _Packing) -> None:
    """Complete the next batch, if it has any parts."""
    parts, packing.parts = packing.parts, []
    packing.entries = packing.size_bytes = 0
    if not parts:
        return
    conditions = dict.fromkeys(
        condition for part in parts for condition in part.transaction.conditions
    )
    written = tuple(write for part in parts for write in part.transaction.writes)
    packing.batches.append(
        Batch(
            rows.Transaction((packing.epoch, *conditions), written),
            [part.saved_job for part in parts if part.saved_job is not None],
            [part.deleted_job for part in parts if part.deleted_job is not None],
            [part.lapsed_node for part in parts if part.lapsed_node is not None],
            list(
                dict.fromkeys(part.stopped_job for part in parts if part.stopped_job is not None)
            ),
        )
    )
