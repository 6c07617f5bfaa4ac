"""Configuration changes: validated and committed one at a time, and retried after a conflict."""

from __future__ import annotations

import typing

import result

from peridothatch_core.admit import changes
from peridothatch_core.configure import revisions
from peridothatch_core.message import store
from peridothatch_core.model import config, verdict
from peridothatch_daemon import messages
from peridothatch_daemon.decide import config_reads, config_state
from peridothatch_daemon.outlet import config_rows
from peridothatch_wire import mailbox

MAX_QUEUED_CHANGES = 256
MAX_QUEUE_SECONDS = 10.0
COMMIT_TIMEOUT_SECONDS = 5.0
MAX_CONFLICTS = 5
# The store task replies within its own timeouts; this limits the wait if it does not.
LOST_OUTCOME_SECONDS = 30.0

STORE_UNREACHABLE = "the table service is unreachable"


def enqueue(state: config_state.State, message: messages.ChangeConfig) -> None:
    """Queue a change for ``start_next``, or refuse it immediately."""
    if not state.replica.loaded:
        _refuse(
            message, verdict.Code.STORE_UNAVAILABLE, "the configuration has not been loaded yet"
        )
    elif len(state.queued_changes) >= MAX_QUEUED_CHANGES:
        _refuse(
            message,
            verdict.Code.OVERLOADED,
            f"the queue already holds {MAX_QUEUED_CHANGES} changes",
        )
    else:
        state.queued_changes.append(config_state.PendingChange(message, state.clock()))


def start_next(state: config_state.State) -> None:
    """Start the next queued change when none is in progress."""
    while state.current_change is None and state.queued_changes:
        pending = state.queued_changes.popleft()
        if state.clock() - pending.arrived_at > MAX_QUEUE_SECONDS:
            _refuse(
                pending.message,
                verdict.Code.OVERLOADED,
                f"the change was queued for more than {MAX_QUEUE_SECONDS:g} s",
            )
        else:
            state.current_change = pending
            _validate(state, pending)


def resume_after_read(state: config_state.State, read_sent_at: float) -> None:
    """Continue the change that waits for a store read, if the replica reflects such a read."""
    pending = state.current_change
    if pending is None or pending.refresh_after is None or read_sent_at < pending.refresh_after:
        return
    pending.refresh_after, pending.refreshed = None, True
    _validate(state, pending)


def refuse_after_failed_read(state: config_state.State) -> None:
    """Refuse the change that waits for a store read, because the read failed."""
    pending = state.current_change
    if pending is not None and pending.refresh_after is not None:
        refusal = verdict.not_run(verdict.Code.STORE_UNAVAILABLE, STORE_UNREACHABLE)
        _finish(state, result.Err(refusal))


def handle_commit(state: config_state.State, outcome: store.Committed) -> config.Change | None:
    """Process the outcome of the transaction; return the change when it was applied."""
    pending = state.current_change
    if pending is None or pending.transaction_id != outcome.transaction.id:
        return None
    if outcome.outcome is store.Outcome.APPLIED:
        _finish(state, result.Ok(pending.change))
        return pending.change
    if outcome.outcome is store.Outcome.UNKNOWN:
        detail = "the table service did not report whether the change was committed"
        refusal = verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN, verdict.Code.STORE_UNAVAILABLE, detail
        )
        _finish(state, result.Err(refusal))
    elif outcome.outcome is store.Outcome.NOT_SENT:
        refusal = verdict.not_run(verdict.Code.STORE_UNAVAILABLE, STORE_UNREACHABLE)
        _finish(state, result.Err(refusal))
    else:
        _retry_after_conflict(state, pending)
    return None


def expire(state: config_state.State, now: float) -> None:
    """Abandon a change whose outcome did not arrive in time."""
    pending = state.current_change
    if pending is not None and now - pending.arrived_at > MAX_QUEUE_SECONDS + LOST_OUTCOME_SECONDS:
        refusal = verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Code.INTERNAL,
            "no outcome arrived from the store task",
        )
        _finish(state, result.Err(refusal))


def _validate(state: config_state.State, pending: config_state.PendingChange) -> None:
    message, snapshot = pending.message, state.replica.snapshot
    kind, name, wall_time = message.kind, message.name, state.wall_clock()
    value = changes.fill_defaults(
        snapshot, kind, name, message.value, message.changed_by, wall_time
    )
    checked = changes.validate(snapshot, kind, name, value, state.assign_home)
    known = kind in revisions.COLLECTIONS
    current = revisions.find(snapshot, kind, name) if known else None
    changed = message.expected not in (None, current)
    if changed or (pending.conflict_count and current not in (pending.original, value)):
        refusal = verdict.not_run(verdict.Code.CONFLICT, _describe_conflict(state, kind, name))
        _finish(state, result.Err(refusal))
    elif isinstance(checked, result.Ok):
        pending.original = pending.original if pending.conflict_count else current
        _commit(state, pending, checked.ok_value, wall_time)
    elif pending.refreshed:
        _finish(state, checked)
    else:
        # The replica may lack a change that another entry has just committed, so the refusal is
        # checked against a new store read.
        _wait_for_read(state, pending)


def _commit(
    state: config_state.State,
    pending: config_state.PendingChange,
    value: typing.Any,
    wall_time: float,
) -> None:
    message = pending.message
    pending.change = config.Change(
        state.revision + 1, message.kind, message.name, value, message.changed_by, wall_time
    )
    pending.transaction_id = config_state.next_id(state, "config")
    transaction = revisions.transaction(
        pending.change,
        pending.transaction_id,
        config_rows.encode_object,
        config_rows.encode_change,
    )
    commit = messages.Commit(transaction, state.ports.inbox, COMMIT_TIMEOUT_SECONDS)
    if not mailbox.post(state.ports.store, commit):
        refusal = verdict.not_run(verdict.Code.OVERLOADED, "the queue of store operations is full")
        _finish(state, result.Err(refusal))


def _retry_after_conflict(state: config_state.State, pending: config_state.PendingChange) -> None:
    pending.conflict_count += 1
    pending.transaction_id = ""
    if pending.conflict_count > MAX_CONFLICTS:
        detail = f"the change conflicted with other changes {pending.conflict_count} times"
        refusal = verdict.not_run(verdict.Code.CONFLICT, detail)
        _finish(state, result.Err(refusal))
    else:
        _wait_for_read(state, pending)


def _wait_for_read(state: config_state.State, pending: config_state.PendingChange) -> None:
    pending.refresh_after = state.clock()
    config_reads.read_head(state)


def _describe_conflict(state: config_state.State, kind: str, name: str) -> str:
    for change in reversed(state.replica.recent):
        if (change.kind, change.name) == (kind, name):
            action = "deleted" if change.value is None else "changed"
            where = f"in revision {change.revision}"
            return f"{kind} {name!r} was {action} by {change.changed_by} {where}"
    return f"{kind} {name!r} was changed concurrently"


def _finish(
    state: config_state.State,
    outcome: result.Result[typing.Any, verdict.Refusal],
) -> None:
    pending = state.current_change
    state.current_change = None
    if pending is not None:
        mailbox.answer(pending.message.reply, outcome)


def _refuse(message: messages.ChangeConfig, code: verdict.Code, detail: str) -> None:
    mailbox.answer(message.reply, result.Err(verdict.not_run(code, detail)))
