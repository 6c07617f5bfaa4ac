"""State of the scheduler task, and its requests to the store."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import storeclock
from peridothatch_core.schedule import state as core_state
from peridothatch_daemon.hosted import counters
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.model import desired
    from peridothatch_core.schedule import leadership, writes
    from peridothatch_daemon.observe import metrics

READ_TIMEOUT_SECONDS = 2.5

RETRY_DELAY_SECONDS = 0.08
"""Delay before a failed read, or a write that certainly had no effect, is retried."""


@dataclasses.dataclass(slots=True)
class State:
    """State of the scheduler task.

    Attributes
    ----------
    report_refused : callable
        Called when a full partition has refused a write of this process as the leader.
    follow_agents : callable
        Takes the version of the store after which changes of the agents' rows are needed, or
        ``None`` when they are needed no longer.
    following : bool
        Changes of the agents' rows are being delivered.
    evacuated : frozenset of str or None
        Data centres that are out of service, as last read; ``None`` before the first read.
    evacuations_at : float
        Local time in seconds at which the evacuations were last requested with success.
    evacuations_late : bool
        The evacuations are not known well enough to order runs.
    loading : bool
        All rows are being read: after a takeover, after a conflict or an unknown outcome of a
        write, or because of ``load_due``.
    loads : int
        Number of the latest full read.
    load_due : bool
        All rows must be read again as soon as no transaction is in flight, which the read could
        miss: a feed has delivered a new snapshot, or a job's row that differs from the state.
    confirmed_epoch : int
        Epoch in which the agents were last asked to renew their rows.
    work_rows : tuple of Row or None
        Rows of the work table, while the members table of the same read is still being read.
    deferred_changes : list
        Changes that feeds delivered during a read, which may not contain them; applied after it.
    loaded_version : int
        Version of the store when the first work rows were read; older changes are included.
    batches : list
        Transactions that are not committed yet, in order; only the first one is in flight.
    sending : bool
        Whether the first batch has been sent and has no response yet.
    learned_epoch : int
        Epoch in which the learned rows were last requested.
    writing_learned : bool
        Whether a write of learned rows has been sent and has no response yet.
    resign_reply : Reply or None
        Reply to the request to release the leadership, once there was one.
    """

    node: str
    store: mailbox.Mailbox
    ticket_service: mailbox.Mailbox | None
    inbox: mailbox.Mailbox
    leadership: leadership.Leadership
    limits: core_state.Limits
    record_latency: metrics.LatencyRecorder
    record_wait: metrics.LatencyRecorder
    report_refused: typing.Callable[[], None]
    record_error: metrics.ErrorRecorder
    follow_agents: typing.Callable[[int | None], None]
    following: bool = False
    clock: storeclock.StoreClock = dataclasses.field(default_factory=storeclock.StoreClock)
    schedule: core_state.State = dataclasses.field(default_factory=core_state.State)
    desired: desired.DesiredState | None = None
    evacuated: frozenset[str] | None = None
    evacuations_at: float = -1e9
    evacuations_late: bool = False
    loading: bool = False
    loads: int = 0
    load_due: bool = False
    confirmed_epoch: int = 0
    work_rows: tuple[rows.Row, ...] | None = None
    deferred_changes: list[tuple[str, rows.Row]] = dataclasses.field(default_factory=list)
    loaded_version: int = 0
    batches: list[writes.Batch] = dataclasses.field(default_factory=list)
    sending: bool = False
    learned_epoch: int = 0
    writing_learned: bool = False
    resign_reply: mailbox.Reply | None = None
    counters: counters.Scheduler = dataclasses.field(default_factory=counters.Scheduler)


def commit(
    state: State, token: typing.Any, transaction: rows.Transaction, timeout_seconds: float
) -> None:
    """Send a transaction; its outcome is posted to the mailbox of the task."""

    def answer(committed: rows.Committed) -> None:
        mailbox.post(state.inbox, committed)

    message = rows.Commit(token, transaction, timeout_seconds, answer)
    if not mailbox.post(state.store, message):
        answer(rows.Committed(token, rows.Outcome.NOT_DONE, reason="the queue is full"))


def fetch(state: State, table: str, token: typing.Any) -> None:
    """Read a table; its rows are posted to the mailbox of the task with the token."""

    def answer(fetched: rows.Fetched) -> None:
        mailbox.post(state.inbox, fetched)

    message = rows.Fetch(token, table, "", READ_TIMEOUT_SECONDS, answer)
    if not mailbox.post(state.store, message):
        answer(rows.Fetched(token, None, reason="the queue is full"))
