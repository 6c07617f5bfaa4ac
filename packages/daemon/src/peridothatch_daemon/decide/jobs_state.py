"""State of the jobs task, and its conversations with the table service."""

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
# One read in flight with many keys bounds what lookups cost a slow table service.
MAX_KEYS_PER_READ = 500
MAX_LOOKUPS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The entry that this task belongs to."""

    entry_id: str
    incarnation: str
    here: datacentre.DataCentre


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job row as it was read.

    Attributes
    ----------
    read_at : float
        Monotonic clock when the read was sent, in seconds.
    """

    job: job.Job
    version: int
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A caller that waits for a job to change.

    Attributes
    ----------
    until : float
        Monotonic clock at which it is answered in any case, in seconds.
    """

    request: messages.FindJob
    deadline: float


@dataclasses.dataclass(slots=True)
class State:
    """State that the jobs task owns.

    Attributes
    ----------
    pledged : dict of str to int
        Accelerators of jobs sent to each data centre since its last digest.
    short : dict of str to frozenset of str
        Guarantees that are short, for each data centre whose planner has reported.
    committing, reading : dict
        What to do with the answers of the table service, by transaction id and read tag.
    wanted : dict of str to list
        Lookups for the next read, by job id.
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
    """Return an id for a transaction or read that no other process uses."""
    state.last_id_number += 1
    return f"{state.settings.entry_id}.{state.settings.incarnation}.jobs.{state.last_id_number}"


def commit(state: State, transaction: store.Transaction, on_committed: OnCommitted) -> None:
    """Send a transaction; ``then`` gets its outcome."""
    state.commit_callbacks[transaction.id] = on_committed
    if not mailbox.post(state.rows, messages.Commit(transaction, state.inbox)):
        handle_commit(state, store.Committed(transaction, store.Outcome.NOT_SENT))


def handle_commit(state: State, outcome: store.Committed) -> None:
    """Pass on the outcome of a transaction."""
    on_committed = state.commit_callbacks.pop(outcome.transaction.id, None)
    if on_committed is not None:
        on_committed(outcome)


def read(state: State, keys: tuple[str, ...], prefixes: tuple[str, ...], on_rows: OnRows) -> None:
    """Read rows; ``then`` gets them."""
    tag = next_id(state)
    state.read_callbacks[tag] = on_rows
    if not mailbox.post(state.rows, messages.Read(tag, keys, prefixes, state.inbox)):
        handle_rows(state, store.Rows(tag, False, {}, state.clock()))


def handle_rows(state: State, found: store.Rows) -> None:
    """Pass on rows that were read."""
    on_rows = state.read_callbacks.pop(found.tag, None)
    if on_rows is not None:
        on_rows(found)


def lookup(state: State, job_id: str, on_job: OnJob) -> None:
    """Read one job; ``then`` gets it, from the cache when the table service does not answer."""
    if len(state.queued_lookups) >= MAX_LOOKUPS and job_id not in state.queued_lookups:
        on_job(result.Err(verdict.not_run(verdict.Code.OVERLOADED, "too many lookups wait")))
        return
    state.queued_lookups.setdefault(job_id, []).append(on_job)
    if not state.lookup_in_flight:
        _read_queued(state)


def cache_row(state: State, row: store.Row, read_at: float) -> StoredJob | None:
    """Put a job row in the cache and return it; ``None`` when it cannot be understood."""
    try:
        item = rows.read_job(row.value)
    except pydantic.ValidationError:
        logger.exception("a job row cannot be read")
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
    """Return the refusal for a read that the table service did not answer."""
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
            verdict.not_run(verdict.Code.INTERNAL, f"the row of job {job_id} cannot be read")
        )
    return result.Ok(stored)
