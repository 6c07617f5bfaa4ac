"""State of the jobs task, and its reads and writes in the table service."""

from __future__ import annotations

import collections
import dataclasses
import logging
import typing

import pydantic
import result

from peridothatch_core.message import link, store
from peridothatch_core.model import config, datacentre, job, verdict
from peridothatch_daemon import messages
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

Clock = typing.Callable[[], float]
Notify = typing.Callable[[str, link.JobChanged], None]
Admit = typing.Callable[
    [job.Job, config.Snapshot, str, float], result.Result[job.Job, verdict.Refusal]
]
OnRows = typing.Callable[[store.Rows], None]
OnCommitted = typing.Callable[[store.Committed], None]
OnJob = typing.Callable[["result.Result[StoredJob, verdict.Refusal]"], None]

MAX_CACHED_JOBS = 10_000
# Lookups share one read in flight with up to this many keys, which limits the load on a slow table
# service.
MAX_KEYS_PER_READ = 500
MAX_LOOKUPS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Identity of this entry, and its data centre."""

    entry_id: str
    incarnation: str
    here: datacentre.DataCentre


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job row as it was read.

    Attributes
    ----------
    read_at : float
        When the read was sent, in seconds on the monotonic clock.
    """

    job: job.Job
    version: int
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A caller that waits for a job to change.

    Attributes
    ----------
    deadline : float
        When the caller is answered even without a change, in seconds on the monotonic clock.
    """

    request: messages.FindJob
    deadline: float


@dataclasses.dataclass(slots=True)
class State:
    """State that the jobs task owns.

    Attributes
    ----------
    pledged : dict of str to int
        Accelerators of jobs assigned to each data centre since its last digest.
    short_guarantees : dict of str to frozenset of str
        Guarantees that lack hardware, for each data centre whose planner has reported.
    commit_callbacks, read_callbacks : dict
        Callbacks for the answers of the table service, by transaction id and by read tag.
    queued_lookups : dict of str to list
        Callbacks of the lookups for the next read, by job id.
    waits_ended : bool
        Whether callers are answered without waiting for a change.
    """

    settings: Settings
    inbox: mailbox.Mailbox
    rows: mailbox.Mailbox
    admit: Admit
    notify: Notify
    clock: Clock
    wall_clock: Clock
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    digests: dict[str, link.CapacityDigest] = dataclasses.field(default_factory=dict)
    pledged: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    hardware: dict[str, link.HardwareDigest] = dataclasses.field(default_factory=dict)
    short_guarantees: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    cache: collections.OrderedDict[str, StoredJob] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    commit_callbacks: dict[str, OnCommitted] = dataclasses.field(default_factory=dict)
    read_callbacks: dict[str, OnRows] = dataclasses.field(default_factory=dict)
    queued_lookups: dict[str, list[OnJob]] = dataclasses.field(default_factory=dict)
    lookup_in_flight: bool = False
    waiters: dict[str, list[Waiter]] = dataclasses.field(default_factory=dict)
    drain_replies: list[mailbox.Reply] = dataclasses.field(default_factory=list)
    draining: bool = False
    waits_ended: bool = False
    last_id_number: int = 0


def next_id(state: State) -> str:
    """Return an id for a transaction or read that is unique across processes."""
    state.last_id_number += 1
    return f"{state.settings.entry_id}.{state.settings.incarnation}.jobs.{state.last_id_number}"


def commit(state: State, transaction: store.Transaction, on_committed: OnCommitted) -> None:
    """Send a transaction; ``on_committed`` receives its outcome."""
    state.commit_callbacks[transaction.id] = on_committed
    if not mailbox.post(state.rows, messages.Commit(transaction, state.inbox)):
        handle_commit(state, store.Committed(transaction, store.Outcome.NOT_SENT))


def handle_commit(state: State, outcome: store.Committed) -> None:
    """Call the callback of a transaction with its outcome."""
    on_committed = state.commit_callbacks.pop(outcome.transaction.id, None)
    if on_committed is not None:
        on_committed(outcome)


def read(state: State, keys: tuple[str, ...], prefixes: tuple[str, ...], on_rows: OnRows) -> None:
    """Read rows; ``on_rows`` receives them."""
    tag = next_id(state)
    state.read_callbacks[tag] = on_rows
    if not mailbox.post(state.rows, messages.Read(tag, keys, prefixes, state.inbox)):
        handle_rows(state, store.Rows(tag, False, {}, state.clock()))


def handle_rows(state: State, found: store.Rows) -> None:
    """Call the callback of a read with its rows."""
    on_rows = state.read_callbacks.pop(found.tag, None)
    if on_rows is not None:
        on_rows(found)


def lookup(state: State, job_id: str, on_job: OnJob) -> None:
    """Read one job; ``on_job`` receives it, from the cache if the read fails."""
    if len(state.queued_lookups) >= MAX_LOOKUPS and job_id not in state.queued_lookups:
        on_job(
            result.Err(verdict.not_run(verdict.Code.OVERLOADED, "too many job lookups are queued"))
        )
        return
    state.queued_lookups.setdefault(job_id, []).append(on_job)
    if not state.lookup_in_flight:
        _read_queued(state)


def cache_row(state: State, row: store.Row, read_at: float) -> StoredJob | None:
    """Parse a job row, cache it and return it; return ``None`` when the row is invalid."""
    try:
        item = rows.parse_job(row.value)
    except pydantic.ValidationError:
        logger.exception("invalid job row")
        return None
    stored = StoredJob(item, row.version, read_at)
    state.cache[item.id] = stored
    state.cache.move_to_end(item.id)
    if len(state.cache) > MAX_CACHED_JOBS:
        state.cache.popitem(last=False)
    return stored


def unknown_job(job_id: str) -> verdict.Refusal:
    """Return the refusal for a job that does not exist or that the caller may not see."""
    return verdict.not_run(verdict.Code.NOT_FOUND, f"there is no job {job_id[:100]!r}")


def store_unavailable() -> verdict.Refusal:
    """Return the refusal for an operation that the table service did not answer."""
    return verdict.not_run(
        verdict.Code.STORE_UNAVAILABLE, "the table service does not answer; try again later"
    )


def _read_queued(state: State) -> None:
    batch = {
        key: state.queued_lookups.pop(key)
        for key in list(state.queued_lookups)[:MAX_KEYS_PER_READ]
    }
    state.lookup_in_flight = True

    def on_rows(found: store.Rows) -> None:
        state.lookup_in_flight = False
        for job_id, callbacks in batch.items():
            outcome = _lookup_outcome(state, job_id, found)
            for on_job in callbacks:
                on_job(outcome)
        if state.queued_lookups and not state.lookup_in_flight:
            _read_queued(state)

    read(state, tuple(rows.job_key(job_id) for job_id in batch), (), on_rows)


def _lookup_outcome(
    state: State, job_id: str, found: store.Rows
) -> result.Result[StoredJob, verdict.Refusal]:
    if not found.ok:
        stored = state.cache.get(job_id)
        return result.Ok(stored) if stored else result.Err(store_unavailable())
    row = found.rows.get(rows.job_key(job_id))
    if row is None:
        state.cache.pop(job_id, None)
        return result.Err(unknown_job(job_id))
    stored = cache_row(state, row, found.sent_at)
    if stored is None:
        return result.Err(
            verdict.not_run(verdict.Code.INTERNAL, f"the stored row of job {job_id} is invalid")
        )
    return result.Ok(stored)
