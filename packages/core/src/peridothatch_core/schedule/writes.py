"""The decisions of a cycle as transactions of the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import tables

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from peridothatch_core.schedule import state as states

ENTRIES = 96
"""Conditions and writes in one transaction; the store takes 100."""

Encode = typing.Callable[[typing.Any], bytes]


@dataclasses.dataclass(slots=True)
class Batch:
    """One transaction and what it stands for.

    Attributes
    ----------
    saved_jobs : list of str
        Jobs whose rows it writes.
    deleted_jobs : list of str
        Jobs whose rows it removes.
    lapsed_nodes : list of str
        Agents whose lapse it declares.
    """

    transaction: rows.Transaction
    saved_jobs: list[str] = dataclasses.field(default_factory=list)
    deleted_jobs: list[str] = dataclasses.field(default_factory=list)
    lapsed_nodes: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Open:
    conditions: list[rows.Condition] = dataclasses.field(default_factory=list)
    writes: list[tuple[rows.Key, bytes | None]] = dataclasses.field(default_factory=list)
    jobs: list[str] = dataclasses.field(default_factory=list)
    dropped: list[str] = dataclasses.field(default_factory=list)
    nodes: list[str] = dataclasses.field(default_factory=list)

    @property
    def size(self) -> int:
        """Entries so far, with the condition on the epoch."""
        return 1 + len(self.conditions) + len(self.writes)


def build_batches(state: states.State, epoch_version: int, encode: Encode) -> list[Batch]:
    """Return the open changes as transactions, each fenced by the leader's epoch.

    A job's row and its orders always share a transaction, so that a successor never sees a run
    whose order was not written.
    """
    batches: list[Batch] = []
    current = _Open()

    def flush() -> None:
        nonlocal current
        if current.writes:
            batches.append(_close(current, epoch_version))
        current = _Open()

    for node, agent in state.lapsing.items():
        if current.size + 2 > ENTRIES:
            flush()
        key = tables.agent(node)
        current.conditions.append(rows.Condition(key, state.agent_versions.get(node, 0)))
        current.writes.append((key, encode(agent)))
        current.nodes.append(node)
    for node in state.renewals:
        if current.size + 1 > ENTRIES:
            flush()
        current.writes.append((tables.renewal(node), encode({"epoch_version": epoch_version})))
    state.renewals.clear()
    spare: list[rows.Key] = []
    for job_id, change in state.changes.items():
        spare.extend(change.spare)
        if not (change.save or change.drop) or job_id not in state.jobs:
            continue
        if current.size + 2 + len(change.writes) + len(change.conditions) > ENTRIES:
            flush()
            for key, value in _overflow(change):
                if current.size + 1 > ENTRIES:
                    flush()
                current.writes.append((key, None if value is None else encode(value)))
            if current.size + 2 + len(change.writes) + len(change.conditions) > ENTRIES:
                flush()
        _add_job(state, current, job_id, change, encode)
    state.changes.clear()
    _add_spare(spare, lambda: current, flush)
    flush()
    return batches


def _overflow(change: states.Change) -> list[tuple[rows.Key, typing.Any]]:
    """Take out the stops that leave no room for a job's row, to be written before it.

    A run that is stopped while the job's row does not say so yet ends and is started again, so
    that a successor after half of the writes goes on from a state that is safe.
    """
    excess = len(change.writes) + len(change.conditions) + 3 - ENTRIES
    if excess <= 0:
        return []
    stops = [item for item in change.writes if item[0].key.endswith(tables.STOP_SUFFIX)]
    early = stops[:excess]
    taken = {key for key, _ in early}
    change.writes = [item for item in change.writes if item[0] not in taken]
    return early


def _add_job(
    state: states.State, current: _Open, job_id: str, change: states.Change, encode: Encode
) -> None:
    key = tables.job(job_id)
    current.conditions.append(rows.Condition(key, state.job_versions[job_id]))
    current.conditions += [found for found in change.conditions if found not in current.conditions]
    if change.drop:
        current.writes.append((key, None))
        current.dropped.append(job_id)
    else:
        current.writes.append((key, encode(state.jobs[job_id])))
        current.jobs.append(job_id)
    for other, value in change.writes:
        current.writes.append((other, None if value is None else encode(value)))


def _add_spare(
    spare: list[rows.Key], current: Callable[[], _Open], flush: Callable[[], None]
) -> None:
    for key in dict.fromkeys(spare):
        if current().size + 1 > ENTRIES:
            flush()
        current().writes.append((key, None))


def _close(current: _Open, epoch_version: int) -> Batch:
    conditions = (rows.Condition(tables.EPOCH, epoch_version), *current.conditions)
    transaction = rows.Transaction(conditions, tuple(current.writes))
    return Batch(transaction, current.jobs, current.dropped, current.nodes)
