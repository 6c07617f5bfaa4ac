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
OnHeld = typing.Callable[["result.Result[Held, verdict.Refusal]"], None]

CACHED_JOBS = 10_000
# One read in flight with many keys bounds what lookups cost a slow table service.
KEYS_IN_ONE_READ = 500
MOST_LOOKUPS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The entry that this task belongs to."""

    entry_id: str
    incarnation: str
    here: datacentre.DataCentre


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
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

    ask: messages.FindJob
    until: float


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
    wall: Clock
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    digests: dict[str, link.CapacityDigest] = dataclasses.field(default_factory=dict)
    pledged: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    hardware: dict[str, link.HardwareDigest] = dataclasses.field(default_factory=dict)
    short: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    cache: collections.OrderedDict[str, Held] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    committing: dict[str, OnCommitted] = dataclasses.field(default_factory=dict)
    reading: dict[str, OnRows] = dataclasses.field(default_factory=dict)
    wanted: dict[str, list[OnHeld]] = dataclasses.field(default_factory=dict)
    lookup_in_flight: bool = False
    waiters: dict[str, list[Waiter]] = dataclasses.field(default_factory=dict)
    drains: list[mailbox.Reply] = dataclasses.field(default_factory=list)
    draining: bool = False
    waits_ended: bool = False
    last_number: int = 0


def next_id(state: State) -> str:
    """Return an id for a transaction or read that no other process uses."""
    state.last_number += 1
    return f"{state.settings.entry_id}.{state.settings.incarnation}.jobs.{state.last_number}"


def commit(state: State, transaction: store.Transaction, then: OnCommitted) -> None:
    """Send a transaction; ``then`` gets its outcome."""
    state.committing[transaction.id] = then
    if not mailbox.post(state.rows, messages.Commit(transaction, state.inbox)):
        committed(state, store.Committed(transaction, store.Outcome.NOT_SENT))


def committed(state: State, outcome: store.Committed) -> None:
    """Pass on the outcome of a transaction."""
    then = state.committing.pop(outcome.transaction.id, None)
    if then is not None:
        then(outcome)


def read(state: State, keys: tuple[str, ...], prefixes: tuple[str, ...], then: OnRows) -> None:
    """Read rows; ``then`` gets them."""
    tag = next_id(state)
    state.reading[tag] = then
    if not mailbox.post(state.rows, messages.Read(tag, keys, prefixes, state.inbox)):
        rows_read(state, store.Rows(tag, False, {}, state.clock()))


def rows_read(state: State, found: store.Rows) -> None:
    """Pass on rows that were read."""
    then = state.reading.pop(found.tag, None)
    if then is not None:
        then(found)


def lookup(state: State, job_id: str, then: OnHeld) -> None:
    """Read one job; ``then`` gets it, from the cache when the table service does not answer."""
    if len(state.wanted) >= MOST_LOOKUPS and job_id not in state.wanted:
        then(result.Err(verdict.not_run(verdict.Code.OVERLOADED, "too many lookups wait")))
        return
    state.wanted.setdefault(job_id, []).append(then)
    if not state.lookup_in_flight:
        _read_wanted(state)


def remember(state: State, row: store.Row, read_at: float) -> Held | None:
    """Put a job row in the cache and return it; ``None`` when it cannot be understood."""
    try:
        item = rows.parse_job(row.value)
    except pydantic.ValidationError:
        logger.exception("a job row cannot be read")
        return None
    held = Held(item, row.version, read_at)
    state.cache[item.id] = held
    state.cache.move_to_end(item.id)
    if len(state.cache) > CACHED_JOBS:
        state.cache.popitem(last=False)
    return held


def unknown(job_id: str) -> verdict.Refusal:
    """Return the refusal for a job that does not exist or that the caller may not see."""
    return verdict.not_run(verdict.Code.NOT_FOUND, f"there is no job {job_id[:100]!r}")


def no_answer() -> verdict.Refusal:
    """Return the refusal for a read that the table service did not answer."""
    return verdict.not_run(
        verdict.Code.STORE_UNAVAILABLE, "the table service does not answer; try again later"
    )


def _read_wanted(state: State) -> None:
    batch = {key: state.wanted.pop(key) for key in list(state.wanted)[:KEYS_IN_ONE_READ]}
    state.lookup_in_flight = True

    def then(found: store.Rows) -> None:
        state.lookup_in_flight = False
        for job_id, waiting in batch.items():
            outcome = _outcome(state, job_id, found)
            for take in waiting:
                take(outcome)
        if state.wanted and not state.lookup_in_flight:
            _read_wanted(state)

    read(state, tuple(rows.job_key(job_id) for job_id in batch), (), then)


def _outcome(state: State, job_id: str, found: store.Rows) -> result.Result[Held, verdict.Refusal]:
    if not found.ok:
        held = state.cache.get(job_id)
        return result.Ok(held) if held else result.Err(no_answer())
    row = found.rows.get(rows.job_key(job_id))
    if row is None:
        state.cache.pop(job_id, None)
        return result.Err(unknown(job_id))
    held = remember(state, row, found.sent_at)
    if held is None:
        return result.Err(
            verdict.not_run(verdict.Code.INTERNAL, f"the row of job {job_id} cannot be read")
        )
    return result.Ok(held)
